package member

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
)

// Guards against a second effect: a copy lost with a relay goes once more by settings that no longer hold.
func TestWhatIsLostWithARelayGoesByTheSettingsReadLast(t *testing.T) {
	m := New("")
	m.settings.Store(&api.Settings{EventTypes: []api.EventType{{Semantics: api.Idempotent}}})
	lost := func() stream.Resolution {
		return stream.Resolve(&stream.Item{FirstAttemptAt: api.Never}, 1, m.eventType(0), true, 9, 2)
	}
	assert.Equal(t, stream.ResolveRetry, lost())
	m.Renew(api.Settings{EventTypes: []api.EventType{{Semantics: api.AtMostOnce}}})
	assert.Equal(t, stream.ResolveDeadLetter, lost())
	m.Renew(api.Settings{})
	assert.Equal(t, stream.ResolveDeadLetter, lost(), "its event type has gone")
}
