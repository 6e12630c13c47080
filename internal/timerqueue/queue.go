// Package timerqueue keeps things in the order of the time at which they fall due; what falls due together comes
// out in the order in which it went in, so that a run can be repeated exactly.
package timerqueue

import "container/heap"

type entry[T any] struct {
	at    int64
	seq   uint64
	value T
}

type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }
func (e entries[T]) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push and Pop are the interface's; Add and Take go round them, since a value in an interface is allocated.
func (e *entries[T]) Push(any) {}
func (e *entries[T]) Pop() any { return nil }

// Queue is the ordered structure; its zero value is ready for use.
type Queue[T any] struct {
	items entries[T]
	seq   uint64
}

// Add notes that what falls due at the given time.
func (t *Queue[T]) Add(at int64, what T) {
	t.seq++
	t.items = append(t.items, entry[T]{at, t.seq, what})
	heap.Fix(&t.items, len(t.items)-1)
}

// Next tells the earliest time due, if there is one.
func (t *Queue[T]) Next() (at int64, ok bool) {
	if len(t.items) == 0 {
		return 0, false
	}
	return t.items[0].at, true
}

// Len is how many things are kept.
func (t *Queue[T]) Len() int { return len(t.items) }

// PopDue removes and returns the earliest thing due at or before now.
func (t *Queue[T]) PopDue(now int64) (what T, ok bool) {
	if len(t.items) == 0 || t.items[0].at > now {
		return what, false
	}
	what, last := t.items[0].value, len(t.items)-1
	t.items[0], t.items[last] = t.items[last], entry[T]{}
	if t.items = t.items[:last]; last > 0 {
		heap.Fix(&t.items, 0)
	}
	return what, true
}
