package rebalance

import (
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
)

// StepKind is what a step does.
type StepKind uint8

const (
	StepMove     StepKind = iota + 1 // a move to where the range shall be
	StepDetour                       // a move to a free place, since all that shall change places are full
	StepContinue                     // a move that was under way and goes on
	StepRollBack                     // a move that was under way and goes back
	StepSplit                        // no move: what lies from At on becomes range Other
	StepMerge                        // no move: range Other becomes a part of Range
)

// Step is one move. It may start once each step of Needs is through, and each step that has a rule of After.
type Step struct {
	Range      cluster.RangeID  `cbor:"1,keyasint"`
	From       cluster.MemberID `cbor:"2,keyasint"`
	To         cluster.MemberID `cbor:"3,keyasint"`
	Kind       StepKind         `cbor:"4,keyasint"`
	Move       shardmap.MoveID  `cbor:"5,keyasint,omitempty"` // Kept and Back; of others once it has begun
	DependsOn  []Dependency     `cbor:"6,keyasint,omitempty"`
	Rules      []int            `cbor:"7,keyasint,omitempty"` // by which it moves: indexes of File.Rules
	AfterRules []int            `cbor:"8,keyasint,omitempty"`
	Keys       uint64           `cbor:"9,keyasint"`
	SplitKey   cluster.KeyHash  `cbor:"10,keyasint,omitempty"`
	OtherRange cluster.RangeID  `cbor:"11,keyasint,omitempty"`
}

// Dependency is an earlier step that has to be through, and why.
type Dependency struct {
	Step   int              `cbor:"1,keyasint"`
	Reason DependencyReason `cbor:"2,keyasint"`
}

type DependencyReason uint8

const (
	CapacityFreed DependencyReason = iota + 1 // the place at To is the one it frees
	SameRange                                 // it moves the same range
	RangeBoundary                             // it splits the range off, or has to be through before it is merged
)

// Plan is the steps from one map to what the file states. Each needs earlier ones only.
type Plan struct {
	Version         cluster.Version
	Steps           []Step
	TotalKeys       uint64 // in all ranges; where nothing was told, parts of the hashes
	MovedKeys       uint64 // keys moved, twice for a range that makes a stop-over
	MinMovedKeys    uint64 // keys that have to move at the least, if each member shall be as near to its part
	Optimal         bool   // Least is that, not only what rules send away from where it is
	RangesPerMember map[cluster.MemberID]int
}

// NewPlan finds where each range shall be and orders the moves there. keys tells how many a range has; nil:
// ranges count by their part of the hashes. An error is one line, and names both lines where two contradict
// each other.
//
// What is minimised is first how far members are from their parts by weight, then the keys moved, then the
// moves. The first two are proven to be least, unless ranges are held apart by zone or by several rules at
// once and the search for those ends early. Stop-overs come on top: one for each ring of full members, of few
// keys.
func NewPlan(f *File, m *shardmap.Map, keys func(cluster.RangeID) uint64) (*Plan, error) {
	if len(m.Ranges) == 0 {
		return nil, fmt.Errorf("%s:1: there is no map of ranges yet", f.Name)
	}
	cuts, after, err := f.cuts(m)
	if err != nil {
		return nil, err
	}
	keys = shared(keys, m, after, cuts)
	m = after
	t := newTask(f, m, keys)
	if err := t.resolve(); err != nil {
		return nil, err
	}
	c, proven, err := t.choose()
	if err != nil {
		return nil, err
	}
	p := &Plan{Version: m.Version, Optimal: proven, RangesPerMember: map[cluster.MemberID]int{}}
	for i, to := range c.to {
		p.TotalKeys += t.told[i]
		if t.whole(i) {
			p.RangesPerMember[t.members[to].ID]++
		}
		if _, may := t.may(i); to != t.home[i] && (proven || !slices.Contains(may, t.home[i])) {
			p.MinMovedKeys += t.told[i]
		}
	}
	o := t.order(m, c.to)
	if err := o.run(); err != nil {
		return nil, err
	}
	p.Steps = t.reshaped(o.steps(), cuts, c.to)
	for _, s := range p.Steps {
		if s.Kind < StepRollBack && !(s.Kind == StepContinue && t.homeIs(s)) {
			p.MovedKeys += s.Keys
		}
	}
	return p, nil
}

