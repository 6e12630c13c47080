package ownership

import (
	"context"
	"errors"
	"log/slog"

	"rowanlink/cluster"
	"rowanlink/cluster/member/session"
	"rowanlink/cluster/shardmap"
)

// Reconcile does what the shard map and the leases held require now. It is called whenever one of them has changed and
// periodically, as a proposal may have been lost.
func (m *Manager) Reconcile() {
	m.reconcileMu.Lock()
	defer m.reconcileMu.Unlock()
	shardMap := m.shardMap.Load()
	if shardMap == nil {
		return
	}
	p := &proposer{session: m.session}
	for _, r := range shardMap.Ranges {
		m.reconcileRange(p, shardMap, r)
	}
	for under, strays := range shardMap.MisplacedByGrant(m.LocalMember()) {
		if m.local.CallsInFlightTo(strays) == 0 {
			p.propose("misplaced destinations released", shardmap.Range{ID: under.Range},
				shardmap.ConfirmPlacement(under.Range, under.Epoch, shardMap.Version))
		}
	}
	m.reopenRanges(shardMap)
	for _, move := range shardMap.DetachedMoves {
		m.clearMove(p, shardmap.Range{Move: move})
	}
}

// reconcileRange acquires, confirms or releases one range.
func (m *Manager) reconcileRange(p *proposer, shardMap *shardmap.Map, r shardmap.Range) {
	resource := cluster.RangeOwnerResource(r.ID)
	epoch, held := m.session.Holds(resource)
	switch {
	case held && m.mayLeave(r):
		m.releaseRange(r, resource, epoch)
	case !held && r.ShouldAcquire(m.Self):
		m.session.Acquire(resource)
	case !held:
		m.session.CancelAcquire(resource)
	case r.Owner == m.Self && epoch > r.Epoch && r.Move.Step != shardmap.StepHandoff:
		p.propose("range ownership confirmed", r, shardmap.ConfirmOwner(r.ID, m.Self, epoch, shardMap.Version))
	case r.Move.Step == shardmap.StepHandoff && r.Move.To == m.Self:
		p.propose("range ownership switched", r, shardmap.SwitchOwner(r.Move.ID, r.ID, m.Self, epoch))
	}
	if r.Move.Step == shardmap.StepSwitched {
		m.clearMove(p, r)
	}
}

// mayLeave reports whether a range that is held here may be on its way elsewhere; only then its calls are counted.
func (m *Manager) mayLeave(r shardmap.Range) bool {
	return !r.ShouldAcquire(m.Self) || r.Move.Step == shardmap.StepHandoff && r.Owner == m.Self
}

// releaseRange gives up a range that goes elsewhere, as soon as it may. The range is closed first, so that what came
// before the closure is counted by the next call.
func (m *Manager) releaseRange(r shardmap.Range, resource cluster.Resource, epoch cluster.Epoch) {
	inFlight, pending := m.local.CallsInFlight(r), m.local.PendingWebhooks(r)
	mayClose := m.local.StateTransferred(r) && r.ShouldCloseIntake(m.Self, inFlight, pending, m.HandoffBatch)
	if mayClose && m.closeAdmission(r) {
		return
	}
	c, closed := m.closureOf(r.ID)
	closed = closed && c.move == r.Move.ID
	isSource := r.Move.Step == shardmap.StepHandoff && r.Owner == m.Self
	if r.ShouldRelease(m.Self, inFlight, pending) && (closed || !isSource) {
		m.session.Release(resource)
		slog.Info("range lease released", "range", r.ID, "epoch", epoch)
	}
}

// ReleaseMergedRanges releases ranges that were merged into others: by such a grant the range that they are a part of
// could never move, since its map has somebody serve that part yet. Resources are only acquired by the map, so one
// that it doesn't have is of an older map.
func (m *Manager) ReleaseMergedRanges() {
	shardMap := m.Map()
	if shardMap == nil {
		return
	}
	for _, resource := range m.session.Wanted() {
		id, isRange := resource.OwnedRange()
		if !isRange {
			continue
		}
		if _, found := shardMap.RangeByID(id); !found {
			m.session.Release(resource)
			slog.Info("merged range's lease released", "resource", resource)
		}
	}
}

// clearMove reports, once this member has nothing in doubt by a move that has ended, that it has not.
func (m *Manager) clearMove(p *proposer, r shardmap.Range) {
	move := r.Move
	mustClear := move.From == m.Self && !move.SourceCleared || move.To == m.Self && !move.TargetCleared
	if mustClear && m.local.InDoubt(move.ID) == 0 {
		p.propose("move cleared", r, shardmap.ClearMove(move.ID, m.Self))
	}
}

// proposer proposes commands until the first that no leader answers. What would come after it is left to the next
// Reconcile, which otherwise takes a part of a lease TTL for each of many ranges while leases end.
type proposer struct {
	session   *session.Session
	unreached bool
}

// propose proposes what one range needs. A refusal means that the map has changed meanwhile: the next one tells.
func (p *proposer) propose(what string, r shardmap.Range, command cluster.Command) {
	if p.unreached {
		return
	}
	if _, err := p.session.Propose(command); err != nil {
		level := slog.LevelWarn
		if errors.Is(err, cluster.ErrStale) || errors.Is(err, cluster.ErrAlreadyHeld) {
			level = slog.LevelDebug
		}
		slog.Log(context.Background(), level, "proposal failed: "+what, "range", r.ID, "error", err)
		p.unreached = session.IsLeaderUnreached(err)
		return
	}
	slog.Info(what, "range", r.ID, "move", r.Move.ID)
}
