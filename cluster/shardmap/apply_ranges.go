package shardmap

import (
	"fmt"
	"math"
	"slices"

	"rowanlink/cluster"
)

// maxRanges limits how many ranges a faulty command can make a raft node store.
const maxRanges = 1 << 16

// initialize creates the first map.
func (m *Map) initialize(c command) error {
	if len(m.Ranges) > 0 {
		return cluster.ErrStale
	}
	ranges, err := EvenRanges(c.Count, c.Members)
	if err != nil {
		return err
	}
	m.Ranges = ranges
	m.NextID = cluster.RangeID(len(ranges) + 1)
	return nil
}

// EvenRanges returns the n ranges of a first map. They are of equal size and distributed among the members by weight;
// the ranges of one member are adjacent.
func EvenRanges(n int, members []MemberWeight) ([]Range, error) {
	total, err := totalWeight(members)
	if err != nil {
		return nil, err
	}
	if n < 1 || n > maxRanges || !(total > 0) || math.IsInf(total, 0) {
		return nil, fmt.Errorf("shardmap: can't distribute %d ranges over a total weight of %v", n, total)
	}
	size := uint64(maxKeyHash) / uint64(n)
	member, cumulative := 0, members[0].Weight // cumulative is the weight of the members up to and including this one
	ranges := make([]Range, n)
	for i := range ranges {
		for member < len(members)-1 &&
			(members[member].Weight == 0 || float64(i) >= math.Round(cumulative/total*float64(n))) {
			member++
			cumulative += members[member].Weight
		}
		ranges[i] = Range{
			ID:    cluster.RangeID(i + 1),
			Owner: members[member].Member,
			To:    cluster.KeyHash(size*uint64(i+1) + uint64(i)),
		}
		if i > 0 {
			ranges[i].From = ranges[i-1].To + 1
		}
	}
	ranges[n-1].To = maxKeyHash
	return ranges, nil
}

func totalWeight(members []MemberWeight) (float64, error) {
	total := 0.0
	for _, w := range members {
		if !(w.Weight >= 0) || math.IsInf(w.Weight, 0) || w.Member == "" {
			return 0, fmt.Errorf("shardmap: member %q has no name or an invalid weight: %v", w.Member, w.Weight)
		}
		total += w.Weight
	}
	return total, nil
}

// split divides the range at index i. The lower part keeps the current lease. The upper part becomes a range with a
// lease of its own. Until its owner has confirmed that lease, the owner may still serve the upper part under the old
// lease by an older map; the added prior grant records this.
func (m *Map) split(version cluster.Version, i int, key cluster.KeyHash) (cluster.RangeID, error) {
	r := m.Ranges[i]
	if !r.IsStable() || len(m.Ranges) >= maxRanges {
		return 0, cluster.ErrStale
	}
	if key <= r.From || key > r.To {
		return 0, cluster.ErrNotFound
	}
	upper := Range{
		ID:          m.NextID,
		From:        key,
		To:          r.To,
		Owner:       r.Owner,
		SplitOff:    true,
		PriorGrants: append(slices.Clone(r.PriorGrants), PriorGrant{Range: r.ID, Epoch: r.Epoch, Since: version}),
	}
	m.NextID++
	m.Ranges[i].To = key - 1
	m.Ranges = slices.Insert(m.Ranges, i+1, upper)
	return upper.ID, nil
}

// merge extends the range at index i by an adjacent range. The grant under which the adjacent one was served stays
// recorded as a prior grant.
func (m *Map) merge(version cluster.Version, i int, otherID cluster.RangeID) error {
	otherIndex := m.indexOf(otherID)
	if otherIndex < 0 {
		return cluster.ErrNotFound
	}
	r, other := &m.Ranges[i], &m.Ranges[otherIndex]
	isAdjacent := i-otherIndex == 1 || otherIndex-i == 1
	if !isAdjacent || r.Owner != other.Owner || !r.IsStable() || !other.IsStable() {
		return cluster.ErrStale
	}
	if other.From < r.From {
		r.SplitOff = other.SplitOff
	}
	r.From, r.To = min(r.From, other.From), max(r.To, other.To)
	grants := append(slices.Clone(r.PriorGrants), other.PriorGrants...)
	grants = append(grants, PriorGrant{Range: other.ID, Epoch: other.Epoch, Since: version})
	r.PriorGrants = slices.DeleteFunc(grants, func(g PriorGrant) bool {
		return g.Range == r.ID || !m.isHeld(g)
	})
	m.Ranges = slices.Delete(m.Ranges, otherIndex, otherIndex+1)
	return nil
}
