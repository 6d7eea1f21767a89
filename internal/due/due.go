// Package due is a timer queue without a clock: it orders items by due time, and items of equal time by insertion.
package due

import (
	"container/heap"

	"indigodrift/policy"
)

// Kind identifies the action of an item. Its values belong to the queue's user.
type Kind uint8

// Item is an entry of the queue.
type Item struct {
	At    policy.Tenths
	Kind  Kind
	Token uint64
	order uint64
}

// Queue is a priority queue of items by due time. The zero value is empty.
type Queue struct {
	items items
	order uint64
}

// Set adds an item. Items can't be removed: the user ignores those that it no longer needs.
func (q *Queue) Set(at policy.Tenths, kind Kind, token uint64) {
	q.order++
	heap.Push(&q.items, Item{at, kind, token, q.order})
}

// Len returns the number of items in the queue.
func (q *Queue) Len() int { return len(q.items) }

// Next returns the earliest due time, and false if the queue is empty.
func (q *Queue) Next() (policy.Tenths, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].At, true
}

// Pop removes and returns the earliest item if it is due at now.
func (q *Queue) Pop(now policy.Tenths) (Item, bool) {
	if len(q.items) == 0 || q.items[0].At > now {
		return Item{}, false
	}
	return heap.Pop(&q.items).(Item), true
}

// items implements heap.Interface.
type items []Item

func (d items) Len() int { return len(d) }
func (d items) Less(i, j int) bool {
	return d[i].At < d[j].At || d[i].At == d[j].At && d[i].order < d[j].order
}
func (d items) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *items) Push(x any)   { *d = append(*d, x.(Item)) }
func (d *items) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}
