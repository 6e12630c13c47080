package refresh

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

type turns struct {
	api.Policy
	taken, over int
}

func (m *turns) Submit(api.Webhook) { m.taken++ }
func (m *turns) EndTurn()           { m.over++ }

func TestUntilItIsOpenedWebhooksAreTakenOnAndNoTurnMakesCalls(t *testing.T) {
	m := &turns{}
	h := &StartupGate{Policy: m}
	h.Submit(api.Webhook{ID: 1, Deadline: 9, Destination: 3})
	h.EndTurn()
	assert.Equal(t, []int{1, 0}, []int{m.taken, m.over})
	h.Open()
	h.EndTurn()
	assert.Equal(t, 1, m.over)
}
