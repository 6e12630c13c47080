// Package wakeup provides a signal that wakes a loop without blocking the sender.
package wakeup

// Signal is a channel from which one loop receives. Signals that are sent while one is pending are merged with it.
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
