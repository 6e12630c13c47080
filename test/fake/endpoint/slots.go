package endpoint

import (
	"context"
	"slices"
	"sync"
)

// slots holds the places of running requests and the queue of those that wait, the most urgent first. Requests of a
// language model also need memory, which they share with the cache of prompts.
type slots struct {
	mutex   sync.Mutex
	places  int
	queue   int
	memory  *memory // nil: requests need none
	running int
	waiting []*waiter
}

// waiter is a request that waits.
type waiter struct {
	priority int
	tokens   int
	admitted chan struct{} // closed when it may run
}

// enter waits for a place and for memory for some tokens. False: the queue is full, the request is larger than the
// memory, or the context ended first. Who has entered must leave.
func (s *slots) enter(ctx context.Context, priority, tokens int) bool {
	w := s.join(priority, tokens)
	if w == nil {
		return false
	}
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	at := slices.Index(s.waiting, w)
	if at < 0 { // it was admitted at the same moment
		s.release(tokens)
		return false
	}
	s.waiting = slices.Delete(s.waiting, at, at+1)
	s.admit()
	return false
}

// join queues a request up; nil: it is turned away.
func (s *slots) join(priority, tokens int) *waiter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.memory != nil && tokens > s.memory.total {
		return nil
	}
	w := &waiter{priority: priority, tokens: tokens, admitted: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(s.waiting, priority+1, func(other *waiter, priority int) int {
		return other.priority - priority
	})
	s.waiting = slices.Insert(s.waiting, at, w)
	s.admit()
	if len(s.waiting) > s.queue && slices.Contains(s.waiting, w) {
		s.waiting = slices.DeleteFunc(s.waiting, func(other *waiter) bool { return other == w })
		return nil
	}
	return w
}

// leave gives the place and the memory back.
func (s *slots) leave(tokens int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.release(tokens)
}

func (s *slots) release(tokens int) {
	s.running--
	if s.memory != nil {
		s.memory.give(tokens)
	}
	s.admit()
}

// admit lets in whoever may run now.
func (s *slots) admit() {
	for len(s.waiting) > 0 && s.running < s.places {
		first := s.waiting[0]
		if s.memory != nil && !s.memory.take(first.tokens) {
			return
		}
		s.running++
		s.waiting = s.waiting[1:]
		close(first.admitted)
	}
}

// counts are the requests that run and that wait.
func (s *slots) counts() (running, waiting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running, len(s.waiting)
}
