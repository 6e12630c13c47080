package placement

import "time"

const (
	// In the first steps one failed answer closes the brake; all proxies together would otherwise give a bad version
	// many requests before any report of theirs is judged.
	// minBrakeHold is how long it stays closed at first. The time doubles with each time, up to maxBrakeHold.
	minBrakeHold = 1500 * time.Millisecond
	maxBrakeHold = 12 * time.Second
	// fullStepFailures is the number of failed answers that closes it in the full step, with no more than as many good
	// ones between them.
	fullStepFailures = 2
)

// rolloutBrake stops a proxy's requests to the target of a roll-out by what the proxy itself has seen, with no call to
// any other process. The zero value is open.
type rolloutBrake struct {
	closedUntil time.Time
	hold        time.Duration // of the next closing
	failures    int           // that good answers haven't made up for
}

// isClosed reports whether the proxy sends the target nothing now.
func (b *rolloutBrake) isClosed(now time.Time) bool { return now.Before(b.closedUntil) }

// recordFailure counts a bad answer and reports whether it has closed the brake.
func (b *rolloutBrake) recordFailure(now time.Time, threshold int) (closed bool) {
	b.failures++
	if b.failures < threshold || b.isClosed(now) {
		return false
	}
	b.hold = min(max(b.hold, minBrakeHold), maxBrakeHold)
	b.closedUntil = now.Add(b.hold)
	b.hold *= 2
	b.failures = 0
	return true
}

// recordSuccess counts a good answer.
func (b *rolloutBrake) recordSuccess() { b.failures = max(b.failures-1, 0) }

// reset opens the brake: the answers of all proxies together have allowed the next step.
func (b *rolloutBrake) reset() { *b = rolloutBrake{} }
