package rebalance

import (
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
)

// busy is what is under way, as bounds count it.
type busy struct {
	moves  int
	member map[cluster.MemberID]int
	zone   map[string]int
	value  float64
}

// zones is the zones that a move has a side in.
func (l *look) zones(from, to cluster.MemberID) (all []string) {
	for _, id := range [...]cluster.MemberID{from, to} {
		if m := l.members[id]; m != nil && !slices.Contains(all, m.Zone) {
			all = append(all, m.Zone)
		}
	}
	return all
}

func (l *look) value(id cluster.RangeID) float64 {
	if l.seen.RangeValue == nil {
		return 0
	}
	return l.seen.RangeValue(id)
}

// takes counts a place at a member, for a range that takes one.
func (l *look) takes(id cluster.RangeID, m cluster.MemberID) {
	if l.whole[id] {
		l.used[m]++
	}
}

// begin counts a move as under way, and its place at the target as taken.
func (l *look) begin(id cluster.RangeID, from, to cluster.MemberID) {
	l.busy.moves++
	l.busy.member[from]++
	l.busy.member[to]++
	for _, z := range l.zones(from, to) {
		l.busy.zone[z]++
	}
	l.busy.value += l.value(id)
}

// starts begins each step that may begin, in their order. Which place a step takes is fixed, so one that may
// begin takes nothing that an earlier one counts on; only bounds on all moves are kept free for the earlier
// one.
func (l *look) starts(m *shardmap.Map) {
	l.busy = busy{member: map[cluster.MemberID]int{}, zone: map[string]int{}}
	l.used, l.undone = map[cluster.MemberID]int{}, make([]int, len(l.file.Rules))
	for i := range m.Ranges {
		r := &m.Ranges[i]
		l.takes(r.ID, r.Owner)
		if r.Move.IsOpen() {
			if l.begin(r.ID, r.Move.From, r.Move.To); r.Owner == r.Move.From {
				l.takes(r.ID, r.Move.To)
			} else {
				l.takes(r.ID, r.Move.From)
			}
		}
	}
	for _, v := range m.DetachedMoves {
		l.used[v.From]++
	}
	for k, s := range l.Steps {
		for _, r := range s.Rules {
			if r < len(l.undone) && l.stands[k] != Done {
				l.undone[r]++
			}
		}
	}
	held := "" // a bound on all moves that an earlier step waits for
	for k, s := range l.Steps {
		if l.stands[k] != Pending && l.stands[k] != RolledBack {
			continue
		}
		if s.Kind == StepSplit || s.Kind == StepMerge {
			l.shapes(k)
			continue
		}
		why := l.waits(s)
		if why == "" && held != "" {
			why = held
		}
		if why == "" {
			why = l.bound(s)
		}
		if why == "" {
			most := l.file.Limits.ValueInFlight
			if why = l.bounds(s); why != "" && !(most > 0 && l.value(s.Range) > most) {
				held = why // one that is over the bound by itself doesn't hold up the others
			}
		}
		if why != "" {
			l.out.Blocked = append(l.out.Blocked, BlockedStep{k, why})
			continue
		}
		l.begin(s.Range, s.From, s.To)
		l.takes(s.Range, s.To)
		l.add(Action{Kind: ActionStart, Step: k, Range: s.Range, From: s.From, To: s.To})
	}
}

// waits says what has to happen before a step.
func (l *look) waits(s Step) string {
	for _, n := range s.DependsOn {
		switch {
		case l.stands[n.Step] == Done:
		case n.Reason == RangeBoundary:
			return fmt.Sprintf("range %d is split off by step %d first", s.Range, n.Step+1)
		case n.Reason == SameRange:
			return fmt.Sprintf("range %d moves by step %d first", s.Range, n.Step+1)
		default:
			return fmt.Sprintf("%s has no room until step %d is through", s.To, n.Step+1)
		}
	}
	for _, r := range s.AfterRules {
		if r < len(l.undone) && l.undone[r] > 0 {
			rule := l.file.Rules[r]
			return fmt.Sprintf("%s %q (line %d) goes first and has %d moves left", rule.Kind, rule.Name, rule.Line,
				l.undone[r])
		}
	}
	r, to := l.ranges[s.Range], l.members[s.To]
	switch {
	case l.gone(s.To):
		return fmt.Sprintf("%s is not heard", s.To)
	case l.gone(s.From):
		return fmt.Sprintf("%s is not heard", s.From)
	case r.Move.IsOpen():
		return fmt.Sprintf("range %d moves already", s.Range)
	case !r.IsStable():
		return fmt.Sprintf("%s has yet to say that it serves range %d", r.Owner, s.Range)
	case to == nil:
		return fmt.Sprintf("%s is not in the file", s.To)
	case to.Capacity > 0 && l.whole[s.Range] && l.used[s.To] >= to.Capacity:
		return fmt.Sprintf("%s has no room yet", s.To)
	}
	return ""
}

// bound says which bound on a member or a zone a step would pass.
func (l *look) bound(s Step) string {
	b := l.file.Limits
	for _, id := range [...]cluster.MemberID{s.From, s.To} {
		if b.MovesPerMember > 0 && l.busy.member[id] >= b.MovesPerMember {
			return fmt.Sprintf("%s has %d moves, per_member is %d (line %d)", id, l.busy.member[id], b.MovesPerMember,
				b.Line)
		}
	}
	for _, z := range l.zones(s.From, s.To) {
		if b.MovesPerZone > 0 && l.busy.zone[z] >= b.MovesPerZone {
			return fmt.Sprintf("zone %q has %d moves, per_zone is %d (line %d)", z, l.busy.zone[z], b.MovesPerZone, b.Line)
		}
	}
	return ""
}

// bounds says which bound on all moves a step would pass.
func (l *look) bounds(s Step) string {
	b, v := l.file.Limits, l.value(s.Range)
	switch {
	case l.busy.moves >= b.ConcurrentMoves:
		return fmt.Sprintf("%d moves are under way, moves_at_once is %d%s", l.busy.moves, b.ConcurrentMoves,
			inLine(b.Line))
	case b.ValueInFlight > 0 && l.busy.value+v > b.ValueInFlight:
		return fmt.Sprintf("value %.4g under way and %.4g here, value_under_way is %g (line %d)", l.busy.value, v,
			b.ValueInFlight,
			b.Line)
	case l.seen.SinceLastMove < b.Cooldown:
		return fmt.Sprintf("the pause after the last move is not over (line %d)", b.Line)
	}
	return ""
}

func inLine(line int) string {
	if line == 0 {
		return " where the file says nothing"
	}
	return fmt.Sprintf(" (line %d)", line)
}
