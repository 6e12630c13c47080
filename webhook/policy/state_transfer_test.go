package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards a told wait and an outage when a destination's home moves: the next one would call into them.
func TestWhatIsLearnedHoldsForTheNextHome(t *testing.T) {
	was, next := begin(plainFacts(), 0), begin(plainFacts(), 0)
	was.take(1, 0, 0)
	was.run(sec / 10)
	was.destinations[0].sharedRoute.retryAfterUntil = was.h.now + 3*sec
	was.destinations[0].sharedRoute.unhealthy, was.destinations[0].sharedRoute.slowStartSince = true, was.h.now
	l, known := was.ExportState(0)
	assert.True(t, known)
	next.h.now = was.h.now
	next.ImportState(l)
	r := next.destinations[0].sharedRoute
	assert.Equal(t, was.destinations[0].sharedRoute.retryAfterUntil, r.retryAfterUntil)
	assert.True(t, r.unhealthy)
	assert.Equal(t, was.h.now, r.slowStartSince)
	next.take(2, 0, 0)
	next.run(sec / 10)
	assert.Empty(t, next.h.sent, "a told wait holds there too")
	l.WaitUntil, l.Unhealthy, l.SlowStartSince = 0, false, never
	next.ImportState(l)
	assert.True(t, r.unhealthy && r.retryAfterUntil > 0 && r.slowStartSince != never, "an older word makes nobody less careful")
	_, known = next.ExportState(99)
	assert.False(t, known)
}
