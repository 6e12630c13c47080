package shardmap

import (
	"slices"

	"rowanlink/cluster"
)

// isHeld tells whether a grant is still held by which an older map lets a part of a range be served.
func (m *Map) isHeld(u PriorGrant) bool {
	_, _, epoch, held := m.holders.Holder(cluster.HomeOf(u.Range))
	return held && epoch == u.Epoch
}

// servedByNoneBut tells whether nobody but a member serves a range or a part of it, by whatever map.
func (m *Map) servedByNoneBut(r *Range, but cluster.MemberID) bool {
	_, holder, _, held := m.holders.Holder(cluster.HomeOf(r.ID))
	return (!held || holder == but) && !slices.ContainsFunc(r.PriorGrants, m.isHeld)
}

func (m *Map) planMove(id MoveID, r *Range, c command) error {
	if !r.IsStable() || r.Owner != c.From || c.Member == c.From || c.Member == "" {
		return cluster.ErrStale
	}
	r.Move = Move{ID: id, From: c.From, To: c.Member, Step: StepPlanned}
	return nil
}

// confirmOwner takes note of the grant by which a range's home serves. Guards against a source that has let go of its
// task for a move and comes back with it: only Back gives it the range again.
func (m *Map) confirmOwner(r *Range, c command) error {
	_, holder, epoch, held := m.holders.Holder(cluster.HomeOf(r.ID))
	switch {
	case r.Owner != c.Member || c.Epoch <= r.Epoch || r.Move.Step == StepHandoff:
		return cluster.ErrStale
	case !held || holder != c.Member || epoch != c.Epoch:
		return cluster.ErrHeld
	}
	r.Epoch, r.Status = epoch, OwnerServing
	known := func(u PriorGrant) bool { return u.Since <= c.Seen || !m.isHeld(u) }
	r.PriorGrants = slices.DeleteFunc(slices.Clone(r.PriorGrants), known)
	return nil
}

// switchOwner is the switch. Guards against two callers: the target must hold the task, and so nobody else does.
func (m *Map) switchOwner(c command) error {
	r := &m.Ranges[slices.IndexFunc(m.Ranges, func(r Range) bool { return r.Move.ID == c.Move })]
	_, holder, epoch, held := m.holders.Holder(cluster.HomeOf(r.ID))
	switch {
	case r.Move.Step != StepHandoff || r.Move.To != c.Member:
		return cluster.ErrStale
	case !held || holder != c.Member || epoch != c.Epoch || !m.servedByNoneBut(r, c.Member):
		return cluster.ErrHeld
	}
	r.Owner, r.Epoch, r.Status, r.Move.Step, r.PriorGrants = c.Member, epoch, OwnerServing, StepSwitched, nil
	return nil
}

// failOver takes ranges from homes that hold them no more. A switched move is left to be cleared by itself; one
// before the switch goes back, as far as its copies go.
func (m *Map) failOver(takes []Takeover) (given []cluster.RangeID, err error) {
	err = cluster.ErrUnknown
	for _, t := range takes {
		i := m.indexOf(t.Range)
		if i < 0 || t.NewOwner == "" || t.NewOwner == t.PreviousOwner || m.Ranges[i].Owner != t.PreviousOwner {
			err = cluster.ErrStale
			continue
		}
		r := &m.Ranges[i]
		if !m.servedByNoneBut(r, "") {
			err = cluster.ErrHeld
			continue
		}
		if r.Move.Step == StepSwitched {
			m.DetachedMoves = append(m.DetachedMoves, r.Move)
		}
		r.Owner, r.Status, r.Move, r.PriorGrants = t.NewOwner, OwnerAssigned, Move{}, nil
		given = append(given, r.ID)
	}
	if len(given) > 0 {
		return given, nil
	}
	return nil, err
}

func (m *Map) clearMove(c command) error {
	v := m.findMove(c.Move)
	switch {
	case v == nil || c.Member != v.From && c.Member != v.To:
		return cluster.ErrUnknown
	case v.Step != StepSwitched:
		return cluster.ErrStale
	}
	v.SourceCleared = v.SourceCleared || v.From == c.Member
	v.TargetCleared = v.TargetCleared || v.To == c.Member
	if v.SourceCleared && v.TargetCleared {
		*v = Move{}
		m.DetachedMoves = slices.DeleteFunc(m.DetachedMoves, func(l Move) bool { return !l.IsOpen() })
	}
	return nil
}
