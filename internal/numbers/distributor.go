package numbers

// Distributor divides calls between the shares of a choice so that after any number of calls each share has had its part to
// within one call, and a caller who dials again gets what it got before. It belongs to one controller, not to a table: a
// table's next version starts from even.
type Distributor struct {
	version         uint64
	deficits        map[choiceKey][]float64 // what each share is behind (above 0) or ahead
	assigned        map[callerKey]int
	assignmentOrder []callerKey // as remembered, oldest first
	maxCallers      int
}

type choiceKey struct{ route, choice int }

type callerKey struct {
	choiceKey
	caller string
}

// NewDistributor remembers so many callers at most; the oldest are forgotten first.
func NewDistributor(callers int) *Distributor {
	return &Distributor{deficits: map[choiceKey][]float64{}, assigned: map[callerKey]int{}, maxCallers: callers}
}

// ForVersion is the Pick of a version of the table.
func (s *Distributor) ForVersion(version uint64) ShareSelector {
	return func(entry, choice int, shares []Share, caller string) int {
		if version > s.version { // a call that still goes by an older one shares its count
			s.version = version
			clear(s.deficits)
			clear(s.assigned)
			s.assignmentOrder = s.assignmentOrder[:0]
		}
		at := choiceKey{entry, choice}
		held := callerKey{at, caller}
		if i, ok := s.assigned[held]; ok && caller != "" && i < len(shares) && shares[i].Weight > 0 {
			return i
		}
		behind := s.deficits[at]
		if len(behind) != len(shares) {
			behind = make([]float64, len(shares))
			s.deficits[at] = behind
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
			if len(s.assignmentOrder) >= s.maxCallers {
				delete(s.assigned, s.assignmentOrder[0])
				s.assignmentOrder = s.assignmentOrder[1:]
			}
			s.assigned[held] = best
			s.assignmentOrder = append(s.assignmentOrder, held)
		}
		return best
	}
}
