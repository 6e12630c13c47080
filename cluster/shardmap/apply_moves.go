package shardmap

import (
	"slices"

	"rowanlink/cluster"
)

// isHeld reports whether a lease is still held under a prior grant, so that its holder may still serve a part of a
// range by an older map.
func (m *Map) isHeld(grant PriorGrant) bool {
	holder, held := m.holders.Holder(cluster.RangeOwnerResource(grant.Range))
	return held && holder.Epoch == grant.Epoch
}

// canBeServedOnlyBy reports whether no member other than the given one can serve any part of the range, by whatever
// version of the map. With an empty member it reports whether nobody can.
func (m *Map) canBeServedOnlyBy(r *Range, member cluster.MemberID) bool {
	holder, held := m.holders.Holder(cluster.RangeOwnerResource(r.ID))
	return (!held || holder.Member == member) && !slices.ContainsFunc(r.PriorGrants, m.isHeld)
}

// holdsLease reports whether a member holds the lease on a range with the given epoch.
func (m *Map) holdsLease(id cluster.RangeID, member cluster.MemberID, epoch cluster.Epoch) bool {
	holder, held := m.holders.Holder(cluster.RangeOwnerResource(id))
	return held && holder.Member == member && holder.Epoch == epoch
}

func (m *Map) planMove(id MoveID, r *Range, c command) error {
	if !r.IsStable() || r.Owner != c.From || c.Member == c.From || c.Member == "" {
		return cluster.ErrStale
	}
	r.Move = Move{ID: id, From: c.From, To: c.Member, Step: StepPlanned}
	return nil
}

// confirmOwner records the lease under which a range's owner serves. During a hand-off it is rejected: otherwise a
// source that has released the lease for the move and acquires it again would serve again, which only opRevertMove
// allows.
func (m *Map) confirmOwner(r *Range, c command) error {
	switch {
	case r.Owner != c.Member || c.Epoch <= r.Epoch || r.Move.Step == StepHandoff:
		return cluster.ErrStale
	case !m.holdsLease(r.ID, c.Member, c.Epoch):
		return cluster.ErrAlreadyHeld
	}
	r.Epoch, r.Status = c.Epoch, OwnerServing
	isObsolete := func(g PriorGrant) bool { return g.Since <= c.MapVersion || !m.isHeld(g) }
	r.PriorGrants = slices.DeleteFunc(slices.Clone(r.PriorGrants), isObsolete)
	return nil
}

// switchOwner makes a move's target the owner. The target must hold the lease, which means that nobody else does:
// this prevents two members from making calls for one range.
func (m *Map) switchOwner(c command) error {
	i := slices.IndexFunc(m.Ranges, func(r Range) bool { return r.Move.ID == c.Move })
	r := &m.Ranges[i]
	switch {
	case r.Move.Step != StepHandoff || r.Move.To != c.Member:
		return cluster.ErrStale
	case !m.holdsLease(r.ID, c.Member, c.Epoch) || !m.canBeServedOnlyBy(r, c.Member):
		return cluster.ErrAlreadyHeld
	}
	r.Owner, r.Epoch, r.Status = c.Member, c.Epoch, OwnerServing
	r.Move.Step = StepSwitched
	r.PriorGrants = nil
	return nil
}

// failOver gives ranges to new owners where the previous ones no longer hold their leases. A move that has switched
// is detached from its range, to be cleared on its own; one that has not switched is reverted. It returns an error
// only if no takeover is valid.
func (m *Map) failOver(takeovers []Takeover) (changed []cluster.RangeID, err error) {
	err = cluster.ErrNotFound
	for _, t := range takeovers {
		i := m.indexOf(t.Range)
		if i < 0 || t.NewOwner == "" || t.NewOwner == t.PreviousOwner || m.Ranges[i].Owner != t.PreviousOwner {
			err = cluster.ErrStale
			continue
		}
		r := &m.Ranges[i]
		if !m.canBeServedOnlyBy(r, "") {
			err = cluster.ErrAlreadyHeld
			continue
		}
		if r.Move.Step == StepSwitched {
			m.DetachedMoves = append(m.DetachedMoves, r.Move)
		}
		r.Owner, r.Status = t.NewOwner, OwnerAssigned
		r.Move, r.PriorGrants = Move{}, nil
		changed = append(changed, r.ID)
	}
	if len(changed) > 0 {
		return changed, nil
	}
	return nil, err
}

// clearMove records that one side of a switched move has no copies of its webhooks left. Once neither side has any,
// the move is removed.
func (m *Map) clearMove(c command) error {
	move := m.findMove(c.Move)
	switch {
	case move == nil || c.Member != move.From && c.Member != move.To:
		return cluster.ErrNotFound
	case move.Step != StepSwitched:
		return cluster.ErrStale
	}
	move.SourceCleared = move.SourceCleared || move.From == c.Member
	move.TargetCleared = move.TargetCleared || move.To == c.Member
	if move.SourceCleared && move.TargetCleared {
		*move = Move{}
		m.DetachedMoves = slices.DeleteFunc(m.DetachedMoves, func(d Move) bool { return !d.IsOpen() })
	}
	return nil
}
