package invariant

import (
	"slices"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// Recorder counts what happened, for a summary and tables by second, by destination and of cold returns.
type Recorder struct {
	t       Terms
	origins []fate
	seconds []Second
	dests   map[api.DestinationID]*Destination
	out     outs
	outNow  int
	sum     Summary
	cold    map[event.Route]*returning
	loads   []ColdLoad
}

// fate is what became of a webhook as its client knows it.
type fate struct {
	cameAt, endAt api.Micros
	dest          api.DestinationID
	evt           api.EventTypeID
	how           verdict
}

type verdict uint8

const ( // a later one replaces an earlier one
	unended verdict = iota
	givenUp
	died
	deadLettered
	delivered
)

// NewRecorder starts with nothing counted.
func NewRecorder(t Terms) *Recorder {
	return &Recorder{t: t, dests: map[api.DestinationID]*Destination{}, out: outs{},
		cold: map[event.Route]*returning{}}
}

func (r *Recorder) Kinds() []event.Kind {
	return []event.Kind{event.Offered, event.BufferFull, event.AttemptStarted, event.Finished, event.Abandoned, event.CallStarted,
		event.CallFinished, event.Connected, event.CallArrived, event.CallRefused, event.OutageStarted, event.OutageEnded, event.Collapsed}
}

func (r *Recorder) second(at api.Micros) *Second {
	for n := int(at / api.Second); len(r.seconds) <= n; {
		r.seconds = append(r.seconds, Second{Out: r.outNow})
	}
	return &r.seconds[at/api.Second]
}

func (r *Recorder) dest(id api.DestinationID) *Destination {
	d := r.dests[id]
	if d == nil {
		d = &Destination{ID: id}
		r.dests[id] = d
	}
	return d
}

func (r *Recorder) Observe(e *event.Event) {
	switch e.Kind {
	case event.Offered:
		for len(r.origins) <= int(e.Request) {
			r.origins = append(r.origins, fate{cameAt: api.Never})
		}
		r.origins[e.Request] = fate{cameAt: e.At, dest: e.Destination, evt: e.EventType}
	case event.BufferFull:
		r.sum.TurnedAway++
	case event.AttemptStarted:
		r.sum.Attempts++
	case event.Abandoned:
		r.origins[e.Request].settle(givenUp, e.At)
	case event.Finished:
		if how, ok := map[event.FinalStatus]verdict{event.Delivered: delivered, event.DeadLettered: deadLettered,
			event.StateLost: died}[e.Final]; ok {
			r.origins[e.Request].settle(how, e.At)
		}
	case event.CallStarted:
		r.outNow++
		r.sum.Calls++
		s, d := r.second(e.At), r.dest(e.Destination)
		s.Calls++
		s.Out = max(s.Out, r.outNow)
		d.Calls++
		d.Out = max(d.Out, r.out.see(e))
	case event.CallFinished:
		r.outNow--
		r.out.see(e)
	case event.Connected:
		r.sum.Connects++
		r.second(e.At).Connected++
	case event.CallRefused:
		r.sum.Refused++
		r.second(e.At).Refused++
		r.dest(e.Destination).Refused++
	case event.Collapsed:
		r.sum.Fell++
	case event.OutageStarted:
		delete(r.cold, e.Route)
	case event.OutageEnded:
		r.cold[e.Route] = &returning{at: e.At, perS: e.Weight}
	case event.CallArrived:
		r.onCold(e)
	}
}

func (r *Recorder) onCold(e *event.Event) {
	c := r.cold[e.Route]
	if c == nil {
		return
	}
	if e.At-c.at >= r.t.SlowStartDuration {
		delete(r.cold, e.Route)
		return
	}
	n := int(e.At / api.Second)
	at := slices.IndexFunc(r.loads, func(l ColdLoad) bool { return l.Second == n && l.Route == e.Route })
	if at < 0 {
		share := r.t.SlowStartCapacity + (1-r.t.SlowStartCapacity)*float64(e.At-c.at)/float64(r.t.SlowStartDuration)
		r.loads = append(r.loads, ColdLoad{Second: n, Destination: e.Destination, Route: e.Route,
			Limit: r.t.OverloadFactor * share * c.perS})
		at = len(r.loads) - 1
	}
	r.loads[at].Came += e.Weight
}

func (f *fate) settle(how verdict, at api.Micros) {
	if how > f.how {
		f.how, f.endAt = how, at
	}
}

// Close makes the summary and the tables of all that was seen.
func (r *Recorder) Close() Summary {
	all := newLatency()
	asked, earned := 0.0, 0.0
	for i := range r.origins {
		f := &r.origins[i]
		if f.cameAt == api.Never {
			continue
		}
		row, d := r.t.EventTypes[f.evt], r.dest(f.dest)
		asked += row.Value
		r.sum.Offered++
		d.Offered++
		r.second(f.cameAt).Offered++
		if f.how == unended {
			r.sum.Unended++
			continue
		}
		s := r.second(f.endAt)
		switch f.how {
		case givenUp:
			count(&r.sum.Rejected, &d.Rejected, &s.Rejected)
		case died:
			count(&r.sum.Died, &d.Died, &s.Died)
		case deadLettered:
			count(&r.sum.DeadLettered, &d.DeadLettered, &s.DeadLettered)
		case delivered:
			took := f.endAt - f.cameAt
			if took <= row.LatencyTarget {
				count(&r.sum.InTime, &d.InTime, &s.InTime)
				earned += row.Value
			} else {
				count(&r.sum.Late, &d.Late, &s.Late)
				part := float64(took-row.LatencyTarget) / float64(max(row.TTL-row.LatencyTarget, 1))
				earned += row.Value * (1 - (1-row.LateValue)*min(part, 1))
			}
			if s.latency == nil {
				s.latency = newLatency()
			}
			note(all, took)
			note(s.latency, took)
		}
	}
	for i := range r.seconds {
		if s := &r.seconds[i]; s.latency != nil {
			s.P50, s.P99 = at(s.latency, 50), at(s.latency, 99)
		}
	}
	if asked > 0 {
		r.sum.Value = earned / asked
	}
	r.sum.P50, r.sum.P90, r.sum.P99 = at(all, 50).Seconds(), at(all, 90).Seconds(), at(all, 99).Seconds()
	r.sum.Longest = at(all, 100).Seconds()
	return r.sum
}

func count(all ...*int) {
	for _, n := range all {
		*n++
	}
}

// Latencies are kept in steps of 0.1 ms up to a day, to two digits.
const latencyStep = 100

func newLatency() *hdr.Histogram { return hdr.New(1, 24*3600*int64(api.Second)/latencyStep, 2) }

func note(h *hdr.Histogram, t api.Micros) { _ = h.RecordValue(max(int64(t)/latencyStep, 1)) }

func at(h *hdr.Histogram, percentile float64) api.Micros {
	return api.Micros(h.ValueAtQuantile(percentile)) * latencyStep
}
