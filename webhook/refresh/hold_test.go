package refresh

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

type turns struct {
	api.Module
	taken, over int
}

func (m *turns) Take(api.WebhookID, api.EventTypeID, api.TenantID, api.Key, api.Micros,
	api.DestinationID) {
	m.taken++
}
func (m *turns) TurnOver() { m.over++ }

func TestUntilItIsOpenedWebhooksAreTakenOnAndNoTurnMakesCalls(t *testing.T) {
	m := &turns{}
	h := &Hold{Module: m}
	h.Take(1, 0, 0, 0, 9, 3)
	h.TurnOver()
	assert.Equal(t, []int{1, 0}, []int{m.taken, m.over})
	h.Open()
	h.TurnOver()
	assert.Equal(t, 1, m.over)
}
