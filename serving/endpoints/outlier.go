package endpoints

import (
	"time"

	"rowanlink/serving/state"
)

// Outlier detection ejects endpoints that send heartbeats but fail calls, as Envoy's outlier detection does. It uses
// the observations of all proxies, because one proxy of many sends an endpoint too few calls to decide by itself. An
// ejected endpoint has state.Endpoint.Failing set.
const (
	// reportLifetime is how long the observations of a proxy, added up, count after the last one of them.
	reportLifetime = 3 * time.Second
	// minReporters is the number of proxies that must have reported observations: if only one sees failures, the fault
	// may be its own.
	minReporters = 2
	// minFailures is the least number of an outlier's failed calls. outlierFactor is the least ratio of that number to the
	// average of the service's other endpoints, where an ejected endpoint counts with no failures. If all endpoints fail,
	// the ratio isn't reached, since the cause is elsewhere, such as overload.
	minFailures   = 3
	outlierFactor = 4
	// maxEjectedShare is the share of a service's endpoints that may be ejected at once, since the others have to take
	// over their load.
	maxEjectedShare = 0.5
	// baseEjectionTime is how long an endpoint is ejected. The time doubles, up to maxEjectionTime, each time that the
	// endpoint is ejected again within repeatedEjectionWindow after the end of an ejection.
	baseEjectionTime       = 2 * time.Second
	maxEjectionTime        = 16 * time.Second
	repeatedEjectionWindow = 10 * time.Second
	// resetAfterIntervals is the number of heartbeat intervals without a heartbeat after which an endpoint counts as
	// restarted, which ends its ejection.
	resetAfterIntervals = 2
)

// outlierState is the outlier detection's state of one endpoint. The zero value is for an endpoint without failures.
type outlierState struct {
	reports      map[string]proxyReport // by observer: the member on the proxy's machine
	ejectedUntil time.Time
	ejectionTime time.Duration // of the last ejection
}

// proxyReport sums up the recent observations of one proxy.
type proxyReport struct {
	at             time.Time // of the last observation
	failures       int
	unacknowledged bool // as in state.Observation
}

// reportSummary sums up the recent reports of all proxies about one endpoint.
type reportSummary struct {
	reporters      int
	failures       int
	unacknowledged int // number of reporters that saw unacknowledged packets
}

// resetAfterAbsence ends the ejection of an endpoint whose heartbeats have been absent for so long that it has
// restarted.
func (o *outlierState) resetAfterAbsence(absence, heartbeatInterval time.Duration) {
	if absence > resetAfterIntervals*heartbeatInterval {
		o.ejectedUntil = time.Time{}
		o.reports = nil
	}
}

// isEjected reports whether the endpoint is ejected now.
func (o *outlierState) isEjected(now time.Time) bool { return now.Before(o.ejectedUntil) }

// addReport adds an observation.
func (o *outlierState) addReport(now time.Time, observer string, observation state.Observation) {
	if o.reports == nil {
		o.reports = map[string]proxyReport{}
	}
	report := o.reports[observer]
	if now.Sub(report.at) > reportLifetime {
		report = proxyReport{}
	}
	report.at = now
	report.failures += max(observation.Failures, 0)
	report.unacknowledged = report.unacknowledged || observation.Unacknowledged
	o.reports[observer] = report
}

// summarize returns the sums of the reports that were updated within the last reportLifetime, and deletes older reports.
func (o *outlierState) summarize(now time.Time) (summary reportSummary) {
	for observer, report := range o.reports {
		if now.Sub(report.at) > reportLifetime {
			delete(o.reports, observer)
			continue
		}
		summary.reporters++
		summary.failures += report.failures
		if report.unacknowledged {
			summary.unacknowledged++
		}
	}
	return summary
}

// eject begins an ejection and clears the reports that led to it.
func (o *outlierState) eject(now time.Time) {
	isRepeated := o.ejectionTime > 0 && now.Sub(o.ejectedUntil) < repeatedEjectionWindow
	if !isRepeated {
		o.ejectionTime = baseEjectionTime / 2 // doubled below
	}
	o.ejectionTime = min(2*o.ejectionTime, maxEjectionTime)
	o.ejectedUntil = now.Add(o.ejectionTime)
	o.reports = nil
}

// RecordObservation records a proxy's observation of an endpoint. If this member is responsible for the endpoint and
// the observation makes it an outlier, the endpoint is ejected: RecordObservation returns its new state, which the
// caller has to gossip, and true.
func (t *Table) RecordObservation(now time.Time, observer string,
	observation state.Observation) (state.Endpoint, bool) {
	e, known := t.entries[observation.EndpointID]
	if !known || e.endpoint.State == state.EndpointDeparted || !t.options.IsResponsibleFor(e.endpoint.Receiver) {
		return state.Endpoint{}, false
	}
	e.outlier.addReport(now, observer, observation)
	if e.endpoint.Failing || !t.isOutlier(now, e) {
		return state.Endpoint{}, false
	}
	e.outlier.eject(now)
	e.endpoint.Failing = true
	t.recordChange(e)
	t.recordBroadcast(e)
	return e.snapshotAt(now), true
}

// isOutlier reports whether an endpoint is to be ejected: enough proxies report that it fails more often than the
// others of its service, or doesn't acknowledge packets, and enough of the others aren't ejected.
func (t *Table) isOutlier(now time.Time, suspect *entry) bool {
	summary := suspect.outlier.summarize(now)
	if summary.reporters < minReporters {
		return false
	}
	others := 0
	ejected := 0
	othersFailures := 0
	for _, e := range t.entries {
		isPeer := e != suspect &&
			e.endpoint.Service == suspect.endpoint.Service &&
			e.endpoint.State == state.EndpointAccepting
		if !isPeer {
			continue
		}
		others++
		if e.endpoint.Failing {
			ejected++
			continue
		}
		othersFailures += e.outlier.summarize(now).failures
	}
	if float64(ejected+1) > maxEjectedShare*float64(others+1) {
		return false
	}
	if summary.unacknowledged >= minReporters {
		return true
	}
	return summary.failures >= minFailures && summary.failures*others >= outlierFactor*othersFailures
}
