package ctxsleep

import (
	"context"
	"time"
)

// Repeat calls a function at each interval until the context ends. If several ticks come while the function runs, it is
// called only once more for all of them.
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
