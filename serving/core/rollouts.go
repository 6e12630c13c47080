package core

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/event"
	"rowanlink/serving/operator"
	"rowanlink/serving/register"
	"rowanlink/serving/rollout"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
)

const (
	// rolloutInterval is the time between two periodic decisions on the roll-outs in progress. A report of bad answers
	// triggers a decision at once.
	rolloutInterval = 250 * time.Millisecond
	// rolloutProposalTimeout bounds the proposal of a transition to the register.
	rolloutProposalTimeout = 2 * time.Second
	// leaseShareOfRollback is the duration of a lease as a share of rolloutBounds.rollback. Agents renew leases each
	// second.
	leaseShareOfRollback = 0.5
	// recentOrderFactor sets the time within which an equal order counts as a retry of the first one:
	// recentOrderFactor*rolloutBounds.acknowledgement.
	recentOrderFactor = 3
)

// rolloutController carries out the roll-outs in the committed record. The core member with the singleton role
// rollout.JudgeRole collects the proxies' reports, renews their leases, and proposes the transitions that its judge
// decides on to the register. The judges of the other core members follow the committed record, so that each of them
// can take over.
type rolloutController struct {
	latest    func() (state.Record, bool)
	change    func(ctx context.Context, update register.Update) (state.Record, error)
	hasRole   func() bool
	hasQuorum func() bool
	live      func() []state.Endpoint
	bounds    rolloutBounds
	log       *zerolog.Logger
	wake      chan struct{} // receives a value when bad answers are reported

	mutex sync.Mutex
	judge *rollout.Judge
	// rollingBack has the OrderRevision of each roll-out whose rollback was decided. These get no more leases, even
	// before the decision is committed.
	rollingBack map[uint64]bool
}

// rolloutBounds has the service levels from the settings that the controller uses.
type rolloutBounds struct {
	acknowledgement time.Duration // within which an operator's order is acknowledged
	rollback        time.Duration // within which requests to a bad version must cease
}

// startRollouts starts the controller, which proposes its changes to the given register. It also adds the handlers of
// the agents' reports and of serveSupport to the internal server.
func (c *coreProcess) startRollouts(lifetime context.Context, replicated operator.ReplicatedRegister) {
	c.rollouts = &rolloutController{
		latest: c.node.Latest,
		change: replicated.Change,
		hasRole: func() bool {
			return c.members.AcquireRole(rollout.JudgeRole, singleton.Scope{Role: state.RoleCore}).Local
		},
		hasQuorum: c.quorum.HasQuorum,
		live:      c.endpoints.Table().Live,
		bounds: rolloutBounds{
			acknowledgement: c.options.Settings.Bounds.Acknowledgement,
			rollback:        c.options.Settings.Bounds.Rollback,
		},
		log:         c.options.Log,
		wake:        make(chan struct{}, 1),
		judge:       rollout.NewJudge(),
		rollingBack: map[uint64]bool{},
	}
	c.rollouts.serve(c.internal)
	serveSupport(c.internal)
	go c.rollouts.run(lifetime)
}

// serve adds the handler of the agents' reports.
func (r *rolloutController) serve(mux *http.ServeMux) {
	rollout.ReportMethod.Serve(mux, func(_ context.Context, request *rollout.ReportRequest) (*rollout.ReportResponse, error) {
		return r.report(time.Now(), request), nil
	})
}

// report passes an agent's reports to the judge and returns leases for its proxy. It grants leases only while this
// member has the singleton role and contact with a majority of the voters: without a majority it couldn't stop a
// roll-out.
func (r *rolloutController) report(now time.Time, request *rollout.ReportRequest) *rollout.ReportResponse {
	response := &rollout.ReportResponse{}
	mayGrant := r.hasQuorum() && r.hasRole()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.follow(now)
	for _, report := range request.Reports {
		inProgress := r.judge.AddReport(request.Observer, report)
		if inProgress && mayGrant && !r.rollingBack[report.OrderRevision] {
			response.Leases = append(response.Leases, state.RolloutLease{
				OrderRevision: report.OrderRevision,
				Millis:        int64(leaseShareOfRollback * float64(r.bounds.rollback.Milliseconds())),
			})
		}
		if slices.ContainsFunc(report.Endpoints, func(e state.EndpointCounts) bool { return e.Bad > 0 }) {
			r.signal()
		}
	}
	return response
}

// signal wakes run. It doesn't block.
func (r *rolloutController) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// follow updates the judge with the roll-outs of the newest committed record known to this member, and returns them.
// The caller holds the mutex.
func (r *rolloutController) follow(now time.Time) []state.Rollout {
	record, known := r.latest()
	if !known {
		return nil
	}
	r.judge.Follow(now, record.Rollouts)
	return record.Rollouts
}

