package placement

import "time"

const (
	// In the first steps one failed answer opens the breaker; all proxies together would otherwise give a bad version
	// many requests before any report of theirs is judged.
	// minBreakerOpen is how long it stays open at first. The time doubles with each time, up to maxBreakerOpen.
	minBreakerOpen = 1500 * time.Millisecond
	maxBreakerOpen = 12 * time.Second
	// fullStepFailures is the number of failed answers that opens it in the full step, with no more than as many good
	// ones between them.
	fullStepFailures = 2
)

// rolloutBreaker is a circuit breaker (Nygard, "Release It!", 2007): it stops a proxy's requests to the target of a
// roll-out by what the proxy itself has seen, with no call to any other process. The zero value is closed, so that
// requests pass.
type rolloutBreaker struct {
	openUntil    time.Time
	nextOpenTime time.Duration
	failures     int // that good answers haven't made up for
}

// isOpen reports whether the proxy sends the target nothing now.
func (b *rolloutBreaker) isOpen(now time.Time) bool { return now.Before(b.openUntil) }

// recordFailure counts a bad answer and reports whether it has opened the breaker.
func (b *rolloutBreaker) recordFailure(now time.Time, threshold int) (opened bool) {
	b.failures++
	if b.failures < threshold || b.isOpen(now) {
		return false
	}
	openTime := min(max(b.nextOpenTime, minBreakerOpen), maxBreakerOpen)
	b.openUntil = now.Add(openTime)
	b.nextOpenTime = 2 * openTime
	b.failures = 0
	return true
}

// recordSuccess counts a good answer.
func (b *rolloutBreaker) recordSuccess() { b.failures = max(b.failures-1, 0) }

// reset closes the breaker: the answers of all proxies together have allowed the next step.
func (b *rolloutBreaker) reset() { *b = rolloutBreaker{} }
