package upstream

import (
	"sync"
	"time"
)

// watchdog abandons an attempt that makes no progress within a timeout, if mayAbandon then returns true.
type watchdog struct {
	mayAbandon func() bool // nil: there is no timeout
	abandon    func()

	mu        sync.Mutex
	timer     *time.Timer
	expiresAt time.Time // zero: the timeout is stopped
	fired     bool
}

// arm restarts the timeout with a new duration; zero stops it. It returns false if the attempt has been abandoned
// already.
func (w *watchdog) arm(timeout time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fired || w.mayAbandon == nil {
		return !w.fired
	}
	if timeout <= 0 {
		w.expiresAt = time.Time{}
		if w.timer != nil {
			w.timer.Stop()
		}
		return true
	}
	w.expiresAt = time.Now().Add(timeout)
	if w.timer == nil {
		w.timer = time.AfterFunc(timeout, w.expire)
	} else {
		w.timer.Reset(timeout)
	}
	return true
}

// expire abandons the attempt if mayAbandon returns true. It does nothing if the timer fires after the timeout has been
// restarted or stopped.
func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fired || w.expiresAt.IsZero() || time.Now().Before(w.expiresAt) || !w.mayAbandon() {
		return
	}
	w.fired = true
	w.abandon()
}

// hasFired reports whether the watchdog has abandoned the attempt.
func (w *watchdog) hasFired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fired
}
