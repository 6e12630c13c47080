package handoff

import (
	"log/slog"

	"rowanlink/cluster/member/peer"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// transferState sends the learned state of the destinations to the target of each move whose source is this member, as
// soon as no call to them is in flight.
func (m *Manager) transferState(shardMap *shardmap.Map) {
	open := map[shardmap.MoveID]bool{}
	for _, r := range shardMap.Ranges {
		if r.Move.Step != shardmap.StepHandoff || r.Move.From != m.Ownership.Self {
			continue
		}
		open[r.Move.ID] = true
		if !m.StateTransferred(r) && m.transferRangeState(shardMap, r) {
			m.setStateTransferred(r.Move.ID)
			m.Ownership.OnChange()
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.stateSent {
		if !open[id] {
			delete(m.stateSent, id)
		}
	}
}

// transferRangeState sends the learned state of a range to the target of its move. It returns whether the target has
// received the state, and doesn't send while a call of the range is in flight, which may still change the state.
func (m *Manager) transferRangeState(shardMap *shardmap.Map, r shardmap.Range) bool {
	learned, idle := m.Loop.ExportState(func(d api.DestinationID) bool { return shardMap.Contains(r, d) })
	if !idle {
		return false
	}
	transfer := peer.Transfer{MapVersion: shardMap.Version, SentAt: inflight.Now(), Move: r.Move.ID, Learned: learned}
	_, err := m.Peers.Send(r.Move.To, peer.TransferPath, transfer, m.Ownership.LeaseTTL/offerTimeoutDivisor, true)
	if err != nil {
		slog.Debug("learned state not handed off", "to", r.Move.To, "error", err)
		return false
	}
	slog.Info("learned state handed off", "range", r.ID, "move", r.Move.ID, "to", r.Move.To, "destinations", len(learned))
	return true
}

func (m *Manager) setStateTransferred(move shardmap.MoveID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stateSent[move] = true
}

// ApplyState imports the state that another member has learned about destinations. Its times are by that member's
// clock; offset is how far this member's clock is ahead.
func (m *Manager) ApplyState(learned []api.DestinationState, offset api.Micros) {
	if len(learned) == 0 {
		return
	}
	for i := range learned {
		l := &learned[i]
		for _, at := range []*api.Micros{&l.ObservedAt, &l.WaitUntil, &l.NextCanaryAt, &l.SlowStartSince} {
			if *at > 0 {
				*at += offset
			}
		}
	}
	m.Loop.ImportState(learned)
}
