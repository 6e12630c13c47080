package shardmap

import (
	"fmt"
	"math"
	"slices"

	"rowanlink/cluster"
)

// Apply takes a command of the log. What is refused changed nothing: with cluster.ErrNotFound where there is no
// such range or move, cluster.ErrStale where the map or the move went on, cluster.ErrAlreadyHeld where a task is held by
// another member than the command needs.
func (m *Map) Apply(index uint64, body []byte) ([]byte, error) {
	var c command
	if err := decoding.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("ranges: %w", err)
	}
	answer, err := m.apply(cluster.Version(index), c)
	if err != nil {
		return nil, err
	}
	m.Version = cluster.Version(index)
	return encoding.Marshal(answer)
}

func (m *Map) apply(now cluster.Version, c command) (any, error) {
	switch c.Op {
	case opFirst:
		return nil, m.first(c)
	case opLost:
		return m.lost(c.Takes)
	case opClear:
		return nil, m.clear(c)
	case opPlace:
		return nil, m.place(now, c.Groups)
	case opSeen:
		return nil, m.settle(func(s Stray) bool {
			return s.Under.Range == c.Range && s.Under.Epoch == c.Epoch && s.Under.Since <= c.Seen
		})
	case opSweep:
		return nil, m.settle(func(s Stray) bool { return !m.under(s.Under) })
	case opSplit, opMerge, opPlan, opHome:
		i := m.at(c.Range)
		if i < 0 {
			return nil, cluster.ErrNotFound
		}
		switch c.Op {
		case opSplit:
			return m.split(now, i, c.At)
		case opMerge:
			return nil, m.merge(now, i, c.Other)
		case opPlan:
			return MoveID(now), m.plan(MoveID(now), &m.Ranges[i], c)
		}
		return nil, m.home(&m.Ranges[i], c)
	case opStep, opBack, opSwitch:
		v := m.move(c.Move)
		switch {
		case v == nil:
			return nil, cluster.ErrNotFound
		case v.Step == Switched:
			return nil, cluster.ErrStale
		case c.Op == opBack:
			*v = Move{}
			return nil, nil
		case c.Op == opSwitch:
			return nil, m.toTarget(c)
		case c.Step != v.Step+1 || c.Step > Passing:
			return nil, cluster.ErrStale
		}
		v.Step = c.Step
		return nil, nil
	}
	return nil, fmt.Errorf("ranges: no command has the number %d", c.Op)
}

// mostRanges bounds what a broken command can make a keeper hold.
const mostRanges = 1 << 16

func (m *Map) first(c command) error {
	if len(m.Ranges) > 0 {
		return cluster.ErrStale
	}
	ranges, err := Even(c.N, c.Members)
	if err != nil {
		return err
	}
	m.Ranges, m.NextID = ranges, cluster.RangeID(len(ranges)+1)
	return nil
}

// Even is a first map: n ranges alike in size, given out by weight, each member's side by side.
func Even(n int, members []Weight) ([]Range, error) {
	total := 0.0
	for _, w := range members {
		if !(w.Weight >= 0) || math.IsInf(w.Weight, 0) || w.Member == "" {
			return nil, fmt.Errorf("ranges: member %q of weight %v", w.Member, w.Weight)
		}
		total += w.Weight
	}
	if n < 1 || n > mostRanges || !(total > 0) || math.IsInf(total, 0) {
		return nil, fmt.Errorf("ranges: %d for a weight of %v in all", n, total)
	}
	each, upTo, k := ^uint64(0)/uint64(n), members[0].Weight, 0
	all := make([]Range, n)
	for i := range all {
		for k < len(members)-1 && (members[k].Weight == 0 || float64(i) >= math.Round(upTo/total*float64(n))) {
			k++
			upTo += members[k].Weight
		}
		all[i] = Range{ID: cluster.RangeID(i + 1), Home: members[k].Member}
		if all[i].To = cluster.KeyHash(each*uint64(i+1) + uint64(i)); i > 0 {
			all[i].From = all[i-1].To + 1
		}
	}
	all[n-1].To = ^cluster.KeyHash(0)
	return all, nil
}

// split leaves the lower part its home's grant. The upper part's own is yet to be granted; until its home has
// asked for it, it may still serve there by an older map.
func (m *Map) split(now cluster.Version, i int, at cluster.KeyHash) (cluster.RangeID, error) {
	r := m.Ranges[i]
	if !r.Settled() || len(m.Ranges) >= mostRanges {
		return 0, cluster.ErrStale
	}
	if at <= r.From || at > r.To {
		return 0, cluster.ErrNotFound
	}
	upper := Range{ID: m.NextID, From: at, To: r.To, Home: r.Home, Piece: true,
		Also: append(slices.Clone(r.Also), Under{r.ID, r.Epoch, now})}
	m.NextID++
	m.Ranges[i].To = at - 1
	m.Ranges = slices.Insert(m.Ranges, i+1, upper)
	return upper.ID, nil
}

func (m *Map) merge(now cluster.Version, i int, other cluster.RangeID) error {
	k := m.at(other)
	if k < 0 {
		return cluster.ErrNotFound
	}
	a, b := &m.Ranges[i], m.Ranges[k]
	if i-k != 1 && k-i != 1 || a.Home != b.Home || !a.Settled() || !b.Settled() {
		return cluster.ErrStale
	}
	if b.From < a.From {
		a.Piece = b.Piece
	}
	a.From, a.To = min(a.From, b.From), max(a.To, b.To)
	a.Also = slices.DeleteFunc(append(append(slices.Clone(a.Also), b.Also...), Under{b.ID, b.Epoch, now}),
		func(u Under) bool { return u.Range == a.ID || !m.under(u) })
	m.Ranges = slices.Delete(m.Ranges, k, k+1)
	return nil
}
