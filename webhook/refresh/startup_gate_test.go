package refresh

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

// countingPolicy counts the calls that it gets.
type countingPolicy struct {
	api.Policy
	submitted, turns int
}

func (p *countingPolicy) Submit(api.Webhook) { p.submitted++ }
func (p *countingPolicy) EndTurn()           { p.turns++ }

func TestClosedGateAcceptsWebhooksAndEndsNoTurn(t *testing.T) {
	policy := &countingPolicy{}
	gate := &StartupGate{Policy: policy}
	gate.Submit(api.Webhook{ID: 1, Deadline: 9, Destination: 3})
	gate.EndTurn()
	assert.Equal(t, 1, policy.submitted)
	assert.Zero(t, policy.turns)
	gate.Open()
	gate.EndTurn()
	assert.Equal(t, 1, policy.turns)
}
