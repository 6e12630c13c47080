package eventloop

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// The target latency counts from when a webhook was first handed in, which its TTL tells wherever it goes.
func TestLateCountsFromWhenItWasFirstHandedIn(t *testing.T) {
	d := &Loop{now: 100, settings: api.Settings{EventTypes: []api.EventType{{LatencyTarget: 20, TTL: 90}}}}
	for ttl, want := range map[api.Micros]Ending{169: Late, 170: OnTime} {
		assert.Equal(t, want, d.endingOf(&inflight.Webhook{Deadline: ttl, ReceivedAt: 95}, false))
		assert.Equal(t, Late, d.endingOf(&inflight.Webhook{Deadline: ttl, ReceivedAt: 95}, true))
	}
}
