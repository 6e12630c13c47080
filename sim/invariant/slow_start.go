package invariant

import (
	"math"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// failback: a route back from an outage is not pushed over by those who had seen it fail.
type slowStart struct {
	violationReporter
	thresholds Thresholds
	routes     map[event.Route]*recoveringRoute
}

// recoveringRoute is a route that is out, or has been back for less than its time to warm.
type recoveringRoute struct {
	down        bool
	recoveredAt api.Micros
	rate        float64
	sawFailure  map[int32]bool
	arrivals    []arrival
	weight      float64
	violated    bool
}

type arrival struct {
	at         api.Micros
	weight     float64
	sawFailure bool
}

func (o *slowStart) Kinds() []event.Kind {
	return []event.Kind{event.OutageStarted, event.OutageEnded, event.AttemptEnded, event.CallArrived}
}

func (o *slowStart) Observe(e *event.Event) {
	r := o.routes[e.Route]
	switch e.Kind {
	case event.OutageStarted:
		o.routes[e.Route] = &recoveringRoute{down: true, rate: e.Weight, sawFailure: map[int32]bool{}}
		return
	case event.OutageEnded:
		if r != nil {
			r.down, r.recoveredAt = false, e.At
		}
		return
	}
	if r == nil {
		return
	}
	if e.Kind == event.AttemptEnded {
		if r.down && e.Outcome != api.Delivered && e.Outcome != api.NotSent {
			r.sawFailure[e.Dispatcher] = true
		}
		return
	}
	if r.down {
		return
	}
	if e.At-r.recoveredAt >= o.thresholds.SlowStartDuration {
		delete(o.routes, e.Route)
		return
	}
	r.arrivals = append(r.arrivals, arrival{e.At, e.Weight, r.sawFailure[e.Dispatcher]})
	r.weight += e.Weight
	for r.arrivals[0].at <= e.At-o.thresholds.OverloadDuration {
		r.weight -= r.arrivals[0].weight
		r.arrivals = r.arrivals[1:]
	}
	share := o.thresholds.SlowStartCapacity + (1-o.thresholds.SlowStartCapacity)*float64(e.At-r.recoveredAt)/float64(o.thresholds.SlowStartDuration)
	budget := o.thresholds.OverloadFactor * share * r.rate * o.thresholds.OverloadDuration.Seconds()
	if r.violated || r.weight <= budget+2+math.Sqrt(budget) {
		return
	}
	knew := 0.0
	for _, a := range r.arrivals {
		if a.sawFailure {
			knew += a.weight
		}
	}
	if knew >= r.weight*2/3 {
		r.violated = true
		o.report(e, "%.1f calls reached it within %.1f s, %.1f of them from dispatchers that had seen it fail; "+
			"its budget, cold as it was %.1f s after its return, was %.1f", r.weight, o.thresholds.OverloadDuration.Seconds(), knew,
			(e.At - r.recoveredAt).Seconds(), budget)
	}
}

func (o *slowStart) finish(api.Micros) {}
