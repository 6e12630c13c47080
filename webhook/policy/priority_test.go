package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

// TestPriority_LateWebhooksByDeadline: of webhooks that can no longer be delivered within their latency target, the one
// with the least time left is sent first, and the one with the most time left is rejected first if the buffer is full.
// One that can still be on time goes before both, whatever its deadline.
func TestPriority_LateWebhooksByDeadline(t *testing.T) {
	s := startScenario(testSettings(), plainKind)
	submit := func(id api.WebhookID) *webhook {
		s.Submit(api.Webhook{ID: id, EventType: idempotentEvent, Deadline: s.fake.now + webhookTTL})
		return s.webhooks[id]
	}
	older := submit(1)
	s.fake.now += api.Second
	younger := submit(2)
	s.fake.now += older.eventType.LatencyTarget + api.Second
	onTime := submit(3)
	assert.Equal(t, lateClass, s.priorityClass(older))
	assert.Equal(t, lateClass, s.priorityClass(younger))
	assert.Negative(t, s.comparePriority(older, younger))
	assert.Negative(t, s.comparePriority(onTime, older))
	assert.Same(t, younger, s.lowestPriority(older.destination))
}
