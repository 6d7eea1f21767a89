package callagent

import (
	"container/heap"

	"indigodrift/policy"
)

// timerKind tells what a timer is for.
type timerKind uint8

const (
	lineTimer timerKind = iota
	gatewayTimer
	admissionTimer
)

// timer is an entry of the timer heap. It is ignored if its owner has been rescheduled to another time since.
type timer struct {
	at    policy.Tenths
	kind  timerKind
	index int // of the line or the gateway
}

// timerHeap implements heap.Interface by time.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any          { n := len(*h) - 1; x := (*h)[n]; *h = (*h)[:n]; return x }

// schedule sets a timer.
func (a *Agent) schedule(at policy.Tenths, kind timerKind, index int) {
	heap.Push(&a.timers, timer{at, kind, index})
}
