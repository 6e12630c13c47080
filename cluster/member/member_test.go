package member

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
)

// Guards against a webhook that is delivered twice: a copy that was lost with a relay is sent once more by settings
// that don't hold any more.
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
	assert.Equal(t, stream.ResolveDeadLetter, lost(), "its event type has gone")
}
