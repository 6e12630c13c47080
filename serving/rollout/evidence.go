package rollout

import (
	"rowanlink/serving/state"
)

// allRoutes is the key of the evidence of all routes together.
const allRoutes = ""

// evidence sums up the reports of all proxies on one roll-out.
type evidence struct {
	routes    map[string]*routeEvidence // by name; allRoutes for all together
	probes    probeEvidence
	endpoints map[endpointKey]*state.EndpointCounts // of the target
	reports   map[string]state.RolloutReport        // the newest of each proxy, by observer
}

func newEvidence() *evidence {
	return &evidence{
		routes:    map[string]*routeEvidence{},
		endpoints: map[endpointKey]*state.EndpointCounts{},
		reports:   map[string]state.RolloutReport{},
	}
}

// add takes a proxy's report in place of its last one. Reports that are older than that change nothing. The counts of a
// former process of the proxy remain.
func (e *evidence) add(observer string, report state.RolloutReport) {
	last := e.reports[observer]
	if last.Incarnation == report.Incarnation && report.Sequence <= last.Sequence {
		return
	}
	e.reports[observer] = report
	if last.Incarnation != report.Incarnation {
		last = state.RolloutReport{}
	}
	before := map[string]state.RouteCounts{}
	for _, counts := range last.Routes {
		before[counts.Route] = counts
	}
	var target, baseline state.AnswerCounts
	for _, counts := range report.Routes {
		newTarget := counts.Target.Sub(before[counts.Route].Target)
		newBaseline := counts.Baseline.Sub(before[counts.Route].Baseline)
		target = target.Add(newTarget)
		baseline = baseline.Add(newBaseline)
		if counts.Route != allRoutes {
			e.route(counts.Route).add(newTarget, newBaseline)
		}
	}
	e.route(allRoutes).add(target, baseline)
	e.addEndpoints(last.Endpoints, report.Endpoints)
}

// endpointKey identifies counts of an endpoint.
type endpointKey struct {
	id        string
	loadProbe bool
}

func keyOf(counts state.EndpointCounts) endpointKey {
	return endpointKey{id: counts.ID, loadProbe: counts.LoadProbe}
}

// addEndpoints adds what a proxy's counts of endpoints have grown by.
func (e *evidence) addEndpoints(before, after []state.EndpointCounts) {
	for _, counts := range after {
		known := e.endpoints[keyOf(counts)]
		if known == nil {
			known = &state.EndpointCounts{ID: counts.ID, LoadProbe: counts.LoadProbe}
			e.endpoints[keyOf(counts)] = known
		}
		known.Answers += counts.Answers
		known.Bad += counts.Bad
	}
	for _, counts := range before {
		known := e.endpoints[keyOf(counts)]
		known.Answers -= counts.Answers
		known.Bad -= counts.Bad
	}
	e.probes.add(probeCounts(after).Sub(probeCounts(before)), e.route(allRoutes).toleratedFailures())
}

func (e *evidence) route(name string) *routeEvidence {
	known := e.routes[name]
	if known == nil {
		known = &routeEvidence{}
		e.routes[name] = known
	}
	return known
}

// verdict returns why the target counts as worse than the baseline, with the counts that show it, or the counts of all
// routes if it doesn't. live is the number of the target's endpoints.
func (e *evidence) verdict(live int) state.RolloutVerdict {
	all := e.route(allRoutes)
	spread := e.spread()
	if spread.isOfProbes(live, all.baseline) && e.probes.failures.alarmed() {
		return state.RolloutVerdict{Reason: state.RolloutFailures, Target: e.probes.counts, Baseline: all.baseline}
	}
	if spread.isOfVersion(live) {
		if reason := all.reason(); reason != state.RolloutNoReason {
			return state.RolloutVerdict{Reason: reason, Target: all.target, Baseline: all.baseline}
		}
		for name, found := range e.routes {
			if reason := found.reason(); reason != state.RolloutNoReason {
				return state.RolloutVerdict{
					Reason: reason, Route: name, Target: found.target, Baseline: found.baseline,
				}
			}
		}
	}
	return state.RolloutVerdict{Target: all.target, Baseline: all.baseline}
}

// suspicion returns the reason for which a roll-out isn't advanced for now; RolloutNoReason if there is none. share is
// that of the test's threshold which is needed for it.
func (e *evidence) suspicion(share float64) state.RolloutReason {
	if e.probes.failures.suspicious(share) {
		return state.RolloutFailures
	}
	for _, found := range e.routes {
		if reason := found.suspicion(share); reason != state.RolloutNoReason {
			return reason
		}
	}
	return state.RolloutNoReason
}

// baselineInFlight returns the number of calls at endpoints of the versions in force.
func (e *evidence) baselineInFlight() (calls int) {
	for _, report := range e.reports {
		calls += report.BaselineInFlight
	}
	return calls
}
