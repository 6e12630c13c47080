// Package wakeup provides a signal that wakes a loop without blocking whoever sends it.
package wakeup

// Signal is received from by one loop. Signals sent while one is pending are merged into it.
type Signal chan struct{}

// New returns a Signal that is not pending.
func New() Signal { return make(Signal, 1) }

// Send makes the signal pending; it never blocks.
func (s Signal) Send() {
	select {
	case s <- struct{}{}:
	default:
	}
}
