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

// Reconcile compares the shard map with the leases that this member holds. It acquires and releases leases, and
// proposes to confirm owners and placements, to switch moves and to clear them, as far as that is due. It is called
// whenever the map or the leases have changed, and also periodically, because a proposal may have been lost.
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

// reconcileRange takes the next step that is due for one range: it acquires or releases the lease, confirms this member
// as the owner, switches the move, or clears it.
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

// mayRelease reports whether a range whose lease is held may have to be released. Calls and pending webhooks are
// counted only for such ranges.
func (m *Manager) mayRelease(r shardmap.Range) bool {
	return !r.ShouldAcquire(m.Self) || r.Move.Step == shardmap.StepHandoff && r.Owner == m.Self
}

// releaseRange releases the lease of a range as soon as that is allowed. The source of a move first closes the range,
// and releases it at the earliest in the next call: that call counts all webhooks that were admitted before the range
// was closed.
func (m *Manager) releaseRange(r shardmap.Range, resource cluster.Resource, epoch cluster.Epoch) {
	inFlight, pending := m.local.CallsInFlight(r), m.local.PendingWebhooks(r)
	mayClose := m.local.StateTransferred(r) && r.ShouldCloseIntake(m.Self, inFlight, pending, m.HandoffBatch)
	if mayClose && m.closeAdmission(r) {
		return
	}
	c, closed := m.lookupClosed(r.ID)
	closed = closed && c.move == r.Move.ID
	isSource := r.Move.Step == shardmap.StepHandoff && r.Owner == m.Self
	if r.ShouldRelease(m.Self, inFlight, pending) && (closed || !isSource) {
		m.session.Release(resource)
		slog.Info("range lease released", "range", r.ID, "epoch", epoch)
	}
}

// ReleaseMergedRanges releases the leases of ranges that were merged into others. The range that absorbed such a range
// can't move while the lease is held, since the holder may still serve the absorbed part by an older map. This member
// requests only leases of ranges that are in the map, so a range that is no longer in the map was merged.
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

// clearMove proposes to clear this member's side of a move that has switched, once no webhook is in doubt that this
// member offered by the move.
func (m *Manager) clearMove(p *proposer, r shardmap.Range) {
	move := r.Move
	mustClear := move.From == m.Self && !move.SourceCleared || move.To == m.Self && !move.TargetCleared
	if mustClear && m.local.InDoubt(move.ID) == 0 {
		p.proposeStep("move cleared", r, m.isCleared(move), shardmap.ClearMove(move.ID, m.Self))
	}
}

// isCleared returns a function that reports whether a range of the map shows this member's side of a move as cleared.
func (m *Manager) isCleared(move shardmap.Move) func(shardmap.Range) bool {
	return func(now shardmap.Range) bool {
		hasEnded := now.Move.ID != move.ID
		return hasEnded ||
			move.From == m.Self && now.Move.SourceCleared ||
			move.To == m.Self && now.Move.TargetCleared
	}
}

// proposer proposes the commands of one Reconcile. After the first proposal that no leader responds to it proposes
// nothing more and leaves the rest to the next Reconcile: otherwise a single Reconcile would wait for one time-out per
// range while leases expire.
type proposer struct {
	session         *session.Session
	unconfirmed     *steplog.Unconfirmed
	leaderUnreached bool // no leader responded to an earlier proposal
}

// proposeStep proposes a step of the range's move and logs it as event. If the outcome of the proposal is unknown, the
// step is logged later, once isTaken reports that the map shows it as taken.
func (p *proposer) proposeStep(event string, r shardmap.Range, isTaken func(shardmap.Range) bool,
	command cluster.Command) {
	switch err := p.propose(event, r, command); {
	case err == nil:
		p.unconfirmed.Drop(r.ID)
	case errors.Is(err, transport.ErrOutcomeUnknown):
		p.unconfirmed.Add(r.ID, event, isTaken, "range", r.ID, "move", r.Move.ID)
	}
}

// propose proposes a command for one range and logs it as event. A rejected command means that the map has changed
// meanwhile; the next Reconcile uses the newer map. After an error the command has had no effect, or may have had none.
func (p *proposer) propose(event string, r shardmap.Range, command cluster.Command) error {
	if p.leaderUnreached {
		return transport.ErrNotSent
	}
	if _, err := p.session.Propose(command); err != nil {
		level := slog.LevelWarn
		if errors.Is(err, cluster.ErrStale) || errors.Is(err, cluster.ErrAlreadyHeld) {
			level = slog.LevelDebug
		}
		slog.Log(context.Background(), level, "proposal failed: "+event, "range", r.ID, "error", err)
		p.leaderUnreached = session.IsLeaderUnreached(err)
		return err
	}
	slog.Info(event, "range", r.ID, "move", r.Move.ID)
	return nil
}
