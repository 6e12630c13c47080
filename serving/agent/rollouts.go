package agent

import (
	"context"
	"maps"
	"slices"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/actor"
	"rowanlink/serving/rollout"
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
)

const (
	// rolloutTickInterval is the time between two checks for reports that are due, and so the least time between two
	// reports.
	rolloutTickInterval = 250 * time.Millisecond
	// rolloutReportInterval is the time between two reports while nothing bad is observed. Leases last longer.
	rolloutReportInterval = time.Second
	// rolloutCallTimeout bounds the call that passes on a report.
	rolloutCallTimeout = 400 * time.Millisecond
)

// rolloutRelay holds the proxy's newest reports on roll-outs.
type rolloutRelay struct {
	reports map[uint64]state.RolloutReport // by OrderRevision
	urgent  bool                           // bad answers have come since the last report
	sentAt  time.Time
}

// take takes the proxy's newest reports.
func (r *rolloutRelay) take(reports []state.RolloutReport) {
	if r.reports == nil {
		r.reports = map[uint64]state.RolloutReport{}
	}
	for _, report := range reports {
		known := r.reports[report.OrderRevision]
		if badAnswers(report) > badAnswers(known) || known.Incarnation != report.Incarnation {
			r.urgent = true
		}
		r.reports[report.OrderRevision] = report
	}
}

// badAnswers returns the number of bad answers of the target that a report counts.
func badAnswers(report state.RolloutReport) (bad int) {
	for _, counts := range report.Routes {
		bad += counts.Target.Failed + counts.Target.Slow
	}
	return bad
}

// due returns the reports to be passed on now: one for each roll-out in progress, an empty one where the proxy hasn't
// reported yet.
func (r *rolloutRelay) due(now time.Time, record *state.Record) (reports []state.RolloutReport) {
	inProgress := map[uint64]bool{}
	if record != nil {
		for _, known := range record.Rollouts {
			if known.State == state.RolloutInProgress {
				inProgress[known.OrderRevision] = true
			}
		}
	}
	maps.DeleteFunc(r.reports, func(revision uint64, _ state.RolloutReport) bool { return !inProgress[revision] })
	if len(inProgress) == 0 || !r.urgent && now.Sub(r.sentAt) < rolloutReportInterval {
		return nil
	}
	r.urgent = false
	r.sentAt = now
	for revision := range inProgress {
		report, found := r.reports[revision]
		if !found {
			report = state.RolloutReport{OrderRevision: revision}
		}
		reports = append(reports, report)
	}
	return reports
}

// rolloutLeases are the leases that the core has granted.
type rolloutLeases struct {
	until    map[uint64]time.Time // by OrderRevision
	position uint64               // increases with each renewal
}

// renew takes leases that were asked for at a time.
func (l *rolloutLeases) renew(askedAt time.Time, leases []state.RolloutLease) {
	if l.until == nil {
		l.until = map[uint64]time.Time{}
	}
	for _, lease := range leases {
		l.until[lease.OrderRevision] = askedAt.Add(time.Duration(lease.Millis) * time.Millisecond)
	}
	l.position++
}

// remaining returns the leases that are left, and removes those that have ended.
func (l *rolloutLeases) remaining(now time.Time) (leases []state.RolloutLease) {
	maps.DeleteFunc(l.until, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	for revision, until := range l.until {
		leases = append(leases, state.RolloutLease{
			OrderRevision: revision,
			Millis:        until.Sub(now).Milliseconds(),
		})
	}
	return leases
}

// renewLeases takes leases and wakes the proxy's poll.
func (p *publisher) renewLeases(askedAt time.Time, leases []state.RolloutLease) {
	if len(leases) == 0 {
		return
	}
	p.leases.renew(askedAt, leases)
	p.notifySubscriber()
}

// rolloutReporter passes the proxy's reports on roll-outs to the core member that decides on them, and takes its leases.
type rolloutReporter struct {
	agent  *agent
	client *rpc.Client
}

func (a *agent) newRolloutReporter(client *rpc.Client) *rolloutReporter {
	return &rolloutReporter{agent: a, client: client}
}

// run reports until the context ends.
func (r *rolloutReporter) run(ctx context.Context) {
	ctxsleep.Repeat(ctx, rolloutTickInterval, func() { r.tick(ctx) })
}

// tick passes on the reports that are due.
func (r *rolloutReporter) tick(ctx context.Context) {
	reports, _ := actor.Call(r.agent.stateActor, func(s *agentState) []state.RolloutReport {
		return s.rollouts.due(time.Now(), s.updates.record)
	})
	if len(reports) == 0 {
		return
	}
	request := rollout.ReportRequest{Observer: r.agent.settings.NodeName, Reports: reports}
	for _, address := range r.judges() {
		go r.send(ctx, address, &request)
	}
}

// send calls one member. Errors are ignored: the counts are sums, and the next report has them too.
func (r *rolloutReporter) send(ctx context.Context, address string, request *rollout.ReportRequest) {
	ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	askedAt := time.Now()
	response, err := rollout.ReportMethod.Call(ctx, r.client, address, request)
	if err != nil {
		return
	}
	r.agent.stateActor.Send(func(s *agentState) { s.updates.renewLeases(askedAt, response.Leases) })
}

// judges returns the address of the core member that decides on roll-outs, or those of all core members while it isn't
// known or not live.
func (r *rolloutReporter) judges() (addresses []string) {
	holder := ""
	for _, claim := range r.agent.members.RoleClaims() {
		if claim.Role == rollout.JudgeRole {
			holder = claim.Holder
		}
	}
	for _, member := range r.agent.members.Members() {
		if member.Role != state.RoleCore {
			continue
		}
		if member.Name == holder && member.State == state.MemberReady {
			return []string{member.Address}
		}
		addresses = append(addresses, member.Address)
	}
	slices.Sort(addresses)
	return addresses
}
