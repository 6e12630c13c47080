package member

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
)

// Guards against a webhook that is delivered twice because outdated settings are used: a copy that was lost with a
// relay is sent again, though its event type is at-most-once by now.
func TestEventType_FollowsReloadedSettings(t *testing.T) {
	m := New("")
	m.settings.Store(&api.Settings{EventTypes: []api.EventType{{Semantics: api.Idempotent}}})
	lost := func() stream.Resolution {
		return stream.Resolve(&stream.Item{FirstAttemptAt: api.Never}, 1, m.eventType(0), true, 9, 2)
	}
	assert.Equal(t, stream.ResolveRetry, lost())
	m.UpdateSettings(api.Settings{EventTypes: []api.EventType{{Semantics: api.AtMostOnce}}})
	assert.Equal(t, stream.ResolveDeadLetter, lost())
	m.UpdateSettings(api.Settings{})
	assert.Equal(t, stream.ResolveDeadLetter, lost(), "its event type was removed")
}
