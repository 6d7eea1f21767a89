package numbers

import "slices"

// Schedule is a set of local times. When clocks go back, a repeated hour is included both times; an hour that clocks skip never
// occurs. A range that runs past midnight belongs to the day on which it begins.
type Schedule struct {
	Weekdays             uint8      // bit d for weekday d, Sunday is 0; 0 for any day
	Dates                []DayRange // empty for any date
	FromMinute, ToMinute int        // minutes of the day, a ToMinute over 1440 is on the next day; both 0 for all day
	OnlyHolidays         bool       // holidays only
	ExceptHolidays       bool       // any day but holidays
}

// DayRange is an inclusive range of day numbers.
type DayRange struct{ From, To int }

// Contains reports whether a time in Unix seconds is within the schedule. holidays are day numbers in ascending order.
func (s *Schedule) Contains(z *Zone, holidays []int, unixTime int64) bool {
	now := z.Local(unixTime)
	if s.FromMinute == 0 && s.ToMinute == 0 {
		return s.containsDay(now, holidays)
	}
	if now.Minute >= s.FromMinute && now.Minute < s.ToMinute && s.containsDay(now, holidays) {
		return true
	}
	return now.Minute+1440 < s.ToMinute && s.containsDay(LocalTime{now.Day - 1, now.Minute + 1440}, holidays)
}

func (s *Schedule) containsDay(l LocalTime, holidays []int) bool {
	if s.Weekdays != 0 && s.Weekdays&(1<<l.Weekday()) == 0 {
		return false
	}
	if s.OnlyHolidays || s.ExceptHolidays {
		if _, isHoliday := slices.BinarySearch(holidays, l.Day); isHoliday != s.OnlyHolidays {
			return false
		}
	}
	if len(s.Dates) == 0 {
		return true
	}
	for _, dates := range s.Dates {
		if l.Day >= dates.From && l.Day <= dates.To {
			return true
		}
	}
	return false
}
