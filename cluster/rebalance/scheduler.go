package rebalance

import (
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// Observations is the coordinator's input to Schedule that is not in the raft log.
type Observations struct {
	IsGone        func(cluster.MemberID) bool   // whether a member has no session; nil: all members have one
	RangeValue    func(cluster.RangeID) float64 // value of the webhooks delivered in a range; nil: 0
	Impact        Impact
	SinceLastMove api.Micros // since the last move ended or, if later, this member became coordinator
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions, and the command or function for each.
const (
	ActionStart       ActionKind = iota + 1 // shardmap.Coordinator.PlanMove(Range, From, To)
	ActionRollBack                          // shardmap.Coordinator.RevertMove(Move)
	ActionRecordState                       // Coordinator.RecordState(number, Step, State, Move)
	ActionStop                              // Coordinator.Stop(number, Reason)
	ActionReplan                            // NewPlan with the same file and the current map, then Coordinator.Adopt
	ActionSplit                             // shardmap.Coordinator.Split(Range, SplitKey)
	ActionMerge                             // shardmap.Coordinator.Merge(Range, OtherRange)
)

// Action is one action that the coordinator has to take. If its command is rejected, Schedule returns it again as long
// as it is due.
type Action struct {
	Kind       ActionKind
	Step       int // index; noStep: the action belongs to no step
	Range      cluster.RangeID
	From, To   cluster.MemberID
	Move       shardmap.MoveID
	State      StepState
	Reason     string
	SplitKey   cluster.KeyHash // of ActionSplit
	OtherRange cluster.RangeID // of ActionMerge
}

// noStep stands for "no step" where the index of a step is optional.
const noStep = -1

// BlockedStep is a step that can't start yet, and the reason.
type BlockedStep struct {
	Step   int
	Reason string
}

// Decisions is the result of Schedule: what the coordinator has to do now, and what can't be done yet.
type Decisions struct {
	Actions  []Action
	Blocked  []BlockedStep
	Finished bool // all steps are done, or the plan was stopped and nothing is in flight
}

// scheduler is the state of one call of Schedule.
type scheduler struct {
	*Progress
	file         *planfile.File
	observations Observations
	decisions    Decisions

	states     []StepState // by step, as the map shows it, whether recorded or not
	ranges     map[cluster.RangeID]*shardmap.Range
	isBase     map[cluster.RangeID]bool // whether a range uses capacity of its member (it was not split off)
	detached   map[shardmap.MoveID]bool // the map's detached moves, which have to be cleared
	wanted     map[shardmap.MoveID]bool // open moves that belong to a step of the plan
	rolledBack map[shardmap.MoveID]bool // moves with an ActionRollBack

	members   map[cluster.MemberID]*planfile.Member
	owned     map[cluster.MemberID]int // ranges that use its capacity; a range that moves uses that of both sides
	remaining []int                    // by rule, steps that aren't done
	inFlight  inFlight
}

// Schedule computes what has to be done now from the plan's progress, the shard map and the coordinator's observations.
// f is the running plan's file, as File returns it. Schedule changes nothing, so that the next coordinator resumes from
// the same state.
func (p *Progress) Schedule(f *planfile.File, m *shardmap.Map, o Observations) Decisions {
	if p.Number == 0 {
		return Decisions{Finished: true}
	}
	s := p.newScheduler(f, m, o)
	replanReason := s.reconcileSteps()
	s.rollBackUnwanted(m)
	stopReason := degradation(f.StopConditions, o.Impact)
	switch {
	case p.StopReason != "":
		s.rollBackAll(m, "the plan is stopped: "+p.StopReason)
	case stopReason != "":
		s.add(Action{Kind: ActionStop, Step: noStep, Reason: stopReason})
		s.rollBackAll(m, stopReason)
	case replanReason != "":
		s.add(Action{Kind: ActionReplan, Step: noStep, Reason: replanReason})
	default:
		s.startSteps(m)
	}
	s.decisions.Finished = s.isFinished(m)
	return s.decisions
}

func (p *Progress) newScheduler(f *planfile.File, m *shardmap.Map, o Observations) *scheduler {
	s := &scheduler{
		Progress:     p,
		file:         f,
		observations: o,
		states:       slices.Clone(p.States),
		ranges:       map[cluster.RangeID]*shardmap.Range{},
		isBase:       map[cluster.RangeID]bool{},
		detached:     map[shardmap.MoveID]bool{},
		wanted:       map[shardmap.MoveID]bool{},
		rolledBack:   map[shardmap.MoveID]bool{},
		members:      map[cluster.MemberID]*planfile.Member{},
		owned:        map[cluster.MemberID]int{},
		remaining:    make([]int, len(f.Rules)),
		inFlight:     inFlight{perMember: map[cluster.MemberID]int{}, perZone: map[string]int{}},
	}
	for i := range f.Members {
		s.members[f.Members[i].ID] = &f.Members[i]
	}
	for i, base := range baseIndexes(m.Ranges) {
		r := &m.Ranges[i]
		s.ranges[r.ID] = r
		s.isBase[r.ID] = base == i
	}
	for _, move := range m.DetachedMoves {
		s.detached[move.ID] = true
	}
	return s
}

func (s *scheduler) add(a Action) { s.decisions.Actions = append(s.decisions.Actions, a) }

func (s *scheduler) block(step int, reason string) {
	s.decisions.Blocked = append(s.decisions.Blocked, BlockedStep{Step: step, Reason: reason})
}

// setState sets a step's state and, if the raft log doesn't have that state yet, adds the action that records it.
func (s *scheduler) setState(step int, state StepState, move shardmap.MoveID) {
	s.states[step] = state
	if s.States[step] == state {
		return
	}
	v := s.Steps[step]
	s.add(Action{
		Kind:  ActionRecordState,
		Step:  step,
		Range: v.Range,
		From:  v.From,
		To:    v.To,
		Move:  move,
		State: state,
	})
}

func (s *scheduler) isGone(m cluster.MemberID) bool {
	return s.observations.IsGone != nil && s.observations.IsGone(m)
}

func (s *scheduler) rollBack(step int, r *shardmap.Range, reason string) {
	if s.rolledBack[r.Move.ID] {
		return
	}
	s.rolledBack[r.Move.ID] = true
	s.add(Action{
		Kind:   ActionRollBack,
		Step:   step,
		Range:  r.ID,
		From:   r.Move.From,
		To:     r.Move.To,
		Move:   r.Move.ID,
		Reason: reason,
	})
}

// rollBackUnwanted rolls back the moves of an earlier plan that no step of this one continues.
func (s *scheduler) rollBackUnwanted(m *shardmap.Map) {
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if canRollBack(r.Move) && !s.wanted[r.Move.ID] {
			s.rollBack(noStep, r, "the move belongs to no step of the plan")
		}
	}
}

// rollBackAll rolls back all moves of the plan that haven't switched, and blocks the steps that haven't started.
func (s *scheduler) rollBackAll(m *shardmap.Map, reason string) {
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if canRollBack(r.Move) && s.wanted[r.Move.ID] {
			s.rollBack(noStep, r, reason)
		}
	}
	for step, state := range s.states {
		if state == Pending || state == RolledBack {
			s.block(step, reason)
		}
	}
}

func (s *scheduler) isFinished(m *shardmap.Map) bool {
	for i := range m.Ranges {
		if m.Ranges[i].Move.IsOpen() {
			return false
		}
	}
	if s.StopReason != "" {
		return true
	}
	return !slices.ContainsFunc(s.states, func(state StepState) bool { return state != Done })
}
