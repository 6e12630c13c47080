package endpoints

import (
	"time"

	"rowanlink/serving/state"
)

// Detection of endpoints whose calls fail while their heartbeats come. One proxy of many sends an endpoint too few
// calls to judge it, so that each would have to lose some of its own.
const (
	// reportLifetime is how long an observation counts.
	reportLifetime = 3 * time.Second
	// minReporters is how many proxies must agree: the trouble of one may be its own.
	minReporters = 2
	// minFailures is how many failed calls count, and outlierFactor how many times those of the service's other
	// endpoints on average they must be: where all fail the cause is elsewhere, such as too much traffic.
	minFailures   = 3
	outlierFactor = 4
	// maxEjectedShare is the share of a service's endpoints that may be marked at once; the others must not take all.
	maxEjectedShare = 0.5
	// baseEjectionTime is how long an endpoint stays marked, twice as long each time that it is marked again within
	// ejectionMemory of the mark's end, up to maxEjectionTime.
	baseEjectionTime = 2 * time.Second
	maxEjectionTime  = 16 * time.Second
	ejectionMemory   = 10 * time.Second
	// resetAfterIntervals without a heartbeat say that an endpoint was gone; when it beats again it is as good as new.
	resetAfterIntervals = 2
)

// outlierState is what proxies have told of one endpoint. The zero value is of one without fault.
type outlierState struct {
	reports      map[string]proxyReport // by observer
	ejectedUntil time.Time              // end of the mark
	ejectionTime time.Duration          // of the last mark
}

// proxyReport is what one proxy has told lately.
type proxyReport struct {
	at             time.Time
	failures       int
	unacknowledged bool
}

// isEjected tells whether a mark outlives a heartbeat that comes now after the last one.
func (o *outlierState) isEjected(now time.Time, interval time.Duration, last time.Time) bool {
	if now.Sub(last) > resetAfterIntervals*interval {
		o.ejectedUntil, o.reports = time.Time{}, nil
	}
	return now.Before(o.ejectedUntil)
}

// addReport takes in an observation.
func (o *outlierState) addReport(now time.Time, observer string, told state.Observation) {
	if o.reports == nil {
		o.reports = map[string]proxyReport{}
	}
	known := o.reports[observer]
	if now.Sub(known.at) > reportLifetime {
		known = proxyReport{}
	}
	known.at = now
	known.failures += max(told.Failures, 0)
	known.unacknowledged = known.unacknowledged || told.Unacknowledged
	o.reports[observer] = known
}

// countReports counts what was told lately and drops what is older.
func (o *outlierState) countReports(now time.Time) (observers, failures, unacknowledged int) {
	for name, known := range o.reports {
		if now.Sub(known.at) > reportLifetime {
			delete(o.reports, name)
			continue
		}
		observers++
		failures += known.failures
		if known.unacknowledged {
			unacknowledged++
		}
	}
	return observers, failures, unacknowledged
}

// eject begins the next mark.
func (o *outlierState) eject(now time.Time) {
	again := o.ejectionTime > 0 && now.Sub(o.ejectedUntil) < ejectionMemory
	if !again {
		o.ejectionTime = baseEjectionTime / 2
	}
	o.ejectionTime = min(2*o.ejectionTime, maxEjectionTime)
	o.ejectedUntil = now.Add(o.ejectionTime)
	o.reports = nil
}

// RecordObservation takes in what a proxy has seen of an endpoint that is judged here. It tells whether the other members must
// hear of the endpoint, and returns it.
func (t *Table) RecordObservation(now time.Time, observer string, told state.Observation) (state.Endpoint, bool) {
	e, known := t.entries[told.EndpointID]
	if !known || e.endpoint.State == state.EndpointDeparted || !t.options.IsResponsibleFor(e.endpoint.Receiver) {
		return state.Endpoint{}, false
	}
	e.outlier.addReport(now, observer, told)
	if e.endpoint.Failing || !t.isOutlier(now, e) {
		return state.Endpoint{}, false
	}
	e.outlier.eject(now)
	e.endpoint.Failing = true
	t.recordChange(e)
	t.recordBroadcast(e)
	return e.snapshotAt(now), true
}

// isOutlier tells whether an endpoint fails more than the others of its service.
func (t *Table) isOutlier(now time.Time, suspect *entry) bool {
	observers, failures, unacknowledged := suspect.outlier.countReports(now)
	if observers < minReporters {
		return false
	}
	others, othersFailures, marked := 0, 0, 0
	for _, e := range t.entries {
		if e == suspect || e.endpoint.Service != suspect.endpoint.Service || e.endpoint.State != state.EndpointAccepting {
			continue
		}
		others++
		if e.endpoint.Failing {
			marked++
			continue
		}
		_, count, _ := e.outlier.countReports(now)
		othersFailures += count
	}
	if float64(marked+1) > maxEjectedShare*float64(others+1) {
		return false
	}
	if unacknowledged >= minReporters {
		return true
	}
	return failures >= minFailures && failures*others >= outlierFactor*othersFailures
}
