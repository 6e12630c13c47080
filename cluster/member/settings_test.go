package member

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/cluster/stream"
	webhookpkg "rowanlink/webhook"
)

// Guards against a second effect: a copy lost with a relay goes once more by settings that no longer hold.
func TestWhatIsLostWithARelayGoesByTheSettingsReadLast(t *testing.T) {
	m := New("")
	m.facts.Store(&webhookpkg.Facts{EventTypes: []webhookpkg.EventType{{Repeat: webhookpkg.Idempotent}}})
	lost := func() stream.Course {
		return stream.Rule(&stream.Item{MayRun: webhookpkg.Never}, 1, m.event(0), true, 9, 2)
	}
	assert.Equal(t, stream.Goes, lost())
	m.Renew(webhookpkg.Facts{EventTypes: []webhookpkg.EventType{{Repeat: webhookpkg.AtMostOnce}}})
	assert.Equal(t, stream.Ends, lost())
	m.Renew(webhookpkg.Facts{})
	assert.Equal(t, stream.Ends, lost(), "its event type has gone")
}
