package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

// Guards against a new owner of a destination that calls it during its outage or before its Retry-After delay has passed.
func TestExportedStateIsInForceAtTheNextOwner(t *testing.T) {
	previous, next := startScenario(testSettings(), plainKind), startScenario(testSettings(), plainKind)
	previous.submit(1, idempotentEvent, 0)
	previous.advance(api.Second / 10)
	exported := previous.destinations[0].sharedRoute
	exported.retryAfterUntil = previous.fake.now + 3*api.Second
	exported.unhealthy = true
	exported.slowStartSince = previous.fake.now
	state, known := previous.ExportState(0)
	assert.True(t, known)
	next.fake.now = previous.fake.now
	next.ImportState(state)
	imported := next.destinations[0].sharedRoute
	assert.Equal(t, exported.retryAfterUntil, imported.retryAfterUntil)
	assert.True(t, imported.unhealthy)
	assert.Equal(t, previous.fake.now, imported.slowStartSince)
	next.submit(2, idempotentEvent, 0)
	next.advance(api.Second / 10)
	assert.Empty(t, next.fake.attempts, "the next owner respects the Retry-After, too")
	state.WaitUntil = 0
	state.Unhealthy = false
	state.SlowStartSince = never
	next.ImportState(state)
	const older = "an older state has no effect"
	assert.True(t, imported.unhealthy, older)
	assert.Positive(t, imported.retryAfterUntil, older)
	assert.NotEqual(t, never, imported.slowStartSince, older)
	_, known = next.ExportState(99)
	assert.False(t, known)
}
