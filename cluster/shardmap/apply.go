package shardmap

import (
	"fmt"
	"math"
	"slices"

	"rowanlink/cluster"
)

// Apply takes a command of the log. What is refused changed nothing: with fleet.ErrUnknown where there is no
// such range or move, fleet.ErrStale where the map or the move went on, fleet.ErrHeld where a task is held by
// another member than the command needs.
func (m *Map) Apply(index uint64, body []byte) ([]byte, error) {
	var c command
	if err := decMode.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("ranges: %w", err)
	}
	answer, err := m.apply(cluster.Version(index), c)
	if err != nil {
		return nil, err
	}
	m.Version = cluster.Version(index)
	return encMode.Marshal(answer)
}

func (m *Map) apply(now cluster.Version, c command) (any, error) {
	switch c.Op {
	case opInitialize:
		return nil, m.initialize(c)
	case opFailOver:
		return m.failOver(c.Takeovers)
	case opClearMove:
		return nil, m.clearMove(c)
	case opPlace:
		return nil, m.applyPlacement(now, c.Groups)
	case opConfirmPlacement:
		return nil, m.removeMisplaced(func(s MisplacedDestination) bool {
			return s.Grant.Range == c.Range && s.Grant.Epoch == c.Epoch && s.Grant.Since <= c.Seen
		})
	case opSweepMisplaced:
		return nil, m.removeMisplaced(func(s MisplacedDestination) bool { return !m.isHeld(s.Grant) })
	case opSplit, opMerge, opPlanMove, opConfirmOwner:
		i := m.indexOf(c.Range)
		if i < 0 {
			return nil, cluster.ErrUnknown
		}
		switch c.Op {
		case opSplit:
			return m.split(now, i, c.Key)
		case opMerge:
			return nil, m.merge(now, i, c.Other)
		case opPlanMove:
			return MoveID(now), m.planMove(MoveID(now), &m.Ranges[i], c)
		}
		return nil, m.confirmOwner(&m.Ranges[i], c)
	case opAdvanceMove, opRevertMove, opSwitchOwner:
		v := m.findMove(c.Move)
		switch {
		case v == nil:
			return nil, cluster.ErrUnknown
		case v.Step == StepSwitched:
			return nil, cluster.ErrStale
		case c.Op == opRevertMove:
			*v = Move{}
			return nil, nil
		case c.Op == opSwitchOwner:
			return nil, m.switchOwner(c)
		case c.Step != v.Step+1 || c.Step > StepHandoff:
			return nil, cluster.ErrStale
		}
		v.Step = c.Step
		return nil, nil
	}
	return nil, fmt.Errorf("ranges: no command has the number %d", c.Op)
}

// maxRanges bounds what a broken command can make a keeper hold.
const maxRanges = 1 << 16

func (m *Map) initialize(c command) error {
	if len(m.Ranges) > 0 {
		return cluster.ErrStale
	}
	ranges, err := EvenRanges(c.Count, c.Members)
	if err != nil {
		return err
	}
	m.Ranges, m.NextID = ranges, cluster.RangeID(len(ranges)+1)
	return nil
}

// EvenRanges is a first map: n ranges alike in size, given out by weight, each member's side by side.
func EvenRanges(n int, members []MemberWeight) ([]Range, error) {
	total := 0.0
	for _, w := range members {
		if !(w.Weight >= 0) || math.IsInf(w.Weight, 0) || w.Member == "" {
			return nil, fmt.Errorf("ranges: member %q of weight %v", w.Member, w.Weight)
		}
		total += w.Weight
	}
	if n < 1 || n > maxRanges || !(total > 0) || math.IsInf(total, 0) {
		return nil, fmt.Errorf("ranges: %d for a weight of %v in all", n, total)
	}
	each, upTo, k := ^uint64(0)/uint64(n), members[0].Weight, 0
	all := make([]Range, n)
	for i := range all {
		for k < len(members)-1 && (members[k].Weight == 0 || float64(i) >= math.Round(upTo/total*float64(n))) {
			k++
			upTo += members[k].Weight
		}
		all[i] = Range{ID: cluster.RangeID(i + 1), Owner: members[k].Member}
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
	if !r.IsStable() || len(m.Ranges) >= maxRanges {
		return 0, cluster.ErrStale
	}
	if at <= r.From || at > r.To {
		return 0, cluster.ErrUnknown
	}
	upper := Range{ID: m.NextID, From: at, To: r.To, Owner: r.Owner, SplitOff: true,
		PriorGrants: append(slices.Clone(r.PriorGrants), PriorGrant{r.ID, r.Epoch, now})}
	m.NextID++
	m.Ranges[i].To = at - 1
	m.Ranges = slices.Insert(m.Ranges, i+1, upper)
	return upper.ID, nil
}

func (m *Map) merge(now cluster.Version, i int, other cluster.RangeID) error {
	k := m.indexOf(other)
	if k < 0 {
		return cluster.ErrUnknown
	}
	a, b := &m.Ranges[i], m.Ranges[k]
	if i-k != 1 && k-i != 1 || a.Owner != b.Owner || !a.IsStable() || !b.IsStable() {
		return cluster.ErrStale
	}
	if b.From < a.From {
		a.SplitOff = b.SplitOff
	}
	a.From, a.To = min(a.From, b.From), max(a.To, b.To)
	a.PriorGrants = slices.DeleteFunc(append(append(slices.Clone(a.PriorGrants), b.PriorGrants...), PriorGrant{b.ID, b.Epoch, now}),
		func(u PriorGrant) bool { return u.Range == a.ID || !m.isHeld(u) })
	m.Ranges = slices.Delete(m.Ranges, k, k+1)
	return nil
}
