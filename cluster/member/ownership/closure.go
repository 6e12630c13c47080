package ownership

import (
	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// closure is for which move a range is closed: no webhook is admitted to it until the move has switched.
type closure struct {
	move  shardmap.MoveID
	since api.Micros
}

// closureLimitDivisor is the part of a lease TTL for which a range is closed at the most before its lease is released:
// clients must not be rejected for as long as the target of the move can't be reached.
const closureLimitDivisor = 4

// BeginAdmission keeps ranges from being closed until end is called. Whoever admits a webhook calls it before
// the decision, and end once the webhook is in the journal.
func (m *Manager) BeginAdmission() (end func()) {
	m.admissionMu.RLock()
	return m.admissionMu.RUnlock
}

// IsClosed reports whether a webhook with this decision has to wait for the switch of a move.
func (m *Manager) IsClosed(d shardmap.Decision) bool {
	if d.Action != shardmap.ParkOwned || !d.Move.IsOpen() {
		return false
	}
	c, closed := m.closureOf(d.Range)
	return closed && c.move == d.Move.ID
}

func (m *Manager) closureOf(id cluster.RangeID) (closure, bool) {
	value, closed := m.closures.Load(id)
	if !closed {
		return closure{}, false
	}
	return value.(closure), true
}

// closeAdmission closes a range whose move is about to switch and returns whether it was open until now. It preserves
// the order by key: what is admitted after the last count would be handed off behind what the target admits by then.
func (m *Manager) closeAdmission(r shardmap.Range) (wasOpen bool) {
	if c, closed := m.closureOf(r.ID); closed && c.move == r.Move.ID {
		return false
	}
	m.admissionMu.Lock()
	m.closures.Store(r.ID, closure{move: r.Move.ID, since: m.Clock()})
	m.admissionMu.Unlock()
	m.OnChange()
	return true
}

// reopenRanges opens ranges whose move has switched or was rolled back, or takes too long.
func (m *Manager) reopenRanges(shardMap *shardmap.Map) {
	m.closures.Range(func(id, value any) bool {
		r, found := shardMap.RangeByID(id.(cluster.RangeID))
		c := value.(closure)
		moving := found && r.Move.ID == c.move && r.Move.Step == shardmap.StepHandoff && r.Owner == m.Self
		if !moving || m.HoldsRange(r.ID) && m.Clock()-c.since > m.LeaseTTL/closureLimitDivisor {
			m.closures.Delete(id)
		}
		return true
	})
}
