package upstream

import (
	"sync"
	"time"
)

// watchdog ends an attempt that shows nothing for longer than its caller's patience, if the caller agrees then.
type watchdog struct {
	mayAbandon func() bool
	abandon    func()

	mu        sync.Mutex
	timer     *time.Timer
	expiresAt time.Time // when the patience ends; zero: it is stopped
	fired     bool
}

// arm starts the patience anew; zero stops it. It returns false where the attempt has been given up already.
func (w *watchdog) arm(patience time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fired || w.mayAbandon == nil {
		return !w.fired
	}
	if patience <= 0 {
		w.expiresAt = time.Time{}
		if w.timer != nil {
			w.timer.Stop()
		}
		return true
	}
	w.expiresAt = time.Now().Add(patience)
	if w.timer == nil {
		w.timer = time.AfterFunc(patience, w.expire)
	} else {
		w.timer.Reset(patience)
	}
	return true
}

// expire asks the caller and ends the attempt if it agrees. It may come late, when the patience has begun anew.
func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fired || w.expiresAt.IsZero() || time.Now().Before(w.expiresAt) || !w.mayAbandon() {
		return
	}
	w.fired = true
	w.abandon()
}

// hasFired tells whether the attempt was ended here.
func (w *watchdog) hasFired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fired
}
