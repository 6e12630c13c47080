package ctxsleep

import (
	"context"
	"time"
)

// Repeat calls a function at each tick of an interval, until the context ends. A tick that comes while the function runs
// is dropped, but for one.
func Repeat(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
