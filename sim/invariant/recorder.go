package invariant

import (
	"slices"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// Recorder counts what happened, for a summary and tables by second, by destination and of cold returns.
type Recorder struct {
	thresholds   Thresholds
	requests     []requestOutcome
	seconds      []Second
	destinations map[api.DestinationID]*Destination
	active       activeCalls
	activeCalls  int
	summary      Summary
	warming      map[event.Route]*recoveringRoute
	warmupLoads  []WarmupLoad
}

// requestOutcome is what became of a webhook as its client knows it.
type requestOutcome struct {
	submittedAt, finishedAt api.Micros
	destination             api.DestinationID
	eventType               api.EventTypeID
	status                  requestStatus
}

type requestStatus uint8

const ( // a later one replaces an earlier one
	unfinished requestStatus = iota
	abandoned
	stateLost
	deadLettered
	delivered
)

// NewRecorder starts with nothing counted.
func NewRecorder(thresholds Thresholds) *Recorder {
	return &Recorder{thresholds: thresholds, destinations: map[api.DestinationID]*Destination{}, active: activeCalls{},
		warming: map[event.Route]*recoveringRoute{}}
}

func (r *Recorder) Kinds() []event.Kind {
	return []event.Kind{event.Offered, event.BufferFull, event.AttemptStarted, event.Finished, event.Abandoned, event.CallStarted,
		event.CallFinished, event.Connected, event.CallArrived, event.CallRefused, event.OutageStarted, event.OutageEnded, event.Collapsed}
}

func (r *Recorder) secondAt(at api.Micros) *Second {
	for n := int(at / api.Second); len(r.seconds) <= n; {
		r.seconds = append(r.seconds, Second{MaxActiveCalls: r.activeCalls})
	}
	return &r.seconds[at/api.Second]
}

func (r *Recorder) destination(id api.DestinationID) *Destination {
	d := r.destinations[id]
	if d == nil {
		d = &Destination{ID: id}
		r.destinations[id] = d
	}
	return d
}

func (r *Recorder) Observe(e *event.Event) {
	switch e.Kind {
	case event.Offered:
		for len(r.requests) <= int(e.Request) {
			r.requests = append(r.requests, requestOutcome{submittedAt: api.Never})
		}
		r.requests[e.Request] = requestOutcome{submittedAt: e.At, destination: e.Destination, eventType: e.EventType}
	case event.BufferFull:
		r.summary.BufferFull++
	case event.AttemptStarted:
		r.summary.Attempts++
	case event.Abandoned:
		r.requests[e.Request].update(abandoned, e.At)
	case event.Finished:
		if how, ok := map[event.FinalStatus]requestStatus{event.Delivered: delivered, event.DeadLettered: deadLettered,
			event.StateLost: stateLost}[e.Final]; ok {
			r.requests[e.Request].update(how, e.At)
		}
	case event.CallStarted:
		r.activeCalls++
		r.summary.Calls++
		s, d := r.secondAt(e.At), r.destination(e.Destination)
		s.Calls++
		s.MaxActiveCalls = max(s.MaxActiveCalls, r.activeCalls)
		d.Calls++
		d.MaxActiveCalls = max(d.MaxActiveCalls, r.active.observe(e))
	case event.CallFinished:
		r.activeCalls--
		r.active.observe(e)
	case event.Connected:
		r.summary.Connects++
		r.secondAt(e.At).Connects++
	case event.CallRefused:
		r.summary.CallsRefused++
		r.secondAt(e.At).CallsRefused++
		r.destination(e.Destination).CallsRefused++
	case event.Collapsed:
		r.summary.Collapsed++
	case event.OutageStarted:
		delete(r.warming, e.Route)
	case event.OutageEnded:
		r.warming[e.Route] = &recoveringRoute{recoveredAt: e.At, rate: e.Weight}
	case event.CallArrived:
		r.recordWarmupLoad(e)
	}
}

func (r *Recorder) recordWarmupLoad(e *event.Event) {
	c := r.warming[e.Route]
	if c == nil {
		return
	}
	if e.At-c.recoveredAt >= r.thresholds.SlowStartDuration {
		delete(r.warming, e.Route)
		return
	}
	n := int(e.At / api.Second)
	at := slices.IndexFunc(r.warmupLoads, func(l WarmupLoad) bool { return l.Second == n && l.Route == e.Route })
	if at < 0 {
		share := r.thresholds.SlowStartCapacity + (1-r.thresholds.SlowStartCapacity)*float64(e.At-c.recoveredAt)/float64(r.thresholds.SlowStartDuration)
		r.warmupLoads = append(r.warmupLoads, WarmupLoad{Second: n, Destination: e.Destination, Route: e.Route,
			Limit: r.thresholds.OverloadFactor * share * c.rate})
		at = len(r.warmupLoads) - 1
	}
	r.warmupLoads[at].Weight += e.Weight
}

func (f *requestOutcome) update(how requestStatus, at api.Micros) {
	if how > f.status {
		f.status, f.finishedAt = how, at
	}
}

// Finish makes the summary and the tables of all that was seen.
func (r *Recorder) Finish() Summary {
	all := newLatency()
	asked, earned := 0.0, 0.0
	for i := range r.requests {
		f := &r.requests[i]
		if f.submittedAt == api.Never {
			continue
		}
		row, d := r.thresholds.EventTypes[f.eventType], r.destination(f.destination)
		asked += row.Value
		r.summary.Offered++
		d.Offered++
		r.secondAt(f.submittedAt).Offered++
		if f.status == unfinished {
			r.summary.Unfinished++
			continue
		}
		s := r.secondAt(f.finishedAt)
		switch f.status {
		case abandoned:
			incrementAll(&r.summary.Rejected, &d.Rejected, &s.Rejected)
		case stateLost:
			incrementAll(&r.summary.StateLost, &d.StateLost, &s.StateLost)
		case deadLettered:
			incrementAll(&r.summary.DeadLettered, &d.DeadLettered, &s.DeadLettered)
		case delivered:
			took := f.finishedAt - f.submittedAt
			if took <= row.LatencyTarget {
				incrementAll(&r.summary.InTime, &d.InTime, &s.InTime)
				earned += row.Value
			} else {
				incrementAll(&r.summary.Late, &d.Late, &s.Late)
				part := float64(took-row.LatencyTarget) / float64(max(row.TTL-row.LatencyTarget, 1))
				earned += row.Value * (1 - (1-row.LateValue)*min(part, 1))
			}
			if s.latency == nil {
				s.latency = newLatency()
			}
			recordLatency(all, took)
			recordLatency(s.latency, took)
		}
	}
	for i := range r.seconds {
		if s := &r.seconds[i]; s.latency != nil {
			s.P50, s.P99 = latencyAt(s.latency, 50), latencyAt(s.latency, 99)
		}
	}
	if asked > 0 {
		r.summary.Value = earned / asked
	}
	r.summary.P50, r.summary.P90, r.summary.P99 = latencyAt(all, 50).Seconds(), latencyAt(all, 90).Seconds(), latencyAt(all, 99).Seconds()
	r.summary.Max = latencyAt(all, 100).Seconds()
	return r.summary
}

func incrementAll(all ...*int) {
	for _, n := range all {
		*n++
	}
}

// Latencies are kept in steps of 0.1 ms up to a day, to two digits.
const latencyStep = 100

func newLatency() *hdr.Histogram { return hdr.New(1, 24*3600*int64(api.Second)/latencyStep, 2) }

func recordLatency(h *hdr.Histogram, t api.Micros) { _ = h.RecordValue(max(int64(t)/latencyStep, 1)) }

func latencyAt(h *hdr.Histogram, percentile float64) api.Micros {
	return api.Micros(h.ValueAtQuantile(percentile)) * latencyStep
}
