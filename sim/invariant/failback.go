package invariant

import (
	"math"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// failback: a route back from an outage is not pushed over by those who had seen it fail.
type failback struct {
	teller
	t      Terms
	routes map[event.Route]*returning
}

// returning is a route that is out, or has been back for less than its time to warm.
type returning struct {
	out     bool
	at      api.Micros
	perS    float64
	learned map[int32]bool
	came    []arrival
	sum     float64
	broken  bool
}

type arrival struct {
	at     api.Micros
	weight float64
	knew   bool
}

func (o *failback) Kinds() []event.Kind {
	return []event.Kind{event.OutageStarted, event.OutageEnded, event.AttemptEnded, event.CallArrived}
}

func (o *failback) Observe(e *event.Event) {
	r := o.routes[e.Route]
	switch e.Kind {
	case event.OutageStarted:
		o.routes[e.Route] = &returning{out: true, perS: e.Weight, learned: map[int32]bool{}}
		return
	case event.OutageEnded:
		if r != nil {
			r.out, r.at = false, e.At
		}
		return
	}
	if r == nil {
		return
	}
	if e.Kind == event.AttemptEnded {
		if r.out && e.Outcome != api.Delivered && e.Outcome != api.NotSent {
			r.learned[e.Dispatcher] = true
		}
		return
	}
	if r.out {
		return
	}
	if e.At-r.at >= o.t.SlowStartDuration {
		delete(o.routes, e.Route)
		return
	}
	r.came = append(r.came, arrival{e.At, e.Weight, r.learned[e.Dispatcher]})
	r.sum += e.Weight
	for r.came[0].at <= e.At-o.t.OverloadDuration {
		r.sum -= r.came[0].weight
		r.came = r.came[1:]
	}
	share := o.t.SlowStartCapacity + (1-o.t.SlowStartCapacity)*float64(e.At-r.at)/float64(o.t.SlowStartDuration)
	budget := o.t.OverloadFactor * share * r.perS * o.t.OverloadDuration.Seconds()
	if r.broken || r.sum <= budget+2+math.Sqrt(budget) {
		return
	}
	knew := 0.0
	for _, a := range r.came {
		if a.knew {
			knew += a.weight
		}
	}
	if knew >= r.sum*2/3 {
		r.broken = true
		o.breach(e, "%.1f calls reached it within %.1f s, %.1f of them from dispatchers that had seen it fail; "+
			"its budget, cold as it was %.1f s after its return, was %.1f", r.sum, o.t.OverloadDuration.Seconds(), knew,
			(e.At - r.at).Seconds(), budget)
	}
}

func (o *failback) close(api.Micros) {}
