package ownership

import (
	"context"
	"errors"
	"log/slog"

	"rowanlink/cluster"
	"rowanlink/cluster/member/session"
	"rowanlink/cluster/member/steplog"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
)

// Reconcile acquires, confirms, releases and clears by the shard map and the leases held. It is called whenever one of
// them has changed, and periodically, as a proposal may have been lost.
func (m *Manager) Reconcile() {
	m.reconcileMu.Lock()
	defer m.reconcileMu.Unlock()
	shardMap := m.shardMap.Load()
	if shardMap == nil {
		return
	}
	p := &proposer{session: m.session, unconfirmed: &m.unconfirmed}
	for _, r := range shardMap.Ranges {
		m.reconcileRange(p, shardMap, r)
	}
	for grant, misplaced := range shardMap.MisplacedByGrant(m.LocalMember()) {
		if m.local.CallsInFlightTo(misplaced) == 0 {
			_ = p.propose("misplaced destinations released", shardmap.Range{ID: grant.Range},
				shardmap.ConfirmPlacement(grant.Range, grant.Epoch, shardMap.Version))
		}
	}
	m.reopenRanges(shardMap)
	for _, move := range shardMap.DetachedMoves {
		m.clearMove(p, shardmap.Range{Move: move})
	}
}

// reconcileRange acquires, confirms or releases one range.
func (m *Manager) reconcileRange(p *proposer, shardMap *shardmap.Map, r shardmap.Range) {
	p.unconfirmed.Confirm(r)
	resource := cluster.RangeOwnerResource(r.ID)
	epoch, held := m.session.Holds(resource)
	switch {
	case held && m.mayRelease(r):
		m.releaseRange(r, resource, epoch)
	case !held && r.ShouldAcquire(m.Self):
		m.session.Acquire(resource)
	case !held:
		m.session.CancelAcquire(resource)
	case r.Owner == m.Self && epoch > r.Epoch && r.Move.Step != shardmap.StepHandoff:
		_ = p.propose("range ownership confirmed", r, shardmap.ConfirmOwner(r.ID, m.Self, epoch, shardMap.Version))
	case r.Move.Step == shardmap.StepHandoff && r.Move.To == m.Self:
		isTaken := func(now shardmap.Range) bool { return now.Owner == m.Self }
		p.proposeStep("range ownership switched", r, isTaken, shardmap.SwitchOwner(r.Move.ID, r.ID, m.Self, epoch))
	}
	if r.Move.Step == shardmap.StepSwitched {
		m.clearMove(p, r)
	}
}

// mayRelease reports whether a range whose lease is held may have to be released; only then its calls are counted.
func (m *Manager) mayRelease(r shardmap.Range) bool {
	return !r.ShouldAcquire(m.Self) || r.Move.Step == shardmap.StepHandoff && r.Owner == m.Self
}

// releaseRange releases a range that moves elsewhere, as soon as it may. The range is closed first, so that the next call
// counts all webhooks that were admitted.
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

// ReleaseMergedRanges releases the leases of ranges that were merged into others. While such a lease is held the merged
// range can't move, since its holder may still serve that part by an older map. Ranges are acquired only by the map, so
// one that the map doesn't have was merged.
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

// clearMove proposes to clear this member's side of a move that has switched, once it has nothing in doubt by the move.
func (m *Manager) clearMove(p *proposer, r shardmap.Range) {
	move := r.Move
	mustClear := move.From == m.Self && !move.SourceCleared || move.To == m.Self && !move.TargetCleared
	if mustClear && m.local.InDoubt(move.ID) == 0 {
		p.proposeStep("move cleared", r, m.isCleared(move), shardmap.ClearMove(move.ID, m.Self))
	}
}

// isCleared returns whether a range shows that this member's side of a move was cleared.
func (m *Manager) isCleared(move shardmap.Move) func(shardmap.Range) bool {
	return func(now shardmap.Range) bool {
		hasEnded := now.Move.ID != move.ID
		return hasEnded ||
			move.From == m.Self && now.Move.SourceCleared ||
			move.To == m.Self && now.Move.TargetCleared
	}
}

// proposer proposes commands until the first one without a leader's response. The others are left to the next Reconcile:
// otherwise one Reconcile would wait for a time-out for each of many ranges while leases expire.
type proposer struct {
	session     *session.Session
	unconfirmed *steplog.Unconfirmed
	unreached   bool
}

// proposeStep is propose for a step of the range's move. One with an unknown outcome is logged once isTaken shows it.
func (p *proposer) proposeStep(event string, r shardmap.Range, isTaken func(shardmap.Range) bool,
	command cluster.Command) {
	switch err := p.propose(event, r, command); {
	case err == nil:
		p.unconfirmed.Drop(r.ID)
	case errors.Is(err, transport.ErrOutcomeUnknown):
		p.unconfirmed.Add(r.ID, event, isTaken, "range", r.ID, "move", r.Move.ID)
	}
}

// propose proposes a command for one range and logs it as event. A rejection means that the map has changed meanwhile:
// the next Reconcile uses the newer one. The error says why the command may have had no effect.
func (p *proposer) propose(event string, r shardmap.Range, command cluster.Command) error {
	if p.unreached {
		return transport.ErrNotSent
	}
	if _, err := p.session.Propose(command); err != nil {
		level := slog.LevelWarn
		if errors.Is(err, cluster.ErrStale) || errors.Is(err, cluster.ErrAlreadyHeld) {
			level = slog.LevelDebug
		}
		slog.Log(context.Background(), level, "proposal failed: "+event, "range", r.ID, "error", err)
		p.unreached = session.IsLeaderUnreached(err)
		return err
	}
	slog.Info(event, "range", r.ID, "move", r.Move.ID)
	return nil
}
