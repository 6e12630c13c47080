// Package ctxsleep waits under a context.
package ctxsleep

import (
	"context"
	"time"
)

// Sleep waits for a span. It returns false as soon as the context ends, also where it had ended before.
func Sleep(ctx context.Context, span time.Duration) bool {
	if span <= 0 || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
