package rebalance

import (
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
)

// inFlight counts the moves in flight as the file's limits do.
type inFlight struct {
	moves     int
	perMember map[cluster.MemberID]int
	perZone   map[string]int
	value     float64
}

// startSteps starts all steps that may start, in order. The plan fixes which step frees the capacity that a step uses,
// so a step that may start never takes capacity from an earlier one that is blocked. Limits on all moves are reserved:
// once an earlier move is blocked by one, no later move starts, so that the earlier one can't be overtaken forever.
func (s *scheduler) startSteps(m *shardmap.Map) {
	s.countInFlight(m)
	s.countRemaining()
	reservedFor := "" // the limit on all moves that blocks an earlier step
	for step, v := range s.Steps {
		if s.states[step] != Pending && s.states[step] != RolledBack {
			continue
		}
		if v.Kind.reshapes() {
			s.startReshape(step)
			continue
		}
		reason := s.unmetCondition(v)
		if reason == "" {
			reason = reservedFor
		}
		if reason == "" {
			reason = s.exceededLocalLimit(v)
		}
		if reason == "" {
			reason = s.exceededGlobalLimit(v)
			if reason != "" && !s.exceedsValueByItself(v) {
				reservedFor = reason
			}
		}
		if reason != "" {
			s.block(step, reason)
			continue
		}
		s.countMove(v.Range, v.From, v.To)
		s.countOwned(v.Range, v.To)
		s.add(Action{Kind: ActionStart, Step: step, Range: v.Range, From: v.From, To: v.To})
	}
}

// startReshape starts a split or merge if that is possible now. As it moves no keys, no limit applies.
func (s *scheduler) startReshape(step int) {
	v := s.Steps[step]
	if first := s.firstOpenDependency(v); first != noStep {
		s.block(step, fmt.Sprintf("step %d has to be done first", first+1))
		return
	}
	for _, r := range []*shardmap.Range{s.ranges[v.Range], s.ranges[v.OtherRange]} {
		if r != nil && !r.IsStable() {
			s.block(step, fmt.Sprintf("%s has not confirmed yet that it owns range %d", r.Owner, r.ID))
			return
		}
	}
	kind := ActionSplit
	if v.Kind == StepMerge {
		kind = ActionMerge
	}
	s.add(Action{Kind: kind, Step: step, Range: v.Range, SplitKey: v.SplitKey, OtherRange: v.OtherRange})
}

// countInFlight counts the open moves of the map and the capacity in use. A range that moves uses capacity of its
// source and its target.
func (s *scheduler) countInFlight(m *shardmap.Map) {
	for i := range m.Ranges {
		r := &m.Ranges[i]
		s.countOwned(r.ID, r.Owner)
		if !r.Move.IsOpen() {
			continue
		}
		s.countMove(r.ID, r.Move.From, r.Move.To)
		if r.Owner == r.Move.From {
			s.countOwned(r.ID, r.Move.To)
		} else {
			s.countOwned(r.ID, r.Move.From)
		}
	}
	for _, detached := range m.DetachedMoves {
		s.owned[detached.From]++
	}
}

// countRemaining counts, by rule, the steps that aren't done.
func (s *scheduler) countRemaining() {
	for step, v := range s.Steps {
		for _, r := range v.Rules {
			if r < len(s.remaining) && s.states[step] != Done {
				s.remaining[r]++
			}
		}
	}
}

func (s *scheduler) countMove(id cluster.RangeID, from, to cluster.MemberID) {
	s.inFlight.moves++
	s.inFlight.perMember[from]++
	s.inFlight.perMember[to]++
	for _, zone := range s.zones(from, to) {
		s.inFlight.perZone[zone]++
	}
	s.inFlight.value += s.value(id)
}

// countOwned counts a range that uses capacity of a member. Split-off ranges use none.
func (s *scheduler) countOwned(id cluster.RangeID, m cluster.MemberID) {
	if s.isBase[id] {
		s.owned[m]++
	}
}

