package placement

import "time"

const (
	// The breaker stays open for minBreakerOpen at first, and for twice as long each further time, up to maxBreakerOpen.
	minBreakerOpen = 1500 * time.Millisecond
	maxBreakerOpen = 12 * time.Second
	// fullStepFailures is the number of failed answers, less the good ones since, that opens the breaker in the full step.
	// In the earlier steps a single one does: otherwise all proxies together would send many requests to a bad version
	// before their reports are evaluated.
	fullStepFailures = 2
)

// rolloutBreaker is a circuit breaker (Nygard, "Release It!", 2007): it stops this proxy's requests to the target of a
// roll-out after failed answers to this proxy, without a decision of any other process. The zero value is closed:
// requests pass.
type rolloutBreaker struct {
	openUntil    time.Time
	nextOpenTime time.Duration
	failures     int // bad answers since the breaker last opened, less the good ones; never negative
}

// isOpen reports whether the proxy may send the target no requests now.
func (b *rolloutBreaker) isOpen(now time.Time) bool { return now.Before(b.openUntil) }

// recordFailure counts a bad answer. It opens the breaker, and returns true, if the threshold is reached.
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

// reset closes the breaker. It is called when the roll-out's step changes: then the reports of all proxies have shown
// the target to be good enough for the next step.
func (b *rolloutBreaker) reset() { *b = rolloutBreaker{} }
