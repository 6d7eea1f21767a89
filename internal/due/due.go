// Package due is a timer queue without a clock: it orders timers by due time, and timers of equal time by insertion.
package due

import (
	"container/heap"
	"slices"

	"indigodrift/policy"
)

// Kind identifies the action of a timer. Its values belong to the queue's user.
type Kind uint8

// Item is a timer that has fallen due.
type Item struct {
	At    policy.Tenths
	Kind  Kind
	Token uint64
}

// Timer is a timer in a queue. Its user keeps it only in order to stop it.
type Timer struct {
	item  Item
	order uint64
	index int // in the queue, removed once it has left the queue
}

// removed is the index of a timer that is in no queue.
const removed = -1

// Queue is a priority queue of timers by due time. It holds only timers that are neither due nor stopped. The zero value is
// empty.
type Queue struct {
	timers timers
	order  uint64
}

// Set adds a timer.
func (q *Queue) Set(at policy.Tenths, kind Kind, token uint64) *Timer {
	q.order++
	timer := &Timer{item: Item{At: at, Kind: kind, Token: token}, order: q.order}
	heap.Push(&q.timers, timer)
	return timer
}

// Pending reports whether the timer is still in its queue.
func (t *Timer) Pending() bool { return t.index != removed }

// Stop removes a timer. It does nothing if the timer is nil or has left the queue already.
func (q *Queue) Stop(timer *Timer) {
	if timer == nil || !timer.Pending() {
		return
	}
	heap.Remove(&q.timers, timer.index)
}

// Len returns the number of timers in the queue.
func (q *Queue) Len() int { return len(q.timers) }

// Next returns the earliest due time, and false if the queue is empty.
func (q *Queue) Next() (policy.Tenths, bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].item.At, true
}

// Pop removes and returns the earliest timer if it is due at now.
func (q *Queue) Pop(now policy.Tenths) (Item, bool) {
	if len(q.timers) == 0 || q.timers[0].item.At > now {
		return Item{}, false
	}
	return heap.Pop(&q.timers).(*Timer).item, true
}

// Group is a set of timers that are stopped together. The zero value is empty.
type Group struct{ timers []*Timer }

// Add adds a timer to the group and forgets those that have left their queue.
func (g *Group) Add(timer *Timer) {
	g.timers = append(slices.DeleteFunc(g.timers, func(other *Timer) bool { return !other.Pending() }), timer)
}

// Stop stops all timers of the group and empties it.
func (g *Group) Stop(q *Queue) {
	for _, timer := range g.timers {
		q.Stop(timer)
	}
	g.timers = nil
}

// timers implements heap.Interface. Each timer knows its index.
type timers []*Timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].item.At < t[j].item.At || t[i].item.At == t[j].item.At && t[i].order < t[j].order
}

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

func (t *timers) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(*t)
	*t = append(*t, timer)
}

func (t *timers) Pop() any {
	last := len(*t) - 1
	timer := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	timer.index = removed
	return timer
}
