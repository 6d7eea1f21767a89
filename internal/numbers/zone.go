package numbers

import (
	"fmt"
	"sort"
	"time"
)

// Zone converts Unix times into local days and minutes. It holds the transitions of a time zone, read from the time zone database
// when a table is built, so that a conversion is a search in a few dozen entries and a table gives the same result wherever it is
// read.
type Zone struct {
	Name        string
	transitions []transition // in order; the first also applies to all earlier times
}

type transition struct {
	unixTime int64
	offset   int32 // seconds east of UTC
}

// Transitions are read for these years only, which cover the lifetime of a table.
const (
	firstYear = 2020
	lastYear  = 2045
)

// NewZone reads a zone by its name in the time zone database, such as Europe/Riga.
func NewZone(name string) (*Zone, error) {
	location, err := time.LoadLocation(name)
	if err != nil {
		return nil, fmt.Errorf("time zone %q: %w", name, err)
	}
	z := &Zone{Name: name}
	t := time.Date(firstYear, 1, 1, 0, 0, 0, 0, time.UTC)
	for end := time.Date(lastYear+1, 1, 1, 0, 0, 0, 0, time.UTC); t.Before(end); {
		_, offset := t.In(location).Zone()
		if n := len(z.transitions); n == 0 || z.transitions[n-1].offset != int32(offset) {
			z.transitions = append(z.transitions, transition{t.Unix(), int32(offset)})
		}
		_, next := t.In(location).ZoneBounds()
		if next.IsZero() {
			break
		}
		if !next.After(t) { // ZoneBounds may return t itself as the end; without this step the loop would not end
			next = t.Add(time.Hour)
		}
		t = next
	}
	return z, nil
}

// offset returns the offset from UTC at a time, in seconds.
func (z *Zone) offset(unixTime int64) int32 {
	i := sort.Search(len(z.transitions), func(i int) bool { return z.transitions[i].unixTime > unixTime })
	return z.transitions[max(0, i-1)].offset
}

// LocalTime is a local time: the day counted from 1970-01-01, and the minute of that day.
type LocalTime struct {
	Day    int
	Minute int
}

// Local returns the local time at a time in Unix seconds.
func (z *Zone) Local(unixTime int64) LocalTime {
	localSeconds := unixTime + int64(z.offset(unixTime))
	day := localSeconds / 86400
	if localSeconds%86400 < 0 {
		day--
	}
	return LocalTime{int(day), int((localSeconds - day*86400) / 60)}
}

// Weekday returns the day of the week, 0 for Sunday as in time.Weekday.
func (l LocalTime) Weekday() int { return ((l.Day+4)%7 + 7) % 7 }

// DayNumber returns the number of days from 1970-01-01 to a date.
func DayNumber(year int, month time.Month, day int) int {
	return int(time.Date(year, month, day, 0, 0, 0, 0, time.UTC).Unix() / 86400)
}
