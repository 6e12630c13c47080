package member

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/cluster/stream"
	"rowanlink/gateway"
)

// Guards against a second effect: a copy lost with a relay goes once more by settings that no longer hold.
func TestWhatIsLostWithARelayGoesByTheSettingsReadLast(t *testing.T) {
	m := New("")
	m.facts.Store(&gateway.Facts{EventTypes: []gateway.EventType{{Repeat: gateway.Idempotent}}})
	lost := func() stream.Course {
		return stream.Rule(&stream.Item{MayRun: gateway.Never}, 1, m.event(0), true, 9, 2)
	}
	assert.Equal(t, stream.Goes, lost())
	m.Renew(gateway.Facts{EventTypes: []gateway.EventType{{Repeat: gateway.AtMostOnce}}})
	assert.Equal(t, stream.Ends, lost())
	m.Renew(gateway.Facts{})
	assert.Equal(t, stream.Ends, lost(), "its event type has gone")
}
