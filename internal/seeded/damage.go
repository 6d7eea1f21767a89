package seeded

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// ForEachMutation calls check with every input of the corpus, then with many inputs made from them by one to eight
// mutations: octets changed, inserted, deleted or duplicated, boundary values put in, and the tail of another input appended.
//
// The seed is fixed, so that a test run does not fail by chance for an unrelated change. Fuzzing with `go test -fuzz` uses
// the same check and corpus and searches further.
func ForEachMutation(t *testing.T, corpus [][]byte, many int, check func(t *testing.T, in []byte)) {
	t.Helper()
	if len(corpus) == 0 {
		t.Fatal("empty corpus")
	}
	rng := rand.New(rand.NewPCG(1971, uint64(len(corpus))))
	tell := func(in []byte) {
		check(t, slices.Clone(in))
		if t.Failed() {
			t.Fatalf("input %q", in)
		}
	}
	for _, in := range corpus {
		tell(in)
	}
	for range many {
		in := slices.Clone(corpus[rng.IntN(len(corpus))])
		for range 1 + rng.IntN(8) {
			in = mutate(rng, in, corpus)
		}
		tell(in)
	}
}

var boundaryBytes = []byte{0, 1, 2, 0x7f, 0x80, 0xff, ' ', '\r', '\n', '0', '9', ':', '-'}

func mutate(rng *rand.Rand, in []byte, corpus [][]byte) []byte {
	if len(in) == 0 {
		return []byte{byte(rng.Uint32())}
	}
	at := rng.IntN(len(in))
	upTo := at + 1 + rng.IntN(min(8, len(in)-at))
	switch rng.IntN(8) {
	case 0:
		in[at] ^= 1 << rng.IntN(8)
	case 1:
		in[at] = byte(rng.Uint32())
	case 2:
		in[at] = boundaryBytes[rng.IntN(len(boundaryBytes))]
	case 3:
		in = slices.Insert(in, at, byte(rng.Uint32()))
	case 4:
		in = slices.Delete(in, at, upTo)
	case 5:
		in = slices.Insert(in, rng.IntN(len(in)+1), slices.Clone(in[at:upTo])...)
	case 6:
		in = in[:at]
	case 7:
		if other := corpus[rng.IntN(len(corpus))]; len(other) > 0 {
			in = append(in[:at], other[rng.IntN(len(other)):]...)
		}
	}
	return in
}
