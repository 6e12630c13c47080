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
	// rolloutTickInterval is the time between two checks whether reports are due. It is also the least time between two
	// reports.
	rolloutTickInterval = 250 * time.Millisecond
	// rolloutReportInterval is the time between two reports while no bad answers are observed. It is shorter than a lease,
	// which the response to a report renews.
	rolloutReportInterval = time.Second
	// rolloutCallTimeout bounds the call that sends reports to a core member.
	rolloutCallTimeout = 400 * time.Millisecond
)

// rolloutRelay holds the proxy's newest report on each roll-out and decides when the reports are sent to the core.
type rolloutRelay struct {
	reports map[uint64]state.RolloutReport // by OrderRevision
	urgent  bool                           // send at once: see storeReports
	sentAt  time.Time                      // when reports were last sent
}

// storeReports stores the proxy's newest reports in place of earlier ones on the same roll-outs. They are urgent if the
// proxy has counted more bad answers or has restarted, or reports on a roll-out for the first time.
func (r *rolloutRelay) storeReports(reports []state.RolloutReport) {
	if r.reports == nil {
		r.reports = map[uint64]state.RolloutReport{}
	}
	for _, report := range reports {
		known := r.reports[report.OrderRevision]
		if badAnswerCount(report) > badAnswerCount(known) || known.Incarnation != report.Incarnation {
			r.urgent = true
		}
		r.reports[report.OrderRevision] = report
	}
}

// badAnswerCount returns the number of failed or slow answers of the roll-out's target in a report.
func badAnswerCount(report state.RolloutReport) (bad int) {
	for _, counts := range report.Routes {
		bad += counts.Target.Failed + counts.Target.Slow
	}
	return bad
}

// takeDue returns the reports to be sent now: one for each roll-out in progress, and none if it isn't time for reports. If
// the proxy hasn't reported on a roll-out yet, its report is empty and only requests a lease. Reports on roll-outs that
// have ended are dropped.
func (r *rolloutRelay) takeDue(now time.Time, record *state.Record) (reports []state.RolloutReport) {
	inProgress := map[uint64]bool{}
	if record != nil {
		for _, current := range record.Rollouts {
			if current.State == state.RolloutInProgress {
				inProgress[current.OrderRevision] = true
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

// rolloutLeases are the leases that the core has granted. A proxy sends calls to the target of a roll-out only while it has
// the roll-out's lease.
type rolloutLeases struct {
	expiry   map[uint64]time.Time // by OrderRevision
	position uint64               // increases with each renewal; updates are computed since a position
}

// renew stores leases that were requested at requestedAt. They are counted from the request rather than from the
// response, so that they end here no later than at the member that granted them.
func (l *rolloutLeases) renew(requestedAt time.Time, leases []state.RolloutLease) {
	if l.expiry == nil {
		l.expiry = map[uint64]time.Time{}
	}
	for _, lease := range leases {
		l.expiry[lease.OrderRevision] = requestedAt.Add(time.Duration(lease.Millis) * time.Millisecond)
	}
	l.position++
}

// remaining returns the leases that haven't expired, with their remaining durations, and removes the others.
func (l *rolloutLeases) remaining(now time.Time) (leases []state.RolloutLease) {
	maps.DeleteFunc(l.expiry, func(_ uint64, expiry time.Time) bool { return !now.Before(expiry) })
	for revision, expiry := range l.expiry {
		leases = append(leases, state.RolloutLease{
			OrderRevision: revision,
			Millis:        expiry.Sub(now).Milliseconds(),
		})
	}
	return leases
}

// renewLeases stores leases that were requested at requestedAt and wakes the waiting polls.
func (p *publisher) renewLeases(requestedAt time.Time, leases []state.RolloutLease) {
	if len(leases) == 0 {
		return
	}
	p.leases.renew(requestedAt, leases)
	p.wakePolls()
}

// rolloutReporter sends the proxy's reports on roll-outs to the core member that decides on them, and stores the leases that
// it grants.
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

// tick sends the reports that are due.
func (r *rolloutReporter) tick(ctx context.Context) {
	reports, _ := actor.Call(r.agent.stateActor, func(s *agentState) []state.RolloutReport {
		return s.rollouts.takeDue(time.Now(), s.publisher.record)
	})
	if len(reports) == 0 {
		return
	}
	request := rollout.ReportRequest{Observer: r.agent.settings.NodeName, Reports: reports}
	for _, address := range r.reportAddresses() {
		go r.send(ctx, address, &request)
	}
}

// send calls one member. Errors are ignored: the counts in reports are totals, so the next report includes what a lost one
// contained.
func (r *rolloutReporter) send(ctx context.Context, address string, request *rollout.ReportRequest) {
	ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	requestedAt := time.Now()
	response, err := rollout.ReportMethod.Call(ctx, r.client, address, request)
	if err != nil {
		return
	}
	r.agent.stateActor.Send(func(s *agentState) { s.publisher.renewLeases(requestedAt, response.Leases) })
}

// reportAddresses returns the addresses to send reports to: that of the core member that decides on roll-outs, or those of
// all core members while it isn't known or not ready.
func (r *rolloutReporter) reportAddresses() (addresses []string) {
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
