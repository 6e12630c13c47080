// Package timerqueue keeps things in the order of the time at which they fall due; what falls due together comes
// out in the order in which it went in, so that a run can be repeated exactly.
package timerqueue

import "container/heap"

type entry[T any] struct {
	at   int64
	seq  uint64
	what T
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

// Times is the ordered structure; its zero value is ready for use.
type Times[T any] struct {
	held entries[T]
	seq  uint64
}

// Add notes that what falls due at the given time.
func (t *Times[T]) Add(at int64, what T) {
	t.seq++
	t.held = append(t.held, entry[T]{at, t.seq, what})
	heap.Fix(&t.held, len(t.held)-1)
}

// Next tells the earliest time due, if there is one.
func (t *Times[T]) Next() (at int64, ok bool) {
	if len(t.held) == 0 {
		return 0, false
	}
	return t.held[0].at, true
}

// Len is how many things are kept.
func (t *Times[T]) Len() int { return len(t.held) }

// Take removes and returns the earliest thing due at or before now.
func (t *Times[T]) Take(now int64) (what T, ok bool) {
	if len(t.held) == 0 || t.held[0].at > now {
		return what, false
	}
	what, last := t.held[0].what, len(t.held)-1
	t.held[0], t.held[last] = t.held[last], entry[T]{}
	if t.held = t.held[:last]; last > 0 {
		heap.Fix(&t.held, 0)
	}
	return what, true
}
