package shardmap

import (
	"slices"

	"rowanlink/cluster"
)

// under tells whether a grant is still held by which an older map lets a part of a range be served.
func (m *Map) under(u Under) bool {
	_, _, epoch, held := m.holders.Holder(cluster.RangeOwnerResource(u.Range))
	return held && epoch == u.Epoch
}

// vacant tells whether nobody but a member serves a range or a part of it, by whatever map.
func (m *Map) vacant(r *Range, but cluster.MemberID) bool {
	_, holder, _, held := m.holders.Holder(cluster.RangeOwnerResource(r.ID))
	return (!held || holder == but) && !slices.ContainsFunc(r.Also, m.under)
}

func (m *Map) plan(id MoveID, r *Range, c command) error {
	if !r.Settled() || r.Home != c.From || c.Member == c.From || c.Member == "" {
		return cluster.ErrStale
	}
	r.Move = Move{ID: id, From: c.From, To: c.Member, Step: Planned}
	return nil
}

// home takes note of the grant by which a range's home serves. Guards against a source that has let go of its
// task for a move and comes back with it: only Back gives it the range again.
func (m *Map) home(r *Range, c command) error {
	_, holder, epoch, held := m.holders.Holder(cluster.RangeOwnerResource(r.ID))
	switch {
	case r.Home != c.Member || c.Epoch <= r.Epoch || r.Move.Step == Passing:
		return cluster.ErrStale
	case !held || holder != c.Member || epoch != c.Epoch:
		return cluster.ErrAlreadyHeld
	}
	r.Epoch, r.Standing = epoch, Seated
	known := func(u Under) bool { return u.Since <= c.Seen || !m.under(u) }
	r.Also = slices.DeleteFunc(slices.Clone(r.Also), known)
	return nil
}

// toTarget is the switch. Guards against two callers: the target must hold the task, and so nobody else does.
func (m *Map) toTarget(c command) error {
	r := &m.Ranges[slices.IndexFunc(m.Ranges, func(r Range) bool { return r.Move.ID == c.Move })]
	_, holder, epoch, held := m.holders.Holder(cluster.RangeOwnerResource(r.ID))
	switch {
	case r.Move.Step != Passing || r.Move.To != c.Member:
		return cluster.ErrStale
	case !held || holder != c.Member || epoch != c.Epoch || !m.vacant(r, c.Member):
		return cluster.ErrAlreadyHeld
	}
	r.Home, r.Epoch, r.Standing, r.Move.Step, r.Also = c.Member, epoch, Seated, Switched, nil
	return nil
}

// lost takes ranges from homes that hold them no more. A switched move is left to be cleared by itself; one
// before the switch goes back, as far as its copies go.
func (m *Map) lost(takes []Takeover) (given []cluster.RangeID, err error) {
	err = cluster.ErrNotFound
	for _, t := range takes {
		i := m.at(t.Range)
		if i < 0 || t.To == "" || t.To == t.Lost || m.Ranges[i].Home != t.Lost {
			err = cluster.ErrStale
			continue
		}
		r := &m.Ranges[i]
		if !m.vacant(r, "") {
			err = cluster.ErrAlreadyHeld
			continue
		}
		if r.Move.Step == Switched {
			m.Left = append(m.Left, r.Move)
		}
		r.Home, r.Standing, r.Move, r.Also = t.To, Named, Move{}, nil
		given = append(given, r.ID)
	}
	if len(given) > 0 {
		return given, nil
	}
	return nil, err
}

func (m *Map) clear(c command) error {
	v := m.move(c.Move)
	switch {
	case v == nil || c.Member != v.From && c.Member != v.To:
		return cluster.ErrNotFound
	case v.Step != Switched:
		return cluster.ErrStale
	}
	v.FromClear = v.FromClear || v.From == c.Member
	v.ToClear = v.ToClear || v.To == c.Member
	if v.FromClear && v.ToClear {
		*v = Move{}
		m.Left = slices.DeleteFunc(m.Left, func(l Move) bool { return !l.Open() })
	}
	return nil
}
