package handoff

import (
	"slices"

	"rowanlink/cluster/member/ownership"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

var _ ownership.LocalWork = (*Manager)(nil)

// CallsInFlight counts the webhooks that keep the lease of a range from being released (shardmap.Map.CountsToward):
// those in a call, and those that wait behind a call with the same ordering key.
func (m *Manager) CallsInFlight(r shardmap.Range) int {
	shardMap := m.Ownership.Map()
	_, calls := m.Loop.ParkedWebhooks(func(w *inflight.Webhook) bool { return shardMap.CountsToward(r, w.Destination) })
	return calls
}

// CallsInFlightTo counts such webhooks of the given destinations.
func (m *Manager) CallsInFlightTo(destinations []api.DestinationID) int {
	_, calls := m.Loop.ParkedWebhooks(func(w *inflight.Webhook) bool {
		return slices.Contains(destinations, w.Destination)
	})
	return calls
}

// PendingWebhooks counts the parked webhooks of a range, including those in doubt.
func (m *Manager) PendingWebhooks(r shardmap.Range) int {
	shardMap := m.Ownership.Map()
	pending, _ := m.Loop.ParkedWebhooks(func(w *inflight.Webhook) bool { return shardMap.Contains(r, w.Destination) })
	return len(pending)
}

// StateTransferred reports whether the target of the range's move has received the learned state of the destinations.
// The target must know of a Retry-After, an outage or a slow start before it may call.
func (m *Manager) StateTransferred(r shardmap.Range) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stateSent[r.Move.ID]
}

// InDoubt counts the offers made by a move whose outcome is not known.
func (m *Manager) InDoubt(move shardmap.MoveID) int { return m.Custody.CountOutstandingOffers(move) }
