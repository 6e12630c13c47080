package ownership

import (
	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// closedRange states for which move a range is closed and since when. This member, the source of the move, admits no
// webhook to a closed range until the move has switched.
type closedRange struct {
	move  shardmap.MoveID
	since api.Micros // read from Manager.Clock
}

// maxClosedDivisor sets the longest time that a range stays closed while this member still holds its lease: a range
// that has been closed for longer than LeaseTTL/maxClosedDivisor is reopened. Otherwise clients would be rejected
// for as long as the target of the move is unreachable.
const maxClosedDivisor = 4

// BeginAdmission prevents ranges from being closed until end is called. Code that admits a webhook calls BeginAdmission
// before it calls Decide, and end once the webhook is in the journal.
func (m *Manager) BeginAdmission() (end func()) {
	m.admissionMu.RLock()
	return m.admissionMu.RUnlock
}

// IsClosed reports whether a webhook that Decide returned d for can't be admitted because its range is closed: the
// webhook has to wait until the move has switched.
func (m *Manager) IsClosed(d shardmap.Decision) bool {
	if d.Action != shardmap.ParkOwned || !d.Move.IsOpen() {
		return false
	}
	c, closed := m.lookupClosed(d.Range)
	return closed && c.move == d.Move.ID
}

func (m *Manager) lookupClosed(id cluster.RangeID) (closedRange, bool) {
	value, closed := m.closedRanges.Load(id)
	if !closed {
		return closedRange{}, false
	}
	return value.(closedRange), true
}

// closeAdmission closes a range whose move is about to switch and returns whether the range was open until now. Closing
// preserves the order of webhooks with the same key: a webhook that the source admitted after its last count of pending
// webhooks would be handed off behind webhooks that the target has admitted meanwhile.
func (m *Manager) closeAdmission(r shardmap.Range) (wasOpen bool) {
	if c, closed := m.lookupClosed(r.ID); closed && c.move == r.Move.ID {
		return false
	}
	m.admissionMu.Lock()
	m.closedRanges.Store(r.ID, closedRange{move: r.Move.ID, since: m.Clock()})
	m.admissionMu.Unlock()
	m.OnChange()
	return true
}

// reopenRanges reopens the ranges whose move has switched or was reverted, and those that have been closed for too
// long while this member still holds their lease (maxClosedDivisor).
func (m *Manager) reopenRanges(shardMap *shardmap.Map) {
	m.closedRanges.Range(func(id, value any) bool {
		r, found := shardMap.RangeByID(id.(cluster.RangeID))
		c := value.(closedRange)
		moving := found && r.Move.ID == c.move && r.Move.Step == shardmap.StepHandoff && r.Owner == m.Self
		if !moving || m.HoldsRange(r.ID) && m.Clock()-c.since > m.LeaseTTL/maxClosedDivisor {
			m.closedRanges.Delete(id)
		}
		return true
	})
}
