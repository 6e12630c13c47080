// Package rebalance moves key ranges between the members of the cluster as a plan file states (package planfile). It
// holds the planner, which chooses each range's member and orders the moves there; the progress of the running plan,
// which is replicated in the raft log; the scheduler, which computes the next actions of the coordinator; and the impact
// of moves on webhooks, which may stop a plan. It has no clock, I/O or goroutines. docs/cluster.md, "The plan language",
// has the reasons.
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

// The kinds of steps.
const (
	StepMove     StepKind = iota + 1 // a move to the range's target
	StepDetour                       // a move to free capacity elsewhere, since all that exchange ranges are full
	StepContinue                     // a move that was in flight before the plan and goes on
	StepRollBack                     // a move that was in flight before the plan and is rolled back
	StepSplit                        // no move: what lies from SplitKey on becomes range OtherRange
	StepMerge                        // no move: range OtherRange becomes a part of Range
)

// movesRange reports whether steps of a kind move a range to their target.
func (k StepKind) movesRange() bool { return k == StepMove || k == StepDetour || k == StepContinue }

// wasInFlight reports whether steps of a kind are moves that began before the plan.
func (k StepKind) wasInFlight() bool { return k == StepContinue || k == StepRollBack }

// reshapes reports whether steps of a kind split or merge ranges.
func (k StepKind) reshapes() bool { return k == StepSplit || k == StepMerge }

// Step is one move, split or merge. It may start once each step of DependsOn is done, and each step that has a rule of
// AfterRules.
type Step struct {
	Range      cluster.RangeID  `cbor:"1,keyasint"` // 0: of an owner that was lost, only to be cleared
	From       cluster.MemberID `cbor:"2,keyasint"`
	To         cluster.MemberID `cbor:"3,keyasint"`
	Kind       StepKind         `cbor:"4,keyasint"`
	Move       shardmap.MoveID  `cbor:"5,keyasint,omitempty"` // set for moves that have begun
	DependsOn  []Dependency     `cbor:"6,keyasint,omitempty"`
	Rules      []int            `cbor:"7,keyasint,omitempty"` // indexes of the file's rules by which the range moves
	AfterRules []int            `cbor:"8,keyasint,omitempty"` // indexes of rules
	Keys       uint64           `cbor:"9,keyasint"`
	SplitKey   cluster.KeyHash  `cbor:"10,keyasint,omitempty"`
	OtherRange cluster.RangeID  `cbor:"11,keyasint,omitempty"`
}

// Dependency is an earlier step that has to be done, and the reason.
type Dependency struct {
	Step   int              `cbor:"1,keyasint"`
	Reason DependencyReason `cbor:"2,keyasint"`
}

// DependencyReason is the reason for which a step depends on another. The values are stored in the raft log.
type DependencyReason uint8

// The reasons for dependencies.
const (
	CapacityFreed DependencyReason = iota + 1 // the earlier step frees the capacity that this one uses
	SameRange                                 // both move one range
	RangeBoundary                             // the range is split off by the earlier step, or merged once that is done
)

// Plan is the steps from one map to what the file states. Each step depends on earlier ones only.
type Plan struct {
	Version         cluster.Version // of the map
	Steps           []Step
	TotalKeys       uint64 // in all ranges; where the counts aren't known, parts of the hashes
	MovedKeys       uint64 // twice for a range that makes a detour
	MinMovedKeys    uint64 // keys that any plan moves which is as near to the members' quotas
	Optimal         bool   // MinMovedKeys is that, and not only what rules force away from where it is
	RangesPerMember map[cluster.MemberID]int
}

// NewPlan chooses where each range shall be and orders the moves there. keys returns how many keys a range has; if it
// is nil, ranges count by their part of the hashes. An error is one line, and names both lines if two contradict
// each other; it is a *RangeMovingError if a range that moves has to be split first.
//
// The plan minimises first the members' distance from their quotas by weight, then the keys moved, then the moves. The
// first two are proven to be minimal, unless ranges have anti-affinity by zone or by several rules at once and the
// search for those ends early. Detours come on top: one, of few keys, for each set of full members that exchange
// ranges.
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

// summarize counts the keys and ranges of a plan.
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

// isForcedAway reports whether no rule would let a range stay on a member.
func (p *problem) isForcedAway(i, member int) bool {
	_, allowed := p.allowedMembers(i)
	return !slices.Contains(allowed, member)
}
