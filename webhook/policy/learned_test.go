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
	was.dests[0].shared.waitUntil = was.h.now + 3*sec
	was.dests[0].shared.sick, was.dests[0].shared.coldSince = true, was.h.now
	l, known := was.ExportState(0)
	assert.True(t, known)
	next.h.now = was.h.now
	next.ImportState(l)
	r := next.dests[0].shared
	assert.Equal(t, was.dests[0].shared.waitUntil, r.waitUntil)
	assert.True(t, r.sick)
	assert.Equal(t, was.h.now, r.coldSince)
	next.take(2, 0, 0)
	next.run(sec / 10)
	assert.Empty(t, next.h.sent, "a told wait holds there too")
	l.WaitUntil, l.Unhealthy, l.SlowStartSince = 0, false, never
	next.ImportState(l)
	assert.True(t, r.sick && r.waitUntil > 0 && r.coldSince != never, "an older word makes nobody less careful")
	_, known = next.ExportState(99)
	assert.False(t, known)
}
