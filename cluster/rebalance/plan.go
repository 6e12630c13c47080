// Package rebalance moves key ranges between the members of the cluster as a plan file states (package planfile). It
// has four parts: the planner chooses a member for each range and orders the moves; Progress is the state of the
// running plan, replicated in the raft log; the scheduler computes the coordinator's next actions; and the impact meter
// measures the effect of moves on webhooks, which may stop a plan. The package uses no clock, I/O or goroutines.
// docs/cluster.md, "The plan language", has the reasons for this design.
package rebalance

import (
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
)

// StepKind is the kind of a step. The values are stored in the raft log.
type StepKind uint8

// The kinds of steps. A detour is needed where full members exchange ranges: none of them has free capacity for the
// first move, so that one range waits on another member until its target has capacity.
const (
	StepMove     StepKind = iota + 1 // a move to the range's target
	StepDetour                       // the first part of a move by way of another member, to free capacity
	StepContinue                     // a move that was in flight before the plan and continues
	StepRollBack                     // a move that was in flight before the plan and is rolled back
	StepSplit                        // no move: the hashes of Range from SplitKey on become range OtherRange
	StepMerge                        // no move: range OtherRange is merged into Range
)

// movesRange reports whether steps of this kind move a range to the step's target.
func (k StepKind) movesRange() bool { return k == StepMove || k == StepDetour || k == StepContinue }

// wasInFlight reports whether steps of this kind are moves that began before the plan.
func (k StepKind) wasInFlight() bool { return k == StepContinue || k == StepRollBack }

// reshapes reports whether steps of this kind split or merge ranges.
func (k StepKind) reshapes() bool { return k == StepSplit || k == StepMerge }

// Step is one move, split or merge. It may start once all steps in DependsOn are done, and all steps that move a range
// by one of the rules in AfterRules.
type Step struct {
	Range      cluster.RangeID  `cbor:"1,keyasint"` // 0: of a detached move, whose range failed over
	From       cluster.MemberID `cbor:"2,keyasint"`
	To         cluster.MemberID `cbor:"3,keyasint"`
	Kind       StepKind         `cbor:"4,keyasint"`
	Move       shardmap.MoveID  `cbor:"5,keyasint,omitempty"` // set for moves that have begun
	DependsOn  []Dependency     `cbor:"6,keyasint,omitempty"`
	Rules      []int            `cbor:"7,keyasint,omitempty"` // indexes of the file's rules that the move counts for
	AfterRules []int            `cbor:"8,keyasint,omitempty"` // indexes of rules whose steps have to be done first
	Keys       uint64           `cbor:"9,keyasint"`
	SplitKey   cluster.KeyHash  `cbor:"10,keyasint,omitempty"`
	OtherRange cluster.RangeID  `cbor:"11,keyasint,omitempty"`
}

// Dependency is an earlier step that has to be done first, and the reason.
type Dependency struct {
	Step   int              `cbor:"1,keyasint"`
	Reason DependencyReason `cbor:"2,keyasint"`
}

// DependencyReason tells why a step depends on another. The values are stored in the raft log.
type DependencyReason uint8

// The reasons for dependencies.
const (
	CapacityFreed DependencyReason = iota + 1 // the earlier step frees the capacity that this one uses
	SameRange                                 // both steps move the same range
	RangeBoundary                             // the earlier step splits off the range, or must precede its split or merge
)

// Plan is the list of steps that lead from a shard map to the placement that a file states. Each step depends on
// earlier ones only.
type Plan struct {
	Version         cluster.Version // of the map that the steps start from
	Steps           []Step
	TotalKeys       uint64 // in all ranges; their shares of the hash space if key counts are unknown
	MovedKeys       uint64 // a range that makes a detour counts twice
	MinMovedKeys    uint64 // fewest keys that a plan as close to the quotas moves, or a lower bound
	Optimal         bool   // MinMovedKeys is exact; else it counts just what rules force off its owner
	RangesPerMember map[cluster.MemberID]int
}

// NewPlan chooses a member for each range and orders the moves. keys returns the number of keys in a range; if it is
// nil, a range's share of the hash space counts instead. An error is one line of text; if two lines of the file
// contradict each other, it names both. The error is a *RangeMovingError if a range has to be split that is still
// moving.
//
// The plan minimizes, in this order, the members' deviation from their quotas, the keys moved, and the number of moves.
// The first two are exact minima, unless the search for ranges with anti-affinity by zone or by several rules ends at
// its limit. Detours are added to that: one for each set of full members that exchange ranges, made by a range of few
// keys.
func NewPlan(f *planfile.File, m *shardmap.Map, keys func(cluster.RangeID) uint64) (*Plan, error) {
	if len(m.Ranges) == 0 {
		return nil, fmt.Errorf("%s:1: there is no shard map yet", f.Name)
	}
	splits, after, err := neededSplits(f, m)
	if err != nil {
		return nil, err
	}
	p := newProblem(f, after, splitKeyCounts(keys, m, after, splits))
	if err := p.applyRules(); err != nil {
		return nil, err
	}
	chosen, isOptimal, err := p.choosePlacement()
	if err != nil {
		return nil, err
	}
	s := p.newSequencer(after, chosen.target)
	if err := s.run(); err != nil {
		return nil, err
	}
	plan := &Plan{
		Version:         after.Version,
		Steps:           p.addReshapes(s.steps(), splits, chosen.target),
		Optimal:         isOptimal,
		RangesPerMember: map[cluster.MemberID]int{},
	}
	p.summarize(plan, chosen.target)
	return plan, nil
}

// summarize sets the key counts and the number of ranges per member of a plan.
func (p *problem) summarize(plan *Plan, target []int) {
	for i, to := range target {
		plan.TotalKeys += p.keyCounts[i]
		if p.isBase(i) {
			plan.RangesPerMember[p.members[to].ID]++
		}
		if to != p.owner[i] && (plan.Optimal || p.isForcedAway(i, p.owner[i])) {
			plan.MinMovedKeys += p.keyCounts[i]
		}
	}
	for _, s := range plan.Steps {
		hasSwitched := s.Kind == StepContinue && p.isOwnedByTarget(s)
		if s.Kind.movesRange() && !hasSwitched {
			plan.MovedKeys += s.Keys
		}
	}
}

func (p *problem) isOwnedByTarget(s Step) bool {
	i, isKnown := p.rangeIndex[s.Range]
	return isKnown && p.ranges[i].Owner == s.To
}

// isForcedAway reports whether the rules don't allow a range to stay on a member.
func (p *problem) isForcedAway(i, member int) bool {
	_, allowed := p.allowedMembers(i)
	return !slices.Contains(allowed, member)
}
