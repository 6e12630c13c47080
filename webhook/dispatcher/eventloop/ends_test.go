package eventloop

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// The target latency counts from when a webhook was first handed in, which its TTL tells wherever it goes.
func TestLateCountsFromWhenItWasFirstHandedIn(t *testing.T) {
	d := &Decider{now: 100, facts: api.Settings{EventTypes: []api.EventType{{LatencyTarget: 20, TTL: 90}}}}
	for ttl, want := range map[api.Micros]End{169: Late, 170: InTime} {
		assert.Equal(t, want, d.delivered(&inflight.Webhook{TTL: ttl, CameAt: 95}, false))
		assert.Equal(t, Late, d.delivered(&inflight.Webhook{TTL: ttl, CameAt: 95}, true))
	}
}
