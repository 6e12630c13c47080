package rebalance

import (
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// Seen is what a conductor knows beside the log.
type Seen struct {
	Gone   func(cluster.MemberID) bool   // it has no session; nil: none is gone
	Value  func(cluster.RangeID) float64 // value of what is delivered in a range, as bounds count it; nil: 0
	Harm   Harm
	Rested api.Micros // since a move ended; a conductor that has just begun counts from then
}

// Do is what a conductor has to do.
type Do uint8

const (
	Start    Do = iota + 1 // ranges.Conductor.Plan(Range, From, To)
	GoBack                 // ranges.Conductor.Back(Move)
	TakeOn                 // Conductor.Note(number, Step, Stand, Move)
	GiveUp                 // Conductor.Stop(number, Why)
	Replan                 // Make by the same file and the map as it is, then Adopt
	SplitOff               // ranges.Conductor.Split(Range, At)
	MergeIn                // ranges.Conductor.Merge(Range, Other)
)

// Action is one thing to do. What the log refuses is asked for again as long as it is due.
type Action struct {
	Do       Do
	Step     int // from 0 on; -1: no step's
	Range    cluster.RangeID
	From, To cluster.MemberID
	Move     shardmap.MoveID
	Stand    Stand
	Why      string
	At       cluster.KeyHash // SplitOff
	Other    cluster.RangeID // MergeIn
}

// Wait says why a step has not begun.
type Wait struct {
	Step int
	Why  string
}

// Turnout is what Next found.
type Turnout struct {
	Actions  []Action
	Waits    []Wait
	Finished bool // all that shall be is, or the plan was stopped and nothing is under way
}

// look is one call of Next.
type look struct {
	*Progress
	file   *File
	seen   Seen
	stands []Stand // as they are by the map, noted or not
	ranges map[cluster.RangeID]*shardmap.Range
	whole  map[cluster.RangeID]bool // those that count in a member's room
	left   map[shardmap.MoveID]bool
	wanted map[shardmap.MoveID]bool // by a step
	backs  map[shardmap.MoveID]bool // told already
	out    Turnout

	members map[cluster.MemberID]*Member
	used    map[cluster.MemberID]int // places
	undone  []int                    // steps by rule
	busy    busy
}

// Next tells what has to be done now by the log, the map of ranges and what the conductor sees. f is the
// running plan's file, as Progress.File reads it. It keeps nothing: whoever conducts next goes on from the
// same.
func (p *Progress) Next(f *File, m *shardmap.Map, s Seen) Turnout {
	if p.Number == 0 {
		return Turnout{Finished: true}
	}
	l := &look{Progress: p, file: f, seen: s, stands: append([]Stand(nil), p.Stands...),
		ranges: map[cluster.RangeID]*shardmap.Range{}, left: map[shardmap.MoveID]bool{}, wanted: map[shardmap.MoveID]bool{},
		backs: map[shardmap.MoveID]bool{}, members: map[cluster.MemberID]*Member{}}
	for i := range f.Members {
		l.members[f.Members[i].ID] = &f.Members[i]
	}
	l.whole = map[cluster.RangeID]bool{}
	for i, head := range heads(m.Ranges) {
		l.ranges[m.Ranges[i].ID], l.whole[m.Ranges[i].ID] = &m.Ranges[i], head == i
	}
	for _, v := range m.Left {
		l.left[v.ID] = true
	}
	why := ""
	for k := range p.Steps {
		if text := l.judge(k); text != "" && why == "" {
			why = text
		}
	}
	l.unwanted(m)
	switch harm := f.StopWhen.harm(s.Harm); {
	case p.Stopped != "":
		l.backAll(m, "the plan is stopped: "+p.Stopped)
	case harm != "":
		l.add(Action{Do: GiveUp, Step: -1, Why: harm})
		l.backAll(m, harm)
	case why != "":
		l.add(Action{Do: Replan, Step: -1, Why: why})
	default:
		l.starts(m)
	}
	l.out.Finished = l.finished(m)
	return l.out
}

func (l *look) add(a Action) { l.out.Actions = append(l.out.Actions, a) }

func (l *look) note(k int, stand Stand, move shardmap.MoveID) {
	l.stands[k] = stand
	if l.Stands[k] != stand {
		s := l.Steps[k]
		l.add(Action{Do: TakeOn, Step: k, Range: s.Range, From: s.From, To: s.To, Move: move, Stand: stand})
	}
}

// judge brings a step and the map together. A text says why the steps can't go on from where the ranges are.
func (l *look) judge(k int) string {
	s, r := l.Steps[k], l.ranges[l.Steps[k].Range]
	if l.stands[k] == Through {
		return ""
	}
	if s.Range == 0 { // of a home that was lost: only to be cleared
		if !l.left[s.Move] {
			l.note(k, Through, s.Move)
		}
		return ""
	}
	if s.Way == Split || s.Way == Join {
		return l.reshape(k)
	}
	if slices.ContainsFunc(s.Needs, func(n Need) bool { return n.Why == Shape && l.stands[n.Step] != Through }) {
		return ""
	}
	if r == nil {
		return fmt.Sprintf("range %d was split or merged", s.Range)
	}
	elsewhere := fmt.Sprintf("step %d: range %d is on %q", k+1, s.Range, r.Home)
	if l.stands[k] == Begun {
		open := r.Move.Open() && r.Move.ID == s.Move
		switch {
		case open && s.Way == Back && r.Move.Step == shardmap.Switched:
			return elsewhere + " already"
		case open:
			l.wanted[s.Move] = true
			if s.Way == Back {
				l.back(k, r, "the plan wants it elsewhere")
			} else if l.gone(s.To) && r.Move.Step < shardmap.Switched {
				l.back(k, r, fmt.Sprintf("%q is not heard", s.To))
			}
		case s.Way == Back && r.Home == s.From, s.Way != Back && r.Home == s.To:
			l.note(k, Through, s.Move)
		case s.Way != Back && r.Home == s.From:
			l.note(k, Returned, s.Move)
		default:
			return elsewhere
		}
		return ""
	}
	for _, n := range s.Needs { // until then the range may be where an earlier step has it
		if n.Why == Same && l.stands[n.Step] != Through {
			return ""
		}
	}
	switch {
	case r.Home == s.From && r.Move.Open() && r.Move.From == s.From && r.Move.To == s.To:
		l.wanted[r.Move.ID] = true
		l.note(k, Begun, r.Move.ID)
	case r.Home == s.To && !r.Move.Open():
		l.note(k, Through, s.Move)
	case r.Home != s.From:
		return elsewhere
	}
	return ""
}

func (l *look) gone(m cluster.MemberID) bool { return l.seen.Gone != nil && l.seen.Gone(m) }

func (l *look) back(k int, r *shardmap.Range, why string) {
	if l.backs[r.Move.ID] {
		return
	}
	l.backs[r.Move.ID] = true
	l.add(Action{Do: GoBack, Step: k, Range: r.ID, From: r.Move.From, To: r.Move.To, Move: r.Move.ID, Why: why})
}

// unwanted sends back what a plan before this one began and this one doesn't know.
func (l *look) unwanted(m *shardmap.Map) {
	for i := range m.Ranges {
		if r := &m.Ranges[i]; r.Move.Open() && r.Move.Step < shardmap.Switched && !l.wanted[r.Move.ID] {
			l.back(-1, r, "no step of the plan wants it")
		}
	}
}

// backAll sends back all that has not switched.
func (l *look) backAll(m *shardmap.Map, why string) {
	for i := range m.Ranges {
		if r := &m.Ranges[i]; r.Move.Open() && r.Move.Step < shardmap.Switched && l.wanted[r.Move.ID] {
			l.back(-1, r, why)
		}
	}
	for k, s := range l.stands {
		if s == Waits || s == Returned {
			l.out.Waits = append(l.out.Waits, Wait{k, why})
		}
	}
}

func (l *look) finished(m *shardmap.Map) bool {
	for i := range m.Ranges {
		if m.Ranges[i].Move.Open() {
			return false
		}
	}
	for _, s := range l.stands {
		if s != Through && l.Stopped == "" {
			return false
		}
	}
	return true
}
