package rollout

import (
	"time"

	"rowanlink/serving/state"
)

// Action is what a judge decides to do with a roll-out in progress.
type Action uint8

// The actions.
const (
	Hold Action = iota // nothing yet
	Advance
	Promote
	RollBack
)

// Decision is an action with what it rests on.
type Decision struct {
	Action  Action
	Verdict state.RolloutVerdict
	Spread  Spread // of the target's endpoints
}

// Capacity is the number of a service's endpoints that accept requests and respond.
type Capacity struct {
	Target   int
	WarmedUp int // of those of the target
	Baseline int
}

// minCapacityShare is the share of the baseline's endpoints that the target must have warmed up to get all requests.
const minCapacityShare = 0.5

// suffices reports whether the target may get all requests.
func (c Capacity) suffices() bool {
	return c.WarmedUp > 0 && float64(c.WarmedUp) >= minCapacityShare*float64(c.Baseline)
}

// Judge decides on the roll-outs in progress. Each core member has one and lets it follow the committed record, also
// while another member acts: a judge measures the time since it has first seen a roll-out. It isn't safe for concurrent
// use.
type Judge struct {
	cases map[uint64]*judgedRollout // by OrderRevision
}

// judgedRollout is what a judge knows of one roll-out.
type judgedRollout struct {
	rollout   state.Rollout
	orderedAt time.Time // at the latest
	changedAt time.Time // when the judge has seen the newest change
	evidence  *evidence
	// answersBefore is the number of the target's answers that were known when the step began.
	answersBefore int
}

// NewJudge returns a judge that knows of no roll-out.
func NewJudge() *Judge { return &Judge{cases: map[uint64]*judgedRollout{}} }

// Follow takes the roll-outs of a newer record. Those that have ended are remembered until the service's next one.
func (j *Judge) Follow(now time.Time, rollouts []state.Rollout) {
	current := map[uint64]bool{}
	for _, rollout := range rollouts {
		current[rollout.OrderRevision] = true
		elapsed := time.Duration(rollout.ElapsedMillis) * time.Millisecond
		known := j.cases[rollout.OrderRevision]
		switch {
		case known == nil:
			j.cases[rollout.OrderRevision] = &judgedRollout{
				rollout:   rollout,
				orderedAt: now.Add(-elapsed),
				changedAt: now,
				evidence:  newEvidence(),
			}
		case rollout.Revision > known.rollout.Revision:
			known.rollout = rollout
			known.changedAt = now
			known.answersBefore = known.evidence.route(allRoutes).target.Answers
			if earlier := now.Add(-elapsed); earlier.Before(known.orderedAt) {
				known.orderedAt = earlier
			}
		}
	}
	for revision := range j.cases {
		if !current[revision] {
			delete(j.cases, revision)
		}
	}
}

// Elapsed returns the time since the order of a roll-out, at least; zero for one that the judge doesn't know.
func (j *Judge) Elapsed(now time.Time, orderRevision uint64) time.Duration {
	known := j.cases[orderRevision]
	if known == nil {
		return 0
	}
	return now.Sub(known.orderedAt)
}

// AddReport takes a proxy's report and reports whether the roll-out is known and in progress, so that the proxy may go on
// with it.
func (j *Judge) AddReport(observer string, report state.RolloutReport) (inProgress bool) {
	known := j.cases[report.OrderRevision]
	if known == nil || known.rollout.State != state.RolloutInProgress {
		return false
	}
	known.evidence.add(observer, report)
	return true
}

// Decide decides on a roll-out, by its OrderRevision.
func (j *Judge) Decide(now time.Time, orderRevision uint64, capacity Capacity) Decision {
	known := j.cases[orderRevision]
	if known == nil || known.rollout.State != state.RolloutInProgress {
		return Decision{}
	}
	verdict := known.evidence.verdict(capacity.Target)
	if verdict.Reason != state.RolloutNoReason {
		return Decision{Action: RollBack, Verdict: verdict, Spread: known.evidence.spread()}
	}
	elapsed := now.Sub(known.orderedAt)
	times := newSchedule(time.Duration(known.rollout.DurationMillis) * time.Millisecond)
	suspicion := known.evidence.suspicion(times.suspicionShare(elapsed))
	if capacity.suffices() && suspicion == state.RolloutNoReason {
		if action := known.scheduledAction(elapsed, now.Sub(known.changedAt), times); action != Hold {
			return Decision{Action: action, Verdict: verdict, Spread: known.evidence.spread()}
		}
	}
	if elapsed < times.rollBackBy {
		return Decision{}
	}
	verdict.Reason = undecidedReason(capacity, suspicion)
	if verdict.Reason == state.RolloutUnobservable && known.hasServedAll() {
		verdict.Reason = state.RolloutNoReason
		return Decision{Action: Promote, Verdict: verdict, Spread: known.evidence.spread()}
	}
	return Decision{Action: RollBack, Verdict: verdict, Spread: known.evidence.spread()}
}

// undecidedReason returns why a roll-out couldn't be promoted in time.
func undecidedReason(capacity Capacity, suspicion state.RolloutReason) state.RolloutReason {
	switch {
	case !capacity.suffices():
		return state.RolloutNoEndpoints
	case suspicion != state.RolloutNoReason:
		return suspicion
	default:
		return state.RolloutUnobservable
	}
}

// hasServedAll reports whether the target gets all requests, and has answered some if there were any.
func (k *judgedRollout) hasServedAll() bool {
	all := k.evidence.route(allRoutes)
	return k.rollout.Step == state.RolloutFull && (all.target.Answers > 0 || all.baseline.Answers == 0)
}

// scheduledAction returns what the schedule demands of a roll-out that has shown nothing bad.
func (k *judgedRollout) scheduledAction(elapsed, inStep time.Duration, times schedule) Action {
	answers := k.evidence.route(allRoutes).target.Answers
	switch k.rollout.Step {
	case state.RolloutCanary:
		if elapsed >= times.loadAt {
			return Advance
		}
	case state.RolloutLoad:
		if elapsed >= times.rampAt {
			return Advance
		}
	case state.RolloutRamp:
		isSeen := inStep >= min(minRampTime, times.rampTime) && answers-k.answersBefore >= rampAnswers
		if isSeen || inStep >= times.rampTime {
			return Advance
		}
	case state.RolloutFull:
		drained := len(k.evidence.reports) > 0 && k.evidence.baselineInFlight() == 0
		due := drained || elapsed >= times.promoteBy
		if inStep >= times.fullTime && due && k.hasServedAll() {
			return Promote
		}
	}
	return Hold
}