// zones returns the zones of a move's source and target, each once.
func (s *scheduler) zones(from, to cluster.MemberID) (zones []string) {
	for _, id := range [...]cluster.MemberID{from, to} {
		if m := s.members[id]; m != nil && !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	return zones
}

func (s *scheduler) value(id cluster.RangeID) float64 {
	if s.observations.RangeValue == nil {
		return 0
	}
	return s.observations.RangeValue(id)
}

// unmetCondition returns the condition of a step that is not met yet, or "".
func (s *scheduler) unmetCondition(v Step) string {
	if reason := s.unmetDependency(v); reason != "" {
		return reason
	}
	for _, r := range v.AfterRules {
		if r < len(s.remaining) && s.remaining[r] > 0 {
			rule := s.file.Rules[r]
			return fmt.Sprintf("%s %q (line %d) precedes it and has %d moves left", rule.Kind, rule.Name, rule.Line,
				s.remaining[r])
		}
	}
	r, target := s.ranges[v.Range], s.members[v.To]
	switch {
	case s.isGone(v.To):
		return fmt.Sprintf("%s has no session", v.To)
	case s.isGone(v.From):
		return fmt.Sprintf("%s has no session", v.From)
	case r.Move.IsOpen():
		return fmt.Sprintf("range %d is already moving", v.Range)
	case !r.IsStable():
		return fmt.Sprintf("%s has not confirmed yet that it owns range %d", r.Owner, v.Range)
	case target == nil:
		return fmt.Sprintf("%s is not in the file", v.To)
	case target.Capacity > 0 && s.isBase[v.Range] && s.owned[v.To] >= target.Capacity:
		return fmt.Sprintf("%s has no capacity yet", v.To)
	}
	return ""
}

// unmetDependency returns the first dependency of a step that isn't done, or "".
func (s *scheduler) unmetDependency(v Step) string {
	for _, d := range v.DependsOn {
		if s.states[d.Step] == Done {
			continue
		}
		switch d.Reason {
		case RangeBoundary:
			return fmt.Sprintf("range %d is split off by step %d first", v.Range, d.Step+1)
		case SameRange:
			return fmt.Sprintf("range %d moves by step %d first", v.Range, d.Step+1)
		default:
			return fmt.Sprintf("%s has no capacity until step %d is done", v.To, d.Step+1)
		}
	}
	return ""
}

// exceededLocalLimit returns the limit of a member or a zone that a step would exceed, or "".
func (s *scheduler) exceededLocalLimit(v Step) string {
	limits := s.file.Limits
	for _, id := range [...]cluster.MemberID{v.From, v.To} {
		if n := s.inFlight.perMember[id]; limits.MovesPerMember > 0 && n >= limits.MovesPerMember {
			return fmt.Sprintf("%s has %d moves, per_member is %d (line %d)", id, n, limits.MovesPerMember, limits.Line)
		}
	}
	for _, zone := range s.zones(v.From, v.To) {
		if n := s.inFlight.perZone[zone]; limits.MovesPerZone > 0 && n >= limits.MovesPerZone {
			return fmt.Sprintf("zone %q has %d moves, per_zone is %d (line %d)", zone, n, limits.MovesPerZone,
				limits.Line)
		}
	}
	return ""
}

// exceededGlobalLimit returns the limit on all moves that a step would exceed, or "".
func (s *scheduler) exceededGlobalLimit(v Step) string {
	limits, value := s.file.Limits, s.value(v.Range)
	switch {
	case s.inFlight.moves >= limits.ConcurrentMoves:
		return fmt.Sprintf("%d moves are in progress, moves_at_once is %d%s", s.inFlight.moves, limits.ConcurrentMoves,
			describeLine(limits.Line))
	case limits.ValueInFlight > 0 && s.inFlight.value+value > limits.ValueInFlight:
		return fmt.Sprintf("value %.4g in progress and %.4g of this move, value_under_way is %g (line %d)", s.inFlight.value,
			value, limits.ValueInFlight, limits.Line)
	case s.observations.SinceLastMove < limits.Cooldown:
		return fmt.Sprintf("the pause after the last move has not passed (line %d)", limits.Line)
	}
	return ""
}

// exceedsValueByItself reports whether a step would exceed the limit on value even if nothing else were in flight. Such
// a step may stay blocked for long, so it reserves nothing and later steps may start.
func (s *scheduler) exceedsValueByItself(v Step) bool {
	limit := s.file.Limits.ValueInFlight
	return limit > 0 && s.value(v.Range) > limit
}

func describeLine(line int) string {
	if line == 0 {
		return " by default"
	}
	return fmt.Sprintf(" (line %d)", line)
}