func (t *task) homeIs(s Step) bool {
	i, known := t.rangeAt[s.Range]
	return known && t.ranges[i].Owner == s.To
}

// move is a move on its way to become a step, by index of range and members.
type move struct {
	of, from, to int
	way          StepKind
	id           shardmap.MoveID
	rules        []int
	forced       bool // a rule wants it; others only balance
}

// order is the search for an order: what has to be through first, the moves to order, and places.
type order struct {
	*task
	names  []cluster.MemberID // of members, those too that the file doesn't have
	head   []move             // under way: they end by themselves
	moves  []move
	free   []int // places at each member once the head is through; below 0: it has more than its room
	start  []int // the same before the head is through
	serial []int // the order found: indexes of moves
	to     []int // where each range shall be

	goesBefore [][]int // by rule, all rules that go before it
}

const unbounded = 1 << 30

func (t *task) order(m *shardmap.Map, to []int) *order {
	o := &order{task: t, to: to}
	index := map[cluster.MemberID]int{}
	beside := map[cluster.MemberID]int{} // of pieces, which take no room
	at := func(id cluster.MemberID, of map[cluster.MemberID]int) int {
		k, known := of[id]
		if !known {
			k = len(o.names)
			of[id], o.names = k, append(o.names, id)
			o.free = append(o.free, unbounded)
			if k < len(t.members) && t.members[k].Capacity > 0 {
				o.free[k] = t.members[k].Capacity
			}
		}
		return k
	}
	for _, v := range t.members {
		at(v.ID, index)
	}
	for i, r := range t.ranges {
		of := index
		if !t.whole(i) {
			of = beside
		}
		home, real, goal := at(r.Owner, of), at(r.Owner, index), t.members[to[i]].ID
		if o.free[home]--; r.Move.IsOpen() {
			o.underWay(i, r.Move, at(r.Move.From, of), at(r.Move.To, of))
		}
		if goal != r.Owner && !(r.Move.IsOpen() && r.Move.Step < shardmap.StepSwitched && goal == r.Move.To) {
			o.moves = append(o.moves, move{of: i, from: home, to: at(goal, of), way: StepMove, rules: t.by(i, real),
				forced: t.forced(i, real)})
		}
	}
	for _, v := range m.DetachedMoves {
		o.head = append(o.head, move{of: -1, from: at(v.From, index), to: at(v.To, index), way: StepContinue, id: v.ID})
	}
	o.start = slices.Clone(o.free)
	for _, v := range o.head {
		o.start[o.frees(v)]--
	}
	return o
}

// member is its index, or one that no member of the file has.
func (o *order) member(id cluster.MemberID) int {
	if k, ok := o.at[id]; ok {
		return k
	}
	return len(o.members)
}

// underWay takes note of a move that has begun. One that can go back does so unless it goes where it should.
func (o *order) underWay(i int, v shardmap.Move, from, to int) {
	way, rules := StepContinue, o.by(i, o.member(v.From))
	if v.Step < shardmap.StepSwitched {
		if o.members[o.to[i]].ID != v.To {
			way, rules = StepRollBack, nil
		} else {
			o.free[to]--
			o.free[from]++
		}
	}
	o.head = append(o.head, move{of: i, from: from, to: to, way: way, id: v.ID, rules: rules})
}

// frees is where a step of the head, once through, leaves a place that it holds until then.
func (o *order) frees(v move) int {
	if v.way == StepRollBack {
		return v.to
	}
	return v.from
}
