// Package ctxsleep sleeps, and calls functions periodically, until a context ends.
package ctxsleep

import (
	"context"
	"time"
)

// Sleep sleeps for a duration and returns true. If the context ends first, or ended before the call, Sleep returns
// false at once.
func Sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
