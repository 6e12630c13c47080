package invariant

import (
	"math"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// slowStart checks the invariant "failback": a route that is back after an outage isn't overloaded by dispatchers that
// had seen it fail.
type slowStart struct {
	violationReporter
	thresholds Thresholds
	routes     map[event.Route]*recoveringRoute
}

// recoveringRoute is a route in an outage or in the slow start after it.
type recoveringRoute struct {
	down        bool
	recoveredAt api.Micros
	rate        float64
	sawFailure  map[int32]bool // by dispatcher
	arrivals    []arrival      // within the last OverloadDuration
	weight      float64        // of arrivals
	violated    bool
}

type arrival struct {
	at         api.Micros
	weight     float64
	sawFailure bool
}

func newSlowStart(reporter violationReporter, thresholds Thresholds) *slowStart {
	return &slowStart{
		violationReporter: reporter,
		thresholds:        thresholds,
		routes:            map[event.Route]*recoveringRoute{},
	}
}

// Kinds returns the kinds of events that the checker needs.
func (o *slowStart) Kinds() []event.Kind {
	return []event.Kind{event.OutageStarted, event.OutageEnded, event.AttemptEnded, event.CallArrived}
}

// Observe checks one event.
func (o *slowStart) Observe(e *event.Event) {
	if e.Kind == event.OutageStarted {
		o.routes[e.Route] = &recoveringRoute{down: true, rate: e.Weight, sawFailure: map[int32]bool{}}
		return
	}
	r := o.routes[e.Route]
	if r == nil {
		return
	}
	switch e.Kind {
	case event.OutageEnded:
		r.down = false
		r.recoveredAt = e.At
	case event.AttemptEnded:
		if r.down && e.Outcome != api.Delivered && e.Outcome != api.NotSent {
			r.sawFailure[e.Dispatcher] = true
		}
	case event.CallArrived:
		if !r.down {
			o.checkArrival(e, r)
		}
	}
}

func (o *slowStart) checkArrival(e *event.Event, r *recoveringRoute) {
	if e.At-r.recoveredAt >= o.thresholds.SlowStartDuration {
		delete(o.routes, e.Route)
		return
	}
	r.add(arrival{e.At, e.Weight, r.sawFailure[e.Dispatcher]}, o.thresholds.OverloadDuration)
	capacity := o.thresholds.slowStartCapacity(e.At - r.recoveredAt)
	budget := o.thresholds.OverloadFactor * capacity * r.rate * o.thresholds.OverloadDuration.Seconds()
	if r.violated || r.weight <= budget+2+math.Sqrt(budget) {
		return
	}
	fromInformed := 0.0
	for _, a := range r.arrivals {
		if a.sawFailure {
			fromInformed += a.weight
		}
	}
	if fromInformed < r.weight*2/3 { // mostly from dispatchers that couldn't know
		return
	}
	r.violated = true
	o.report(e, "%.1f calls reached it within %.1f s, %.1f of them from dispatchers that had seen it fail; "+
		"its budget, %.1f s after its outage, was %.1f", r.weight, o.thresholds.OverloadDuration.Seconds(),
		fromInformed, (e.At - r.recoveredAt).Seconds(), budget)
}

// add adds an arrival and removes those before the window.
func (r *recoveringRoute) add(a arrival, window api.Micros) {
	r.arrivals = append(r.arrivals, a)
	r.weight += a.weight
	for r.arrivals[0].at <= a.at-window {
		r.weight -= r.arrivals[0].weight
		r.arrivals = r.arrivals[1:]
	}
}

func (o *slowStart) finish(api.Micros) {}
