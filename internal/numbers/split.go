package numbers

// Split divides calls between the shares of a choice so that after any number of calls each share has had its part to
// within one call, and a caller who dials again gets what it got before. It belongs to one controller, not to a table: a
// table's next version starts from even.
type Split struct {
	version uint64
	given   map[splitKey][]float64 // what each share is behind (above 0) or ahead
	had     map[heldKey]int
	order   []heldKey // as remembered, oldest first
	most    int
}

type splitKey struct{ entry, choice int }

type heldKey struct {
	splitKey
	caller string
}

// NewSplit remembers so many callers at most; the oldest are forgotten first.
func NewSplit(callers int) *Split {
	return &Split{given: map[splitKey][]float64{}, had: map[heldKey]int{}, most: callers}
}

// For is the Pick of a version of the table.
func (s *Split) For(version uint64) Pick {
	return func(entry, choice int, shares []Share, caller string) int {
		if version > s.version { // a call that still goes by an older one shares its count
			s.version = version
			clear(s.given)
			clear(s.had)
			s.order = s.order[:0]
		}
		at := splitKey{entry, choice}
		held := heldKey{at, caller}
		if i, ok := s.had[held]; ok && caller != "" && i < len(shares) && shares[i].Weight > 0 {
			return i
		}
		behind := s.given[at]
		if len(behind) != len(shares) {
			behind = make([]float64, len(shares))
			s.given[at] = behind
		}
		sum := 0
		for _, x := range shares {
			sum += x.Weight
		}
		best := 0
		for i, x := range shares {
			behind[i] += float64(x.Weight) / float64(sum)
			if behind[i] > behind[best] {
				best = i
			}
		}
		behind[best]--
		if caller != "" {
			if len(s.order) >= s.most {
				delete(s.had, s.order[0])
				s.order = s.order[1:]
			}
			s.had[held] = best
			s.order = append(s.order, held)
		}
		return best
	}
}
