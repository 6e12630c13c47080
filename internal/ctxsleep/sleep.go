// Package ctxsleep is time.Sleep with a context.
package ctxsleep

import (
	"context"
	"time"
)

// Sleep sleeps for a duration. It returns false as soon as the context ends, also if it ended before the call.
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
