package endpoint

import (
	"context"
	"slices"
	"sync"
)

// slots holds the running requests and the queue of the waiting ones, ordered by priority. Requests to a language
// model also need space in the KV cache.
type slots struct {
	mutex      sync.Mutex
	capacity   int
	queueLimit int
	kvCache    *kvCache // nil: requests need none
	running    int
	waiting    []*waiter
}

// waiter is a waiting request.
type waiter struct {
	priority int
	tokens   int
	admitted chan struct{} // closed when it may run
}

// acquire waits for a slot and for KV cache space for some tokens. It returns false if the queue is full, the request
// is larger than the KV cache, or the context ended first. What is acquired must be released.
func (s *slots) acquire(ctx context.Context, priority, tokens int) bool {
	w := s.enqueue(priority, tokens)
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
	index := slices.Index(s.waiting, w)
	if index < 0 { // it was admitted at the same moment
		s.releaseLocked(tokens)
		return false
	}
	s.waiting = slices.Delete(s.waiting, index, index+1)
	s.admitWaiting()
	return false
}

// enqueue queues a request; nil: it is rejected.
func (s *slots) enqueue(priority, tokens int) *waiter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.kvCache != nil && tokens > s.kvCache.total {
		return nil
	}
	w := &waiter{priority: priority, tokens: tokens, admitted: make(chan struct{})}
	index, _ := slices.BinarySearchFunc(s.waiting, priority+1, func(other *waiter, priority int) int {
		return other.priority - priority
	})
	s.waiting = slices.Insert(s.waiting, index, w)
	s.admitWaiting()
	if len(s.waiting) > s.queueLimit && slices.Contains(s.waiting, w) {
		s.waiting = slices.DeleteFunc(s.waiting, func(other *waiter) bool { return other == w })
		return nil
	}
	return w
}

// release frees the slot and the KV cache space.
func (s *slots) release(tokens int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.releaseLocked(tokens)
}

// releaseLocked is release for a caller that holds the mutex.
func (s *slots) releaseLocked(tokens int) {
	s.running--
	if s.kvCache != nil {
		s.kvCache.release(tokens)
	}
	s.admitWaiting()
}

// admitWaiting admits the requests that can run now. The caller holds the mutex.
func (s *slots) admitWaiting() {
	for len(s.waiting) > 0 && s.running < s.capacity {
		first := s.waiting[0]
		if s.kvCache != nil && !s.kvCache.reserve(first.tokens) {
			return
		}
		s.running++
		s.waiting = s.waiting[1:]
		close(first.admitted)
	}
}

// counts returns the numbers of running and waiting requests.
func (s *slots) counts() (running, waiting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running, len(s.waiting)
}
