// Package ctxsleep sleeps, and calls functions periodically, until a context ends.
package ctxsleep

import (
	"context"
	"time"
)

// Sleep sleeps for a duration and returns true. If the context ends first, or ended before the call, Sleep returns
// false at once.
func Sleep(ctx context.Context, duration time.Duration) bool {
	return SleepOrSignal(ctx, duration, nil)
}

// SleepOrSignal is like Sleep, but returns true as soon as a value can be received from signal. A nil channel never
// signals.
func SleepOrSignal(ctx context.Context, duration time.Duration, signal <-chan struct{}) bool {
	if duration <= 0 || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-signal:
		return true
	case <-ctx.Done():
		return false
	}
}
