package member

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
)

// Guards against a webhook that is delivered twice: a copy that was lost with a relay is sent once more by settings that
// don't hold any more.
func TestEventType_IsThatOfTheSettingsReadLast(t *testing.T) {
	m := New("")
	m.settings.Store(&api.Facts{EventTypes: []api.EventType{{Repeat: api.Idempotent}}})
	lost := func() stream.Course {
		return stream.Rule(&stream.Item{MayRun: api.Never}, 1, m.eventType(0), true, 9, 2)
	}
	assert.Equal(t, stream.Goes, lost())
	m.Renew(api.Facts{EventTypes: []api.EventType{{Repeat: api.AtMostOnce}}})
	assert.Equal(t, stream.Ends, lost())
	m.Renew(api.Facts{})
	assert.Equal(t, stream.Ends, lost(), "its event type has gone")
}
