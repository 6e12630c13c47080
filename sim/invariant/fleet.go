package invariant

import (
	"math"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// Fleet measures how many dispatchers act as one: what destinations are sent while they are out and just
// after, how long it is silent where a dispatcher was lost, and what the way to a home takes.
type Fleet struct {
	t      Terms
	routes map[event.Route]*outage
	ends   map[api.DestinationID]*pulse
	killed api.Micros
	came   map[event.RequestID]api.Micros
	hops   *hdr.Histogram
	sum    Together
	loads  float64
	calls  float64
	askers float64
}

// Together is what Fleet measured. Bear is what a destination takes in TipAfter after its return, times the
// multiple at which it falls.
type Together struct {
	Returns  int     // destinations back from an outage
	Load     float64 // sent in TipAfter after a return, over Bear: mean
	Worst    float64 // and the most
	WhileOut float64 // calls to a destination that is out, for each outage
	Callers  float64 // dispatchers that made them
	Silence  float64 // s without a delivery at a busy destination after a dispatcher was killed, the longest
	Handed   int     // webhooks taken on from another dispatcher
	Hop50    float64 // s from first handed in to the home's journal
	Hop99    float64
}

type outage struct {
	out     bool
	backAt  api.Micros
	perS    float64
	sent    float64
	calls   int
	callers map[int32]bool
}

// pulse is what is delivered at a destination.
type pulse struct {
	beats  int  // before the kill
	waits  bool // none since
	killed api.Micros
}

// busy is from how many deliveries a second on a destination's silence is told from its being idle.
const busy = 2

// NewFleet starts with nothing seen.
func NewFleet(t Terms) *Fleet {
	return &Fleet{t: t, routes: map[event.Route]*outage{}, ends: map[api.DestinationID]*pulse{},
		came: map[event.RequestID]api.Micros{}, hops: newLatency(), killed: api.Never}
}

func (f *Fleet) Kinds() []event.Kind {
	return []event.Kind{event.Offered, event.HandoffAccepted, event.OutageStarted, event.OutageEnded, event.CallStarted, event.CallArrived,
		event.Finished, event.Killed}
}

func (f *Fleet) Observe(e *event.Event) {
	switch e.Kind {
	case event.Offered:
		f.came[e.Request] = e.At
	case event.HandoffAccepted:
		if at, ok := f.came[e.Request]; ok {
			delete(f.came, e.Request)
			f.sum.Handed++
			note(f.hops, e.At-at)
		}
	case event.OutageStarted:
		f.close(f.routes[e.Route])
		f.routes[e.Route] = &outage{out: true, perS: e.Weight, callers: map[int32]bool{}}
	case event.OutageEnded:
		if r := f.routes[e.Route]; r != nil {
			r.out, r.backAt = false, e.At
		}
	case event.CallStarted:
		if r := f.routes[e.Route]; r != nil && r.out {
			r.calls++
			r.callers[e.Dispatcher] = true
		}
	case event.CallArrived:
		if r := f.routes[e.Route]; r != nil && !r.out && e.At-r.backAt <= f.t.OverloadDuration {
			r.sent += e.Weight
		}
	default:
		f.beat(e)
	}
}

func (f *Fleet) beat(e *event.Event) {
	if e.Kind == event.Killed {
		f.killed = e.At
		for _, p := range f.ends {
			if !p.waits && float64(p.beats) >= busy*e.At.Seconds() {
				p.waits, p.killed = true, e.At
			}
		}
		return
	}
	if e.Final != event.Delivered {
		return
	}
	p := f.ends[e.Destination]
	if p == nil {
		p = &pulse{}
		f.ends[e.Destination] = p
	}
	if f.killed == api.Never {
		p.beats++
	}
	if p.waits {
		p.waits = false
		f.sum.Silence = math.Max(f.sum.Silence, (e.At - p.killed).Seconds())
	}
}

// close adds an outage that is over, its return with it.
func (f *Fleet) close(r *outage) {
	if r == nil || r.out {
		return
	}
	// What it takes grows evenly from StartCapacity at its return.
	mean := f.t.SlowStartCapacity + (1-f.t.SlowStartCapacity)*f.t.OverloadDuration.Seconds()/f.t.SlowStartDuration.Seconds()/2
	load := r.sent / (f.t.OverloadFactor * mean * r.perS * f.t.OverloadDuration.Seconds())
	f.sum.Returns++
	f.loads += load
	f.calls += float64(r.calls)
	f.askers += float64(len(r.callers))
	f.sum.Worst = math.Max(f.sum.Worst, load)
}

// Close sums up.
func (f *Fleet) Close() Together {
	for _, r := range f.routes {
		f.close(r)
	}
	if n := float64(f.sum.Returns); n > 0 {
		f.sum.Load, f.sum.WhileOut, f.sum.Callers = f.loads/n, f.calls/n, f.askers/n
	}
	f.sum.Hop50, f.sum.Hop99 = at(f.hops, 50).Seconds(), at(f.hops, 99).Seconds()
	return f.sum
}
