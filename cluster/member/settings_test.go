package member

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/fleet/streams"
	"rowanlink/gateway"
)

// Guards against a second effect: a copy lost with a relay goes once more by settings that no longer hold.
func TestWhatIsLostWithARelayGoesByTheSettingsReadLast(t *testing.T) {
	m := New("")
	m.facts.Store(&gateway.Facts{EventTypes: []gateway.EventType{{Repeat: gateway.Idempotent}}})
	lost := func() streams.Course {
		return streams.Rule(&streams.Item{MayRun: gateway.Never}, 1, m.event(0), true, 9, 2)
	}
	assert.Equal(t, streams.Goes, lost())
	m.Renew(gateway.Facts{EventTypes: []gateway.EventType{{Repeat: gateway.AtMostOnce}}})
	assert.Equal(t, streams.Ends, lost())
	m.Renew(gateway.Facts{})
	assert.Equal(t, streams.Ends, lost(), "its event type has gone")
}
