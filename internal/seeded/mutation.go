package seeded

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// ForEachMutation calls check with every input of the corpus, then with many inputs made from them by one to eight
// mutations: octets changed, inserted, deleted or duplicated, boundary values put in, and the tail of another input appended.
//
// The seed is fixed, because a time-limited fuzz run draws new inputs each time: it can fail on a change for a fault that is
// months old, and pass the next day. `go test -fuzz` searches further with the same check and corpus.
func ForEachMutation(t *testing.T, corpus [][]byte, count int, check func(t *testing.T, in []byte)) {
	t.Helper()
	if len(corpus) == 0 {
		t.Fatal("empty corpus")
	}
	rng := rand.New(rand.NewPCG(1971, uint64(len(corpus))))
	run := func(in []byte) {
		check(t, slices.Clone(in))
		if t.Failed() {
			t.Fatalf("input %q", in)
		}
	}
	for _, in := range corpus {
		run(in)
	}
	for range count {
		in := slices.Clone(corpus[rng.IntN(len(corpus))])
		for range 1 + rng.IntN(8) {
			in = mutate(rng, in, corpus)
		}
		run(in)
	}
}

// boundaryBytes are values at the limits of ranges and separators of text protocols.
var boundaryBytes = []byte{0, 1, 2, 0x7f, 0x80, 0xff, ' ', '\r', '\n', '0', '9', ':', '-'}

// mutate returns the input with one random mutation.
func mutate(rng *rand.Rand, in []byte, corpus [][]byte) []byte {
	if len(in) == 0 {
		return []byte{byte(rng.Uint32())}
	}
	start := rng.IntN(len(in))
	end := start + 1 + rng.IntN(min(8, len(in)-start))
	switch rng.IntN(8) {
	case 0:
		in[start] ^= 1 << rng.IntN(8)
	case 1:
		in[start] = byte(rng.Uint32())
	case 2:
		in[start] = boundaryBytes[rng.IntN(len(boundaryBytes))]
	case 3:
		in = slices.Insert(in, start, byte(rng.Uint32()))
	case 4:
		in = slices.Delete(in, start, end)
	case 5:
		in = slices.Insert(in, rng.IntN(len(in)+1), slices.Clone(in[start:end])...)
	case 6:
		in = in[:start]
	case 7:
		if other := corpus[rng.IntN(len(corpus))]; len(other) > 0 {
			in = append(in[:start], other[rng.IntN(len(other)):]...)
		}
	}
	return in
}
