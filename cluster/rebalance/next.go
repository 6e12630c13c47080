package rebalance

import (
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// Observations is what a conductor knows beside the log.
type Observations struct {
	IsGone        func(cluster.MemberID) bool   // it has no session; nil: none is gone
	RangeValue    func(cluster.RangeID) float64 // value of what is delivered in a range, as bounds count it; nil: 0
	Impact        Impact
	SinceLastMove api.Micros // since a move ended; a conductor that has just begun counts from then
}

// ActionKind is what a conductor has to do.
type ActionKind uint8

const (
	ActionStart       ActionKind = iota + 1 // ranges.Conductor.Plan(Range, From, To)
	ActionRollBack                          // ranges.Conductor.Back(Move)
	ActionRecordState                       // Conductor.Note(number, Step, Stand, Move)
	ActionStop                              // Conductor.Stop(number, Why)
	ActionReplan                            // Make by the same file and the map as it is, then Adopt
	ActionSplit                             // ranges.Conductor.Split(Range, At)
	ActionMerge                             // ranges.Conductor.Merge(Range, Other)
)

// Action is one thing to do. What the log refuses is asked for again as long as it is due.
type Action struct {
	Kind       ActionKind
	Step       int // from 0 on; -1: no step's
	Range      cluster.RangeID
	From, To   cluster.MemberID
	Move       shardmap.MoveID
	State      StepState
	Reason     string
	SplitKey   cluster.KeyHash // ActionSplit
	OtherRange cluster.RangeID // ActionMerge
}

// BlockedStep says why a step has not begun.
type BlockedStep struct {
	Step   int
	Reason string
}

// Decisions is what Next found.
type Decisions struct {
	Actions  []Action
	Blocked  []BlockedStep
	Finished bool // all that shall be is, or the plan was stopped and nothing is under way
}

// look is one call of Next.
type look struct {
	*Progress
	file   *File
	seen   Observations
	stands []StepState // as they are by the map, noted or not
	ranges map[cluster.RangeID]*shardmap.Range
	whole  map[cluster.RangeID]bool // those that count in a member's room
	left   map[shardmap.MoveID]bool
	wanted map[shardmap.MoveID]bool // by a step
	backs  map[shardmap.MoveID]bool // told already
	out    Decisions

	members map[cluster.MemberID]*Member
	used    map[cluster.MemberID]int // places
	undone  []int                    // steps by rule
	busy    busy
}

// Schedule tells what has to be done now by the log, the map of ranges and what the conductor sees. f is the
// running plan's file, as Progress.File reads it. It keeps nothing: whoever conducts next goes on from the
// same.
func (p *Progress) Schedule(f *File, m *shardmap.Map, s Observations) Decisions {
	if p.Number == 0 {
		return Decisions{Finished: true}
	}
	l := &look{Progress: p, file: f, seen: s, stands: append([]StepState(nil), p.States...),
		ranges: map[cluster.RangeID]*shardmap.Range{}, left: map[shardmap.MoveID]bool{}, wanted: map[shardmap.MoveID]bool{},
		backs: map[shardmap.MoveID]bool{}, members: map[cluster.MemberID]*Member{}}
	for i := range f.Members {
		l.members[f.Members[i].ID] = &f.Members[i]
	}
	l.whole = map[cluster.RangeID]bool{}
	for i, head := range heads(m.Ranges) {
		l.ranges[m.Ranges[i].ID], l.whole[m.Ranges[i].ID] = &m.Ranges[i], head == i
	}
	for _, v := range m.DetachedMoves {
		l.left[v.ID] = true
	}
	why := ""
	for k := range p.Steps {
		if text := l.judge(k); text != "" && why == "" {
			why = text
		}
	}
	l.unwanted(m)
	switch harm := f.StopConditions.harm(s.Impact); {
	case p.StopReason != "":
		l.backAll(m, "the plan is stopped: "+p.StopReason)
	case harm != "":
		l.add(Action{Kind: ActionStop, Step: -1, Reason: harm})
		l.backAll(m, harm)
	case why != "":
		l.add(Action{Kind: ActionReplan, Step: -1, Reason: why})
	default:
		l.starts(m)
	}
	l.out.Finished = l.finished(m)
	return l.out
}

func (l *look) add(a Action) { l.out.Actions = append(l.out.Actions, a) }

func (l *look) note(k int, stand StepState, move shardmap.MoveID) {
	l.stands[k] = stand
	if l.States[k] != stand {
		s := l.Steps[k]
		l.add(Action{Kind: ActionRecordState, Step: k, Range: s.Range, From: s.From, To: s.To, Move: move, State: stand})
	}
}

// judge brings a step and the map together. A text says why the steps can't go on from where the ranges are.
func (l *look) judge(k int) string {
	s, r := l.Steps[k], l.ranges[l.Steps[k].Range]
	if l.stands[k] == Done {
		return ""
	}
	if s.Range == 0 { // of a home that was lost: only to be cleared
		if !l.left[s.Move] {
			l.note(k, Done, s.Move)
		}
		return ""
	}
	if s.Kind == StepSplit || s.Kind == StepMerge {
		return l.reshape(k)
	}
	if slices.ContainsFunc(s.DependsOn, func(n Dependency) bool { return n.Reason == RangeBoundary && l.stands[n.Step] != Done }) {
		return ""
	}
	if r == nil {
		return fmt.Sprintf("range %d was split or merged", s.Range)
	}
	elsewhere := fmt.Sprintf("step %d: range %d is on %q", k+1, s.Range, r.Owner)
	if l.stands[k] == Started {
		open := r.Move.IsOpen() && r.Move.ID == s.Move
		switch {
		case open && s.Kind == StepRollBack && r.Move.Step == shardmap.StepSwitched:
			return elsewhere + " already"
		case open:
			l.wanted[s.Move] = true
			if s.Kind == StepRollBack {
				l.back(k, r, "the plan wants it elsewhere")
			} else if l.gone(s.To) && r.Move.Step < shardmap.StepSwitched {
				l.back(k, r, fmt.Sprintf("%q is not heard", s.To))
			}
		case s.Kind == StepRollBack && r.Owner == s.From, s.Kind != StepRollBack && r.Owner == s.To:
			l.note(k, Done, s.Move)
		case s.Kind != StepRollBack && r.Owner == s.From:
			l.note(k, RolledBack, s.Move)
		default:
			return elsewhere
		}
		return ""
	}
	for _, n := range s.DependsOn { // until then the range may be where an earlier step has it
		if n.Reason == SameRange && l.stands[n.Step] != Done {
			return ""
		}
	}
	switch {
	case r.Owner == s.From && r.Move.IsOpen() && r.Move.From == s.From && r.Move.To == s.To:
		l.wanted[r.Move.ID] = true
		l.note(k, Started, r.Move.ID)
	case r.Owner == s.To && !r.Move.IsOpen():
		l.note(k, Done, s.Move)
	case r.Owner != s.From:
		return elsewhere
	}
	return ""
}

func (l *look) gone(m cluster.MemberID) bool { return l.seen.IsGone != nil && l.seen.IsGone(m) }

func (l *look) back(k int, r *shardmap.Range, why string) {
	if l.backs[r.Move.ID] {
		return
	}
	l.backs[r.Move.ID] = true
	l.add(Action{Kind: ActionRollBack, Step: k, Range: r.ID, From: r.Move.From, To: r.Move.To, Move: r.Move.ID, Reason: why})
}

// unwanted sends back what a plan before this one began and this one doesn't know.
func (l *look) unwanted(m *shardmap.Map) {
	for i := range m.Ranges {
		if r := &m.Ranges[i]; r.Move.IsOpen() && r.Move.Step < shardmap.StepSwitched && !l.wanted[r.Move.ID] {
			l.back(-1, r, "no step of the plan wants it")
		}
	}
}

// backAll sends back all that has not switched.
func (l *look) backAll(m *shardmap.Map, why string) {
	for i := range m.Ranges {
		if r := &m.Ranges[i]; r.Move.IsOpen() && r.Move.Step < shardmap.StepSwitched && l.wanted[r.Move.ID] {
			l.back(-1, r, why)
		}
	}
	for k, s := range l.stands {
		if s == Pending || s == RolledBack {
			l.out.Blocked = append(l.out.Blocked, BlockedStep{k, why})
		}
	}
}

func (l *look) finished(m *shardmap.Map) bool {
	for i := range m.Ranges {
		if m.Ranges[i].Move.IsOpen() {
			return false
		}
	}
	for _, s := range l.stands {
		if s != Done && l.StopReason == "" {
			return false
		}
	}
	return true
}
