package endpoints

import (
	"time"

	"rowanlink/serving/state"
)

// Detection of endpoints whose calls fail while their heartbeats come. One proxy of many sends an endpoint too few
// calls to judge it, so that each would have to lose some of its own.
const (
	// observedSpan is how long an observation counts.
	observedSpan = 3 * time.Second
	// observersLeast is how many proxies must agree: the trouble of one may be its own.
	observersLeast = 2
	// failuresLeast is how many failed calls count, and outlierFactor how many times those of the service's other
	// endpoints on average they must be: where all fail the cause is elsewhere, such as too much traffic.
	failuresLeast = 3
	outlierFactor = 4
	// failingMost is the share of a service's endpoints that may be marked at once; the others must not take all.
	failingMost = 0.5
	// holdFirst is how long an endpoint stays marked, twice as long each time that it is marked again within
	// holdMemory of the mark's end, up to holdMost.
	holdFirst  = 2 * time.Second
	holdMost   = 16 * time.Second
	holdMemory = 10 * time.Second
	// resumedBeats without a heartbeat say that an endpoint was gone; when it beats again it is as good as new.
	resumedBeats = 2
)

// outlier is what proxies have told of one endpoint. The zero value is of one without fault.
type outlier struct {
	seen  map[string]observed // by observer
	until time.Time           // end of the mark
	span  time.Duration       // of the last mark
}

// observed is what one proxy has told lately.
type observed struct {
	at             time.Time
	failures       int
	unacknowledged bool
}

// holds tells whether a mark outlives a heartbeat that comes now after the last one.
func (o *outlier) holds(now time.Time, interval time.Duration, last time.Time) bool {
	if now.Sub(last) > resumedBeats*interval {
		o.until, o.seen = time.Time{}, nil
	}
	return now.Before(o.until)
}

// note takes in an observation.
func (o *outlier) note(now time.Time, observer string, told state.Observation) {
	if o.seen == nil {
		o.seen = map[string]observed{}
	}
	known := o.seen[observer]
	if now.Sub(known.at) > observedSpan {
		known = observed{}
	}
	known.at = now
	known.failures += max(told.Failures, 0)
	known.unacknowledged = known.unacknowledged || told.Unacknowledged
	o.seen[observer] = known
}

// sum counts what was told lately and drops what is older.
func (o *outlier) sum(now time.Time) (observers, failures, unacknowledged int) {
	for name, known := range o.seen {
		if now.Sub(known.at) > observedSpan {
			delete(o.seen, name)
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

// mark begins the next mark.
func (o *outlier) mark(now time.Time) {
	again := o.span > 0 && now.Sub(o.until) < holdMemory
	if !again {
		o.span = holdFirst / 2
	}
	o.span = min(2*o.span, holdMost)
	o.until = now.Add(o.span)
	o.seen = nil
}

// Observe takes in what a proxy has seen of an endpoint that is judged here. It tells whether the other members must
// hear of the endpoint, and returns it.
func (t *Table) Observe(now time.Time, observer string, told state.Observation) (state.Endpoint, bool) {
	e, known := t.entries[told.EndpointID]
	if !known || e.known.State == state.EndpointDeparted || !t.options.Judges(e.known.Receiver) {
		return state.Endpoint{}, false
	}
	e.failing.note(now, observer, told)
	if e.known.Failing || !t.isOutlier(now, e) {
		return state.Endpoint{}, false
	}
	e.failing.mark(now)
	e.known.Failing = true
	t.touch(e)
	t.tell(e)
	return e.at(now), true
}

// isOutlier tells whether an endpoint fails more than the others of its service.
func (t *Table) isOutlier(now time.Time, suspect *entry) bool {
	observers, failures, unacknowledged := suspect.failing.sum(now)
	if observers < observersLeast {
		return false
	}
	others, othersFailures, marked := 0, 0, 0
	for _, e := range t.entries {
		if e == suspect || e.known.Service != suspect.known.Service || e.known.State != state.EndpointAccepting {
			continue
		}
		others++
		if e.known.Failing {
			marked++
			continue
		}
		_, count, _ := e.failing.sum(now)
		othersFailures += count
	}
	if float64(marked+1) > failingMost*float64(others+1) {
		return false
	}
	if unacknowledged >= observersLeast {
		return true
	}
	return failures >= failuresLeast && failures*others >= outlierFactor*othersFailures
}
