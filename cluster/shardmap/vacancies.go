package shardmap

import (
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// initialOwnerGrace is for how many terms a home that has never served is waited for: a fleet starts one by one.
const initialOwnerGrace = 2

// Candidate is a member as a home: ranges at the most in Room, 0: no bound.
type Candidate struct {
	MemberWeight
	MaxRanges int
}

// FailoverPlanner is what the conductor sees of ranges whose home holds their task no more.
type FailoverPlanner struct {
	ttl            api.Micros
	ownerlessSince map[cluster.RangeID]api.Micros
}

// NewFailoverPlanner sees none yet; term is that of a session.
func NewFailoverPlanner(term api.Micros) *FailoverPlanner {
	return &FailoverPlanner{ttl: term, ownerlessSince: map[cluster.RangeID]api.Micros{}}
}

// Reset is for one that conducts no more.
func (v *FailoverPlanner) Reset() { clear(v.ownerlessSince) }

// PlanTakeovers are the ranges to be given to other members now: those whose home has no session. One that served has
// had its whole term; one that is only named is waited for. They go to those with the least for their weight.
func (v *FailoverPlanner) PlanTakeovers(m *Map, by LeaseHolders, alive map[cluster.MemberID]bool, members []Candidate,
	now api.Micros) (takes []Takeover) {
	has := map[cluster.MemberID]int{}
	for _, r := range m.Ranges {
		if !r.SplitOff { // a piece takes no room
			has[r.Owner]++
		}
	}
	var head Takeover // of the range that comes next's beginning
	for _, r := range m.Ranges {
		if !r.SplitOff {
			head = Takeover{}
		}
		if _, _, _, held := by.Holder(cluster.HomeOf(r.ID)); held || alive[r.Owner] {
			delete(v.ownerlessSince, r.ID)
			continue
		}
		if _, seen := v.ownerlessSince[r.ID]; !seen {
			v.ownerlessSince[r.ID] = now
		}
		if r.Status != OwnerServing && now-v.ownerlessSince[r.ID] < initialOwnerGrace*v.ttl {
			continue
		}
		to := head.NewOwner
		if !r.SplitOff || head.PreviousOwner != r.Owner { // else it goes where its range goes
			var ok bool
			if to, ok = lightest(members, alive, has, r.SplitOff); !ok {
				continue
			}
		}
		take := Takeover{Range: r.ID, PreviousOwner: r.Owner, NewOwner: to}
		if takes = append(takes, take); !r.SplitOff {
			has[r.Owner]--
			has[to]++
			head = take
		}
	}
	return takes
}

// lightest is the live member that one range more makes the least heavy for its weight and that has room. A
// piece needs none.
func lightest(members []Candidate, alive map[cluster.MemberID]bool, has map[cluster.MemberID]int,
	piece bool) (cluster.MemberID, bool) {
	able := slices.DeleteFunc(slices.Clone(members), func(w Candidate) bool {
		return !alive[w.Member] || !(w.MemberWeight.Weight > 0) || !piece && w.MaxRanges > 0 && has[w.Member] >= w.MaxRanges
	})
	if len(able) == 0 {
		return "", false
	}
	load := func(w Candidate) float64 { return float64(has[w.Member]+1) / w.MemberWeight.Weight }
	return slices.MinFunc(able, func(a, b Candidate) int {
		switch la, lb := load(a), load(b); {
		case la < lb:
			return -1
		case la > lb:
			return 1
		}
		return 0
	}).Member, true
}