// isRecent reports whether a roll-out was ordered so recently that an equal order may be a retry of the same one. It
// returns true for a roll-out that the judge doesn't know.
func (r *rolloutController) isRecent(orderRevision uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	r.follow(now)
	return r.judge.Elapsed(now, orderRevision) < recentOrderFactor*r.bounds.acknowledgement
}

// run carries out the roll-outs until the context ends.
func (r *rolloutController) run(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wake:
		}
		r.mutex.Lock()
		rollouts := r.follow(time.Now())
		r.mutex.Unlock()
		for _, current := range rollouts {
			if current.State == state.RolloutInProgress {
				r.carryOut(ctx, current)
			}
		}
	}
}

// carryOut decides on a roll-out in progress and proposes the transition that is due, if any. It does nothing unless
// this member has the singleton role and contact with a majority of the voters.
func (r *rolloutController) carryOut(ctx context.Context, current state.Rollout) {
	if !r.hasRole() || !r.hasQuorum() {
		return
	}
	capacity, versions := capacityOf(r.live(), &current)
	now := time.Now()
	r.mutex.Lock()
	decision := r.judge.Decide(now, current.OrderRevision, capacity)
	elapsed := r.judge.Elapsed(now, current.OrderRevision)
	if decision.Action == rollout.RollBack {
		r.rollingBack[current.OrderRevision] = true
	}
	r.mutex.Unlock()
	if decision.Action == rollout.Hold {
		return
	}
	logVerdict(event.RolloutVerdict.Log(r.log), &current, decision.Verdict).
		Int("action", int(decision.Action)).
		Dur("elapsed_ms", elapsed).
		Int("bad_endpoints", decision.FaultSpread.Bad).
		Int("tested_endpoints", decision.FaultSpread.Tested).
		Int("tested_bad", decision.FaultSpread.TestedBad).
		Int("bad_probes", decision.FaultSpread.BadProbes).
		Int("targets", capacity.Target).
		Int("baseline", capacity.Baseline).
		Send()
	r.propose(ctx, current, rollout.Transition{
		Service:  current.Service,
		Revision: current.Revision,
		Elapsed:  elapsed,
		Decision: decision,
		Replaced: versions,
	})
}

// propose proposes a transition to the register. If it isn't committed, a later iteration of run decides again.
func (r *rolloutController) propose(ctx context.Context, current state.Rollout, transition rollout.Transition) {
	ctx, cancel := context.WithTimeout(ctx, rolloutProposalTimeout)
	defer cancel()
	record, err := r.change(ctx, transition.Apply)
	if err != nil {
		event.RolloutDecisionNotCommitted.Log(r.log).Str("service", current.Service).Err(err).Send()
		return
	}
	next, found := record.Rollout(current.Service)
	if !found || next.OrderRevision != current.OrderRevision || next.Revision == current.Revision {
		return
	}
	kind := event.RolloutAdvanced
	switch next.State {
	case state.RolloutPromoted:
		kind = event.RolloutPromoted
	case state.RolloutRolledBack:
		kind = event.RolloutRolledBack
	}
	logVerdict(kind.Log(r.log), &next, next.Verdict).Int("step", int(next.Step)).Send()
}

// logVerdict adds a roll-out and its verdict to a log entry.
func logVerdict(entry *zerolog.Event, current *state.Rollout, verdict state.RolloutVerdict) *zerolog.Event {
	return entry.
		Str("service", current.Service).
		Str("target", current.Target).
		Uint64("order", current.OrderRevision).
		Int("reason", int(verdict.Reason)).
		Str("route", verdict.Route).
		Int("answers", verdict.Target.Answers).
		Int("failed", verdict.Target.Failed).
		Int("timed", verdict.Target.Timed).
		Int("slow", verdict.Target.Slow).
		Int("baseline_answers", verdict.Baseline.Answers).
		Int("baseline_failed", verdict.Baseline.Failed).
		Int("baseline_timed", verdict.Baseline.Timed).
		Int("baseline_slow", verdict.Baseline.Slow)
}

// capacityOf counts the endpoints of a roll-out's service that accept requests and respond, without those of retired
// versions. It also returns the software versions, other than the target, of all the service's endpoints.
func capacityOf(all []state.Endpoint, current *state.Rollout) (capacity rollout.Capacity, versions []string) {
	seen := map[string]bool{}
	for _, endpoint := range all {
		if endpoint.Service != current.Service {
			continue
		}
		isTarget := endpoint.SoftwareVersion == current.Target
		if !isTarget && !seen[endpoint.SoftwareVersion] {
			seen[endpoint.SoftwareVersion] = true
			versions = append(versions, endpoint.SoftwareVersion)
		}
		if endpoint.State != state.EndpointAccepting || endpoint.Unresponsive || current.IsRetired(endpoint.SoftwareVersion) {
			continue
		}
		if !isTarget {
			capacity.Baseline++
			continue
		}
		capacity.Target++
		if endpoint.WarmupLeftMillis == 0 {
			capacity.TargetWarmedUp++
		}
	}
	return capacity, versions
}
