package policy

// maxRejectedNumbers bounds the numbers that are remembered. Beyond it the oldest are forgotten, and a redial to one of
// these counts as a first call.
const maxRejectedNumbers = 16384

// rejectedNumbers remembers which numbers rejected callers dialled, to recognize their redials. Callers may not mark
// these, and the mark does not give the time of the first call.
type rejectedNumbers struct {
	firstDialledAt map[uint64]Tenths // by number called
	order          []uint64          // the same numbers, each once, oldest first
}

func newRejectedNumbers() rejectedNumbers {
	return rejectedNumbers{firstDialledAt: map[uint64]Tenths{}}
}

// add remembers a number and when its caller first dialled.
func (r *rejectedNumbers) add(number uint64, firstDialledAt Tenths) {
	if _, known := r.firstDialledAt[number]; !known {
		if len(r.order) >= maxRejectedNumbers {
			r.forgetOldest()
		}
		r.order = append(r.order, number)
	}
	r.firstDialledAt[number] = firstDialledAt
}

// expire forgets numbers whose callers first dialled more than maxAge ago.
func (r *rejectedNumbers) expire(now, maxAge Tenths) {
	for len(r.order) > 0 && now-r.firstDialledAt[r.order[0]] > maxAge {
		r.forgetOldest()
	}
}

func (r *rejectedNumbers) forgetOldest() {
	delete(r.firstDialledAt, r.order[0])
	r.order = r.order[1:]
}
