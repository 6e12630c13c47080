// Package timerqueue implements a priority queue ordered by time. Values that are due at the same time are returned in
// the order in which they were added, so that simulations are reproducible.
package timerqueue

import "container/heap"

// entry is a value with the time when it is due and a sequence number, which gives the order of addition.
type entry[T any] struct {
	at    int64
	seq   uint64
	value T
}

// entries implements heap.Interface.
type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }

func (e entries[T]) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push and Pop are required by heap.Interface but not called. Queue changes the slice itself and calls heap.Fix, since
// passing an entry as an interface value would allocate.
func (e *entries[T]) Push(any) {}
func (e *entries[T]) Pop() any { return nil }

// Queue holds values ordered by time. The zero value is an empty queue. It is not safe for concurrent use.
type Queue[T any] struct {
	items entries[T]
	seq   uint64
}

// Add adds a value that is due at a time, in the caller's unit.
func (q *Queue[T]) Add(at int64, value T) {
	q.seq++
	q.items = append(q.items, entry[T]{at, q.seq, value})
	heap.Fix(&q.items, len(q.items)-1)
}

// Next returns the time of the earliest value, and false if the queue is empty.
func (q *Queue[T]) Next() (at int64, ok bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// Len returns the number of values.
func (q *Queue[T]) Len() int { return len(q.items) }

// PopDue removes and returns the earliest value that is due at or before now, and false if there is none.
func (q *Queue[T]) PopDue(now int64) (value T, ok bool) {
	if len(q.items) == 0 || q.items[0].at > now {
		return value, false
	}
	value = q.items[0].value
	last := len(q.items) - 1
	q.items[0], q.items[last] = q.items[last], entry[T]{}
	q.items = q.items[:last]
	if last > 0 {
		heap.Fix(&q.items, 0)
	}
	return value, true
}
