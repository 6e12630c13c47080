package rollout

import (
	"rowanlink/serving/state"
)

// allRoutes is the key of the evidence of all routes together.
const allRoutes = ""

// evidence holds the sums of all proxies' reports on one roll-out, and the tests on them.
type evidence struct {
	routes    map[string]*routeEvidence // by route name; the key allRoutes has all routes together
	probes    probeEvidence
	endpoints map[endpointKey]*state.EndpointCounts // endpoints of the target
	reports   map[string]state.RolloutReport        // newest report of each proxy, by observer
}

func newEvidence() *evidence {
	return &evidence{
		routes:    map[string]*routeEvidence{},
		endpoints: map[endpointKey]*state.EndpointCounts{},
		reports:   map[string]state.RolloutReport{},
	}
}

// add replaces a proxy's last report by a newer one: it adds what the proxy has counted between the two. A report that
// isn't newer than the last one of the same incarnation changes nothing. After a restart of the proxy, whose counts then
// begin at zero, the counts of its earlier incarnation are kept.
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
		if counts.Route != allRoutes { // counts without a route's name have no evidence of their own
			e.route(counts.Route).add(newTarget, newBaseline)
		}
	}
	e.route(allRoutes).add(target, baseline)
	e.addEndpoints(last.Endpoints, report.Endpoints)
}

// endpointKey identifies the counts of an endpoint. An endpoint that was a load probe has separate counts for the calls
// that probed it and for the others.
type endpointKey struct {
	id        string
	loadProbe bool
}

func keyOf(counts state.EndpointCounts) endpointKey {
	return endpointKey{id: counts.ID, loadProbe: counts.LoadProbe}
}

// addEndpoints adds the differences between a proxy's newest counts of endpoints and the counts before.
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

// route returns the evidence of a route, and creates it if there is none.
func (e *evidence) route(name string) *routeEvidence {
	known := e.routes[name]
	if known == nil {
		known = &routeEvidence{}
		e.routes[name] = known
	}
	return known
}

// verdict returns why the target counts as worse than the baseline, with the counts that show it. If it doesn't count as
// worse, the verdict has no reason and the counts of all routes. live is the number of the target's endpoints that accept
// requests and respond.
func (e *evidence) verdict(live int) state.RolloutVerdict {
	all := e.route(allRoutes)
	spread := e.spread()
	if spread.isVersionFaultUnderLoad(live, all.baseline) && e.probes.failures.alarmed() {
		return state.RolloutVerdict{Reason: state.RolloutFailures, Target: e.probes.counts, Baseline: all.baseline}
	}
	if spread.isVersionFault(live) {
		if reason := all.alarmReason(); reason != state.RolloutNoReason {
			return state.RolloutVerdict{Reason: reason, Target: all.target, Baseline: all.baseline}
		}
		for name, found := range e.routes {
			if reason := found.alarmReason(); reason != state.RolloutNoReason {
				return state.RolloutVerdict{
					Reason: reason, Route: name, Target: found.target, Baseline: found.baseline,
				}
			}
		}
	}
	return state.RolloutVerdict{Target: all.target, Baseline: all.baseline}
}

// holdReason returns why the roll-out must not be advanced or promoted for now, or RolloutNoReason if nothing speaks
// against it. A test holds the roll-out if its sum reaches the given share of alarmThreshold.
func (e *evidence) holdReason(share float64) state.RolloutReason {
	if e.probes.failures.reaches(share) {
		return state.RolloutFailures
	}
	for _, found := range e.routes {
		if reason := found.holdReason(share); reason != state.RolloutNoReason {
			return reason
		}
	}
	return state.RolloutNoReason
}

// baselineInFlight returns the number of calls that all proxies have in flight at the baseline's endpoints.
func (e *evidence) baselineInFlight() (calls int) {
	for _, report := range e.reports {
		calls += report.BaselineInFlight
	}
	return calls
}
