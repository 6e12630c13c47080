package eventloop

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// The latency target counts from the first submission. Every member computes its time as the deadline less the TTL.
func TestLateCountsFromTheFirstSubmission(t *testing.T) {
	loop := &Loop{
		now:      100,
		settings: api.Settings{EventTypes: []api.EventType{{LatencyTarget: 20, TTL: 90}}},
	}
	for deadline, want := range map[api.Micros]Ending{169: Late, 170: OnTime} {
		w := &inflight.Webhook{Deadline: deadline, ReceivedAt: 95}
		assert.Equal(t, want, loop.endingOf(w, false))
		assert.Equal(t, Late, loop.endingOf(w, true))
	}
}
