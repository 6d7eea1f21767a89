package numbers

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
)

// MaxDigits is the longest number analysed.
const MaxDigits = 24

// digitSymbols are the digits a number can have: 0 to 9, and codes 11 and 12 of the networks' own short codes.
const digitSymbols = "0123456789BC"

// Prefix leads from the first digits of a number to an entry of a table.
type Prefix struct {
	Digits string
	Value  uint32
}

// Trie finds the longest prefix of a number. Its nodes stand in one array, the children of a node side by side, found by
// counting the bits below the digit's, with no pointer for the collector to follow. Digits that lead to one node alone are
// kept in it and compared there: in a sparse plan most prefixes part after a few digits, and without that each digit to the
// end was a step into memory not read before. It never changes once built.
type Trie struct {
	nodes       []node
	prefixCount int
}

// node stands behind some digits that are passed together, and has a bit for each digit that leads on.
type node struct {
	firstChild   uint32 // index of the child of the lowest digit
	valuePlusOne uint32 // 1 more than the entry of the prefix that ends here, 0 none
	skipped      uint32 // digits before this node, four bits each, the first lowest
	children     uint16
	skippedCount uint8 // of the digits passed
}

const maxSkippedDigits = 8

func digitValue(c byte) (uint, bool) {
	switch {
	case c >= '0' && c <= '9':
		return uint(c - '0'), true
	case c == 'B' || c == 'C':
		return uint(c-'B') + 10, true
	}
	return 0, false
}

// key orders prefixes as their digits do: five bits a digit, and 0 where there is none, so that a shorter one comes first.
type key struct {
	high, low uint64
	index     uint32
}

const digitsPerWord = 12

func newKey(digits string, at int) (key, error) {
	if len(digits) > MaxDigits {
		return key{}, fmt.Errorf("prefix %s has %d digits, %d at most", digits, len(digits), MaxDigits)
	}
	k := key{index: uint32(at)}
	for i := range len(digits) {
		d, ok := digitValue(digits[i])
		if !ok {
			return k, fmt.Errorf("prefix %q: %q is no digit", digits, digits[i])
		}
		if half := &k.high; i < digitsPerWord {
			*half |= uint64(d+1) << (5 * (digitsPerWord - 1 - i))
		} else {
			k.low |= uint64(d+1) << (5 * (2*digitsPerWord - 1 - i))
		}
	}
	return k, nil
}

// sortPrefixes puts prefixes in order, by numbers in place of strings: ten million are built in 11 s in place of 17.
func sortPrefixes(all []Prefix) ([]Prefix, error) {
	keys := make([]key, len(all))
	for i, p := range all {
		var err error
		if keys[i], err = newKey(p.Digits, i); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(keys, func(a, b key) int {
		if c := cmp.Compare(a.high, b.high); c != 0 {
			return c
		}
		return cmp.Compare(a.low, b.low)
	})
	out := make([]Prefix, len(all))
	for i, k := range keys {
		out[i] = all[k.index]
		if i > 0 && out[i-1].Digits == out[i].Digits && out[i-1].Value != out[i].Value {
			return nil, fmt.Errorf("prefix %s stands twice, and leads to two places", out[i].Digits)
		}
	}
	return out, nil
}

// NewTrie builds a trie. One prefix that stands twice with different entries, or has a digit that there is not, is an error
// that names it.
func NewTrie(unsorted []Prefix) (*Trie, error) {
	all, err := sortPrefixes(unsorted)
	if err != nil {
		return nil, err
	}
	t := &Trie{nodes: make([]node, 1, len(all)+1), prefixCount: len(all)}
	type span struct {
		node     uint32
		depth    int
		from, to int
	}
	for level := []span{{0, 0, 0, len(all)}}; len(level) > 0; { // a node's children are made together, and so stand side by side
		var below []span
		for _, s := range level {
			n, from, depth := &t.nodes[s.node], s.from, s.depth
			for from < s.to && n.skippedCount < maxSkippedDigits && len(all[from].Digits) > depth && // sorted: what first and last share, all do
				len(all[s.to-1].Digits) > depth && all[from].Digits[depth] == all[s.to-1].Digits[depth] {
				d, _ := digitValue(all[from].Digits[depth])
				n.skipped |= uint32(d) << (4 * n.skippedCount)
				n.skippedCount++
				depth++
			}
			for from < s.to && len(all[from].Digits) == depth {
				n.valuePlusOne = all[from].Value + 1
				from++
			}
			n.firstChild = uint32(len(t.nodes))
			next := uint16(0)
			for from < s.to {
				c := all[from].Digits[depth]
				to := from + 1
				for to < s.to && all[to].Digits[depth] == c {
					to++
				}
				d, _ := digitValue(c)
				next |= 1 << d
				below = append(below, span{uint32(len(t.nodes)), depth + 1, from, to})
				t.nodes = append(t.nodes, node{})
				from = to
			}
			t.nodes[s.node].children = next // n may point to where the nodes were
		}
		level = below
	}
	t.nodes = slices.Clip(t.nodes)
	return t, nil
}

// Find returns the entry of the longest prefix of a number and how many digits it has; false when none fits.
func (t *Trie) Find(digits string) (entry uint32, length int, ok bool) {
	n := &t.nodes[0]
	for i := 0; ; i++ {
		for passed, count := n.skipped, n.skippedCount; count > 0; count-- {
			if i == len(digits) {
				return entry, length, ok
			}
			if d, is := digitValue(digits[i]); !is || uint32(d) != passed&15 {
				return entry, length, ok
			}
			passed >>= 4
			i++
		}
		if n.valuePlusOne != 0 {
			entry, length, ok = n.valuePlusOne-1, i, true
		}
		if i == len(digits) {
			return entry, length, ok
		}
		d, is := digitValue(digits[i])
		if !is || n.children&(1<<d) == 0 {
			return entry, length, ok
		}
		n = &t.nodes[n.firstChild+uint32(bits.OnesCount16(n.children&(1<<d-1)))]
	}
}

// Len is the number of prefixes, Octets the memory that they take.
func (t *Trie) Len() int         { return t.prefixCount }
func (t *Trie) MemoryBytes() int { return len(t.nodes) * 16 }

// Walk calls for each prefix in rising order until told to stop.
func (t *Trie) Walk(each func(digits string, entry uint32) bool) {
	var path [MaxDigits + 1]byte
	var down func(n node, depth int) bool
	down = func(n node, depth int) bool {
		for k := range n.skippedCount {
			path[depth] = digitSymbols[n.skipped>>(4*k)&15]
			depth++
		}
		if n.valuePlusOne != 0 && !each(string(path[:depth]), n.valuePlusOne-1) {
			return false
		}
		child := n.firstChild
		for d := range len(digitSymbols) {
			if n.children&(1<<d) != 0 {
				path[depth] = digitSymbols[d]
				if !down(t.nodes[child], depth+1) {
					return false
				}
				child++
			}
		}
		return true
	}
	down(t.nodes[0], 0)
}
