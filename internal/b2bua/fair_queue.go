package b2bua

import (
	"cmp"
	"container/heap"
	"container/list"
	"iter"
	"maps"
	"slices"
)

// fairQueue holds entries that came on account of connections, within a limit of their common weight. When it is full, the
// connection whose entries weigh most loses its oldest ones, so that a peer that floods the queue displaces its own entries
// and not those of others.
type fairQueue[T any] struct {
	limit    int
	weight   int
	length   int
	origins  map[ConnID]*origin
	heaviest originHeap
}

// origin is a connection with its entries, oldest first.
type origin struct {
	conn    ConnID
	entries list.List // of fairItem
	weight  int
	index   int // in the heap
}

// fairItem is an entry with its weight.
type fairItem[T any] struct {
	value  T
	weight int
}

// fairEntry is the place of an entry in a fairQueue.
type fairEntry struct {
	origin  *origin
	element *list.Element
}

func newFairQueue[T any](limit int) fairQueue[T] {
	return fairQueue[T]{limit: limit, origins: map[ConnID]*origin{}}
}

// add adds an entry of weight 1, as addWeighted does.
func (q *fairQueue[T]) add(conn ConnID, value T) (place *fairEntry, displaced []T) {
	return q.addWeighted(conn, value, 1)
}

// addWeighted adds an entry on account of a connection and returns its place. If the queue is full, it first removes and
// returns the oldest entries of the connection whose entries would weigh most. It adds nothing and returns no place if that
// is the new entry's connection, which has no other.
func (q *fairQueue[T]) addWeighted(conn ConnID, value T, weight int) (place *fairEntry, displaced []T) {
	for q.length > 0 && q.weight+weight > q.limit {
		loser, ownWeight := q.heaviest[0], weight
		own := q.origins[conn]
		if own != nil {
			ownWeight += own.weight
		}
		if ownWeight >= loser.weight {
			loser = own
		}
		if loser == nil {
			return nil, displaced
		}
		displaced = append(displaced, q.removeOldest(loser))
	}
	from := q.origins[conn]
	if from == nil {
		from = &origin{conn: conn}
		q.origins[conn] = from
		heap.Push(&q.heaviest, from)
	}
	place = &fairEntry{from, from.entries.PushBack(fairItem[T]{value, weight})}
	q.length++
	q.addWeight(from, weight)
	return place, displaced
}

// remove removes an entry.
func (q *fairQueue[T]) remove(place *fairEntry) {
	from := place.origin
	item := from.entries.Remove(place.element).(fairItem[T])
	q.length--
	if q.addWeight(from, -item.weight); from.entries.Len() == 0 {
		heap.Remove(&q.heaviest, from.index)
		delete(q.origins, from.conn)
	}
}

func (q *fairQueue[T]) addWeight(from *origin, weight int) {
	q.weight += weight
	from.weight += weight
	heap.Fix(&q.heaviest, from.index)
}

// removeOldest removes and returns the oldest entry of a connection.
func (q *fairQueue[T]) removeOldest(from *origin) T {
	oldest := from.entries.Front()
	value := oldest.Value.(fairItem[T]).value
	q.remove(&fairEntry{from, oldest})
	return value
}

// removeWhile removes the oldest entries of each connection as long as they match, and passes them to removed.
func (q *fairQueue[T]) removeWhile(match func(T) bool, removed func(T)) {
	for _, from := range q.origins {
		for from.entries.Len() > 0 && match(from.entries.Front().Value.(fairItem[T]).value) {
			removed(q.removeOldest(from))
		}
	}
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
				if !yield(element.Value.(fairItem[T]).value) {
					return
				}
				element = next
			}
		}
	}
}

// originHeap implements heap.Interface, the connection whose entries weigh most first.
type originHeap []*origin

func (h originHeap) Len() int { return len(h) }
func (h originHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[j].weight, h[i].weight), cmp.Compare(h[i].conn, h[j].conn)) < 0
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
