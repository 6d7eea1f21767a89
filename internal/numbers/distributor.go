package numbers

// Distributor distributes calls over the shares of a choice in proportion to their weights. After any number of calls each
// share is within one call of its proportion, and a caller who redials gets the same share. It belongs to a controller, not to
// a table, and starts afresh with each new version of the table.
type Distributor struct {
	version         uint64
	deficits        map[choiceKey][]float64 // calls that each share is behind its proportion; negative when ahead
	assigned        map[callerKey]int
	assignmentOrder []callerKey // keys of assigned, oldest first
	maxCallers      int
}

type choiceKey struct{ route, choice int }

type callerKey struct {
	choiceKey
	caller string
}

// NewDistributor returns a Distributor that remembers the shares of at most maxCallers callers. The oldest are forgotten first.
func NewDistributor(callers int) *Distributor {
	return &Distributor{deficits: map[choiceKey][]float64{}, assigned: map[callerKey]int{}, maxCallers: callers}
}

// ForVersion returns the ShareSelector for a version of the table.
func (s *Distributor) ForVersion(version uint64) ShareSelector {
	return func(entry, choice int, shares []Share, caller string) int {
		if version > s.version { // calls pinned to an older version use the counts of the newest
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
