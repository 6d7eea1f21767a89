package numbers

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Zone turns instants into local days and minutes. It holds a zone's changes of clock, read from the library's calendar
// when a table is built, so that an analysis costs a search in a few dozen numbers and the same table gives the same
// answer wherever it is read.
type Zone struct {
	Name        string
	transitions []transition // in order; the first holds for all time before
}

type transition struct {
	at     int64 // seconds since 1970
	offset int32 // seconds east
}

// Tables are for the present: changes of clock are read for these years.
const (
	firstYear = 2020
	lastYear  = 2045
)

// NewZone reads a zone by its name in the library's calendar, such as Europe/Riga.
func NewZone(name string) (*Zone, error) {
	loc, err := time.LoadLocation(name)
	if err != nil {
		return nil, fmt.Errorf("time zone %q: %w", name, err)
	}
	z := &Zone{Name: name}
	t := time.Date(firstYear, 1, 1, 0, 0, 0, 0, time.UTC)
	for end := time.Date(lastYear+1, 1, 1, 0, 0, 0, 0, time.UTC); t.Before(end); {
		_, offset := t.In(loc).Zone()
		if n := len(z.transitions); n == 0 || z.transitions[n-1].offset != int32(offset) {
			z.transitions = append(z.transitions, transition{t.Unix(), int32(offset)})
		}
		_, next := t.In(loc).ZoneBounds()
		if next.IsZero() {
			break
		}
		if !next.After(t) { // the calendar can name the instant itself as the end: without this the search never ended
			next = t.Add(time.Hour)
		}
		t = next
	}
	return z, nil
}

// offset is how far a zone's clocks are ahead at an instant, in seconds.
func (z *Zone) offset(at int64) int32 {
	i := sort.Search(len(z.transitions), func(i int) bool { return z.transitions[i].at > at })
	return z.transitions[max(0, i-1)].offset
}

// LocalTime is a local time of day: the day counted from 1970-01-01, and the minute of it.
type LocalTime struct {
	Day    int
	Minute int
}

// Local tells what a zone's clocks show at an instant.
func (z *Zone) Local(at int64) LocalTime {
	s := at + int64(z.offset(at))
	day := s / 86400
	if s%86400 < 0 {
		day--
	}
	return LocalTime{int(day), int((s - day*86400) / 60)}
}

// Weekday is 0 for Sunday, as the library counts.
func (l LocalTime) Weekday() int { return ((l.Day+4)%7 + 7) % 7 }

// DayNumber counts the days from 1970-01-01 to a date.
func DayNumber(year int, month time.Month, day int) int {
	return int(time.Date(year, month, day, 0, 0, 0, 0, time.UTC).Unix() / 86400)
}

// Schedule says at which local times something holds. An hour that comes twice counts both times; a time that never comes
// never does. A span that runs past midnight belongs to the day it began on.
type Schedule struct {
	Weekdays             uint8      // bit d set: weekday d, 0 Sunday; 0 any
	Dates                []DayRange // of days, both ends in; none any
	FromMinute, ToMinute int        // minutes of the day, To past 1440 into the next; both 0 all day
	OnlyHolidays         bool       // holds on holidays only
	ExceptHolidays       bool       // never on holidays
}

// DayRange is a range of days, both ends in.
type DayRange struct{ From, To int }

// Contains tells whether an instant is within, in a zone, given the days that are holidays in rising order.
func (w *Schedule) Contains(z *Zone, holidays []int, at int64) bool {
	now := z.Local(at)
	if w.FromMinute == 0 && w.ToMinute == 0 {
		return w.containsDay(now, holidays)
	}
	if now.Minute >= w.FromMinute && now.Minute < w.ToMinute && w.containsDay(now, holidays) {
		return true
	}
	return now.Minute+1440 < w.ToMinute && w.containsDay(LocalTime{now.Day - 1, now.Minute + 1440}, holidays)
}

func (w *Schedule) containsDay(l LocalTime, holidays []int) bool {
	if w.Weekdays != 0 && w.Weekdays&(1<<l.Weekday()) == 0 {
		return false
	}
	if w.OnlyHolidays || w.ExceptHolidays {
		if _, is := slices.BinarySearch(holidays, l.Day); is != w.OnlyHolidays {
			return false
		}
	}
	if len(w.Dates) == 0 {
		return true
	}
	for _, s := range w.Dates {
		if l.Day >= s.From && l.Day <= s.To {
			return true
		}
	}
	return false
}
