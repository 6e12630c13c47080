package rollout

import (
	"time"

	"rowanlink/serving/state"
)

// Action is what to do with a roll-out in progress.
type Action uint8

// The actions.
const (
	Hold     Action = iota // no change for now
	Advance                // to the next step
	Promote                // ends the roll-out: the target replaces the baseline
	RollBack               // ends the roll-out: the target gets no requests any more
)

// Decision is an action and the evidence for it.
type Decision struct {
	Action      Action
	Verdict     state.RolloutVerdict
	FaultSpread FaultSpread // how far bad answers are spread over the target's endpoints
}

// Capacity has the numbers of a service's endpoints that accept requests and respond.
type Capacity struct {
	Target         int // endpoints of the target
	TargetWarmedUp int // endpoints of the target that have warmed up
	Baseline       int // endpoints of the versions in force
}

// minCapacityShare is the least ratio of the target's warmed-up endpoints to the baseline's endpoints with which the
// target may get all requests.
const minCapacityShare = 0.5

// suffices reports whether the target has enough warmed-up endpoints to get all requests.
func (c Capacity) suffices() bool {
	return c.TargetWarmedUp > 0 && float64(c.TargetWarmedUp) >= minCapacityShare*float64(c.Baseline)
}

// Judge decides on the roll-outs in progress. Each core member has a judge and passes it the committed records with
// Follow, also while another member decides: a judge measures a roll-out's time from the moment at which it first saw the
// roll-out, so a judge that followed from the beginning knows the time when its member takes over. It isn't safe for
// concurrent use.
type Judge struct {
	rollouts map[uint64]*judgedRollout // by OrderRevision
}

// judgedRollout is a roll-out as a judge knows it.
type judgedRollout struct {
	rollout   state.Rollout
	orderedAt time.Time // the latest time at which the order can have been given
	changedAt time.Time // when the judge saw the newest change
	evidence  *evidence
	// answersAtStepStart is the number of the target's answers that had been reported when the current step began.
	answersAtStepStart int
}

// NewJudge returns a judge that knows no roll-outs.
func NewJudge() *Judge { return &Judge{rollouts: map[uint64]*judgedRollout{}} }

// Follow updates the judge with the roll-outs of a newer record. It forgets roll-outs that the record no longer has. One
// that has ended stays in the record until the service's next one.
func (j *Judge) Follow(now time.Time, rollouts []state.Rollout) {
	current := map[uint64]bool{}
	for _, rollout := range rollouts {
		current[rollout.OrderRevision] = true
		elapsed := time.Duration(rollout.ElapsedMillis) * time.Millisecond
		known := j.rollouts[rollout.OrderRevision]
		switch {
		case known == nil:
			j.rollouts[rollout.OrderRevision] = &judgedRollout{
				rollout:   rollout,
				orderedAt: now.Add(-elapsed),
				changedAt: now,
				evidence:  newEvidence(),
			}
		case rollout.Revision > known.rollout.Revision:
			known.rollout = rollout
			known.changedAt = now
			known.answersAtStepStart = known.evidence.route(allRoutes).target.Answers
			if earlier := now.Add(-elapsed); earlier.Before(known.orderedAt) {
				known.orderedAt = earlier
			}
		}
	}
	for revision := range j.rollouts {
		if !current[revision] {
			delete(j.rollouts, revision)
		}
	}
}

// Elapsed returns the least time that can have passed since a roll-out was ordered. It returns zero for a roll-out that the
// judge doesn't know.
func (j *Judge) Elapsed(now time.Time, orderRevision uint64) time.Duration {
	known := j.rollouts[orderRevision]
	if known == nil {
		return 0
	}
	return now.Sub(known.orderedAt)
}

// AddReport adds a proxy's report to the evidence. It returns whether the roll-out is known and in progress, so that the
// proxy may go on sending requests to the target.
func (j *Judge) AddReport(observer string, report state.RolloutReport) (inProgress bool) {
	known := j.rollouts[report.OrderRevision]
	if known == nil || known.rollout.State != state.RolloutInProgress {
		return false
	}
	known.evidence.add(observer, report)
	return true
}

// Decide returns what to do with the roll-out that has the given OrderRevision. It rolls the target back if the
// evidence shows that its answers are worse. Otherwise it returns the action that is due by the schedule, or Hold while
// the target has too few warmed-up endpoints or the evidence gives a reason to hold. A roll-out that is still undecided
// near the end of its duration is rolled back, unless the target already serves all requests and nothing speaks against
// it: then it is promoted.
func (j *Judge) Decide(now time.Time, orderRevision uint64, capacity Capacity) Decision {
	known := j.rollouts[orderRevision]
	if known == nil || known.rollout.State != state.RolloutInProgress {
		return Decision{}
	}
	verdict := known.evidence.verdict(capacity.Target)
	if verdict.Reason != state.RolloutNoReason {
		return Decision{Action: RollBack, Verdict: verdict, FaultSpread: known.evidence.spread()}
	}
	elapsed := now.Sub(known.orderedAt)
	times := newSchedule(time.Duration(known.rollout.DurationMillis) * time.Millisecond)
	holdReason := known.evidence.holdReason(times.holdShare(elapsed))
	if capacity.suffices() && holdReason == state.RolloutNoReason {
		if action := known.scheduledAction(elapsed, now.Sub(known.changedAt), times); action != Hold {
			return Decision{Action: action, Verdict: verdict, FaultSpread: known.evidence.spread()}
		}
	}
	if elapsed < times.rollBackBy {
		return Decision{}
	}
	verdict.Reason = undecidedReason(capacity, holdReason)
	if verdict.Reason == state.RolloutUnobservable && known.hasServedAll() {
		// The roll-out was held for so long that the full step is shorter than planned, but nothing speaks against it.
		verdict.Reason = state.RolloutNoReason
		return Decision{Action: Promote, Verdict: verdict, FaultSpread: known.evidence.spread()}
	}
	return Decision{Action: RollBack, Verdict: verdict, FaultSpread: known.evidence.spread()}
}

// undecidedReason returns why a roll-out could be neither promoted nor rolled back by evidence in time.
func undecidedReason(capacity Capacity, holdReason state.RolloutReason) state.RolloutReason {
	switch {
	case !capacity.suffices():
		return state.RolloutNoEndpoints
	case holdReason != state.RolloutNoReason:
		return holdReason
	default:
		return state.RolloutUnobservable
	}
}

// hasServedAll reports whether the target gets all requests and has answered at least one. If neither the target nor
// the baseline has answered any, no answer is needed.
func (k *judgedRollout) hasServedAll() bool {
	all := k.evidence.route(allRoutes)
	return k.rollout.Step == state.RolloutFull && (all.target.Answers > 0 || all.baseline.Answers == 0)
}

// scheduledAction returns the action that is due by the schedule if nothing in the evidence holds the roll-out. elapsed is
// the time since the order, inStep the time since the current step began.
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
		mayEndEarly := inStep >= min(minRampTime, times.rampTime) && answers-k.answersAtStepStart >= earlyEndAnswers
		if mayEndEarly || inStep >= times.rampTime {
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
