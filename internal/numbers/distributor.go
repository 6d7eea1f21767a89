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
func NewDistributor(maxCallers int) *Distributor {
	return &Distributor{deficits: map[choiceKey][]float64{}, assigned: map[callerKey]int{}, maxCallers: maxCallers}
}

// ForVersion returns the ShareSelector for a version of the table.
func (d *Distributor) ForVersion(version uint64) ShareSelector {
	return func(route, choice int, shares []Share, caller string) int {
		if version > d.version { // calls pinned to an older version use the counts of the newest
			d.version = version
			clear(d.deficits)
			clear(d.assigned)
			d.assignmentOrder = d.assignmentOrder[:0]
		}
		ofChoice := choiceKey{route, choice}
		ofCaller := callerKey{ofChoice, caller}
		if i, ok := d.assigned[ofCaller]; ok && caller != "" && i < len(shares) && shares[i].Weight > 0 {
			return i
		}
		deficits := d.deficits[ofChoice]
		if len(deficits) != len(shares) {
			deficits = make([]float64, len(shares))
			d.deficits[ofChoice] = deficits
		}
		totalWeight := 0
		for _, share := range shares {
			totalWeight += share.Weight
		}
		selected := 0
		for i, share := range shares {
			deficits[i] += float64(share.Weight) / float64(totalWeight)
			if deficits[i] > deficits[selected] {
				selected = i
			}
		}
		deficits[selected]--
		if caller != "" {
			if len(d.assignmentOrder) >= d.maxCallers {
				delete(d.assigned, d.assignmentOrder[0])
				d.assignmentOrder = d.assignmentOrder[1:]
			}
			d.assigned[ofCaller] = selected
			d.assignmentOrder = append(d.assignmentOrder, ofCaller)
		}
		return selected
	}
}
