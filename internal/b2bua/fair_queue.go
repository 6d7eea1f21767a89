package b2bua

import (
	"cmp"
	"container/heap"
	"container/list"
	"iter"
	"maps"
	"slices"
)

// fairQueue holds entries that came on account of connections, within a common limit. When it is full, the connection
// with the most entries loses one of them, so that a peer that floods the queue displaces its own entries and not those
// of others.
type fairQueue[T any] struct {
	limit   int
	length  int
	origins map[ConnID]*origin
	largest originHeap
}

// origin is a connection with its entries, oldest first.
type origin struct {
	conn    ConnID
	entries list.List
	index   int // in the heap
}

// fairEntry is the place of an entry in a fairQueue.
type fairEntry struct {
	origin  *origin
	element *list.Element
}

func newFairQueue[T any](limit int) fairQueue[T] {
	return fairQueue[T]{limit: limit, origins: map[ConnID]*origin{}}
}

// add adds an entry on account of a connection and returns its place. If the queue is full, it first removes and returns
// the oldest entry of the connection with the most entries. It adds nothing and returns nil if no connection has more
// entries than the new one's.
func (q *fairQueue[T]) add(conn ConnID, value T) (place *fairEntry, removed T, full bool) {
	if q.length >= q.limit {
		most := q.largest[0]
		if own := q.origins[conn]; most.entries.Len() <= 1 || own != nil && own.entries.Len() == most.entries.Len() && own != most {
			return nil, removed, true
		}
		removed, full = most.entries.Front().Value.(T), true
		q.remove(&fairEntry{most, most.entries.Front()})
	}
	from := q.origins[conn]
	if from == nil {
		from = &origin{conn: conn}
		q.origins[conn] = from
		heap.Push(&q.largest, from)
	}
	place = &fairEntry{from, from.entries.PushBack(value)}
	q.length++
	heap.Fix(&q.largest, from.index)
	return place, removed, full
}

// remove removes an entry.
func (q *fairQueue[T]) remove(place *fairEntry) {
	from := place.origin
	from.entries.Remove(place.element)
	q.length--
	if from.entries.Len() > 0 {
		heap.Fix(&q.largest, from.index)
		return
	}
	heap.Remove(&q.largest, from.index)
	delete(q.origins, from.conn)
}

// all yields the entries by connection, in the order of the connections, and for each the oldest first. The present one may
// be removed meanwhile.
func (q *fairQueue[T]) all() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, conn := range slices.Sorted(maps.Keys(q.origins)) {
			from := q.origins[conn]
			if from == nil {
				continue
			}
			for element := from.entries.Front(); element != nil; {
				next := element.Next()
				if !yield(element.Value.(T)) {
					return
				}
				element = next
			}
		}
	}
}

// originHeap implements heap.Interface, the connection with the most entries first.
type originHeap []*origin

func (h originHeap) Len() int { return len(h) }
func (h originHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[j].entries.Len(), h[i].entries.Len()), cmp.Compare(h[i].conn, h[j].conn)) < 0
}

func (h originHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *originHeap) Push(x any) {
	from := x.(*origin)
	from.index = len(*h)
	*h = append(*h, from)
}

func (h *originHeap) Pop() any {
	last := len(*h) - 1
	from := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return from
}
