package shardmap

import (
	"cmp"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// initialOwnerGrace is the number of lease TTLs to wait for an owner that has never served: the members of a cluster
// start one after another.
const initialOwnerGrace = 2

// Candidate is a member that can own ranges. MaxRanges is the most ranges that it may own; 0: no bound.
type Candidate struct {
	MemberWeight
	MaxRanges int
}

// FailoverPlanner plans the takeover of ranges whose owner has lost its session. It belongs to the rebalance
// coordinator.
type FailoverPlanner struct {
	ttl            api.Micros
	ownerlessSince map[cluster.RangeID]api.Micros
}

// NewFailoverPlanner returns a planner that has seen no range without an owner. ttl is the TTL of a session.
func NewFailoverPlanner(ttl api.Micros) *FailoverPlanner {
	return &FailoverPlanner{ttl: ttl, ownerlessSince: map[cluster.RangeID]api.Micros{}}
}

// Reset discards what the planner has seen. A member calls it when it stops being the coordinator.
func (p *FailoverPlanner) Reset() { clear(p.ownerlessSince) }

// PlanTakeovers returns the takeovers that are due now, of ranges whose owner has no session. An owner that has
// served has had its whole TTL by then; an owner that was only assigned gets initialOwnerGrace TTLs. A range goes to
// the candidate with the least load for its weight. Ranges that were split off it go to the same candidate.
func (p *FailoverPlanner) PlanTakeovers(
	m *Map, holders LeaseHolders, alive map[cluster.MemberID]bool, candidates []Candidate, now api.Micros,
) []Takeover {
	owned := map[cluster.MemberID]int{}
	for _, r := range m.Ranges {
		if !r.SplitOff { // a range that was split off doesn't count
			owned[r.Owner]++
		}
	}
	var takeovers []Takeover
	var parent Takeover // of the range that the following ranges were split off
	for _, r := range m.Ranges {
		if !r.SplitOff {
			parent = Takeover{}
		}
		if !p.isDue(r, holders, alive, now) {
			continue
		}
		newOwner := parent.NewOwner
		if !r.SplitOff || parent.PreviousOwner != r.Owner {
			var found bool
			newOwner, found = leastLoaded(candidates, alive, owned, r.SplitOff)
			if !found {
				continue
			}
		}
		takeover := Takeover{Range: r.ID, PreviousOwner: r.Owner, NewOwner: newOwner}
		takeovers = append(takeovers, takeover)
		if !r.SplitOff {
			owned[r.Owner]--
			owned[newOwner]++
			parent = takeover
		}
	}
	return takeovers
}

// isDue records since when a range has no owner and reports whether it is due for a takeover.
func (p *FailoverPlanner) isDue(
	r Range, holders LeaseHolders, alive map[cluster.MemberID]bool, now api.Micros,
) bool {
	if _, held := holders.Holder(cluster.RangeOwnerResource(r.ID)); held || alive[r.Owner] {
		delete(p.ownerlessSince, r.ID)
		return false
	}
	if _, seen := p.ownerlessSince[r.ID]; !seen {
		p.ownerlessSince[r.ID] = now
	}
	return r.Status == OwnerServing || now-p.ownerlessSince[r.ID] >= initialOwnerGrace*p.ttl
}

// leastLoaded returns the live candidate below its bound that has the least load for its weight, counting one range
// more. The bound does not apply to a range that was split off.
func leastLoaded(
	candidates []Candidate, alive map[cluster.MemberID]bool, owned map[cluster.MemberID]int, splitOff bool,
) (cluster.MemberID, bool) {
	eligible := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		isFull := !splitOff && c.MaxRanges > 0 && owned[c.Member] >= c.MaxRanges
		return !alive[c.Member] || !(c.Weight > 0) || isFull
	})
	if len(eligible) == 0 {
		return "", false
	}
	load := func(c Candidate) float64 { return float64(owned[c.Member]+1) / c.Weight }
	least := slices.MinFunc(eligible, func(a, b Candidate) int { return cmp.Compare(load(a), load(b)) })
	return least.Member, true
}
