package invariant

import (
	"slices"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// Recorder counts events for a summary of the run and tables by second, by destination and of slow starts.
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
	submittedAt api.Micros
	finishedAt  api.Micros
	destination api.DestinationID
	eventType   api.EventTypeID
	status      requestStatus
}

// requestStatus is the best final status of a request's copies: a greater one replaces a lesser one.
type requestStatus uint8

const (
	unfinished requestStatus = iota
	abandoned
	stateLost
	deadLettered
	delivered
)

// NewRecorder makes a recorder. It must be subscribed before the run starts.
func NewRecorder(thresholds Thresholds) *Recorder {
	return &Recorder{
		thresholds:   thresholds,
		destinations: map[api.DestinationID]*Destination{},
		active:       activeCalls{},
		warming:      map[event.Route]*recoveringRoute{},
	}
}

// Kinds returns the kinds of events that are counted.
func (r *Recorder) Kinds() []event.Kind {
	return []event.Kind{
		event.Offered,
		event.BufferFull,
		event.AttemptStarted,
		event.Finished,
		event.Abandoned,
		event.CallStarted,
		event.CallFinished,
		event.Connected,
		event.CallArrived,
		event.CallRefused,
		event.OutageStarted,
		event.OutageEnded,
		event.Collapsed,
	}
}

func (r *Recorder) secondAt(at api.Micros) *Second {
	n := int(at / api.Second)
	for len(r.seconds) <= n {
		r.seconds = append(r.seconds, Second{MaxActiveCalls: r.activeCalls})
	}
	return &r.seconds[n]
}

func (r *Recorder) destination(id api.DestinationID) *Destination {
	d := r.destinations[id]
	if d == nil {
		d = &Destination{ID: id}
		r.destinations[id] = d
	}
	return d
}

// Observe counts one event.
func (r *Recorder) Observe(e *event.Event) {
	switch e.Kind {
	case event.Offered, event.Abandoned, event.Finished:
		r.recordRequest(e)
	case event.BufferFull:
		r.summary.BufferFull++
	case event.AttemptStarted:
		r.summary.Attempts++
	case event.Collapsed:
		r.summary.Collapsed++
	case event.OutageStarted:
		delete(r.warming, e.Route)
	case event.OutageEnded:
		r.warming[e.Route] = &recoveringRoute{recoveredAt: e.At, rate: e.Weight}
	default:
		r.recordCall(e)
	}
}

func (r *Recorder) recordRequest(e *event.Event) {
	switch e.Kind {
	case event.Offered:
		for len(r.requests) <= int(e.Request) {
			r.requests = append(r.requests, requestOutcome{submittedAt: api.Never})
		}
		r.requests[e.Request] = requestOutcome{submittedAt: e.At, destination: e.Destination, eventType: e.EventType}
	case event.Abandoned:
		r.requests[e.Request].update(abandoned, e.At)
	case event.Finished:
		switch e.Final {
		case event.Delivered:
			r.requests[e.Request].update(delivered, e.At)
		case event.DeadLettered:
			r.requests[e.Request].update(deadLettered, e.At)
		case event.StateLost:
			r.requests[e.Request].update(stateLost, e.At)
		case event.Rejected: // the client submits it again or abandons it
		}
	}
}

func (r *Recorder) recordCall(e *event.Event) {
	switch e.Kind {
	case event.CallStarted:
		r.activeCalls++
		second, destination := r.secondAt(e.At), r.destination(e.Destination)
		incrementAll(&r.summary.Calls, &second.Calls, &destination.Calls)
		second.MaxActiveCalls = max(second.MaxActiveCalls, r.activeCalls)
		destination.MaxActiveCalls = max(destination.MaxActiveCalls, r.active.observe(e))
	case event.CallFinished:
		r.activeCalls--
		r.active.observe(e)
	case event.Connected:
		incrementAll(&r.summary.Connects, &r.secondAt(e.At).Connects)
	case event.CallRefused:
		incrementAll(&r.summary.CallsRefused, &r.secondAt(e.At).CallsRefused,
			&r.destination(e.Destination).CallsRefused)
	case event.CallArrived:
		r.recordWarmupLoad(e)
	}
}

func (r *Recorder) recordWarmupLoad(e *event.Event) {
	route := r.warming[e.Route]
	if route == nil {
		return
	}
	if e.At-route.recoveredAt >= r.thresholds.SlowStartDuration {
		delete(r.warming, e.Route)
		return
	}
	second := int(e.At / api.Second)
	isSame := func(l WarmupLoad) bool { return l.Second == second && l.Route == e.Route }
	i := slices.IndexFunc(r.warmupLoads, isSame)
	if i < 0 {
		capacity := r.thresholds.slowStartCapacity(e.At - route.recoveredAt)
		r.warmupLoads = append(r.warmupLoads, WarmupLoad{
			Second:      second,
			Destination: e.Destination,
			Route:       e.Route,
			Limit:       r.thresholds.OverloadFactor * capacity * route.rate,
		})
		i = len(r.warmupLoads) - 1
	}
	r.warmupLoads[i].Weight += e.Weight
}

func (o *requestOutcome) update(status requestStatus, at api.Micros) {
	if status > o.status {
		o.status = status
		o.finishedAt = at
	}
}

// Finish completes the tables at the end of the run and returns the summary.
func (r *Recorder) Finish() Summary {
	latencies := newLatency()
	offeredValue, earnedValue := 0.0, 0.0
	for i := range r.requests {
		if r.requests[i].submittedAt == api.Never {
			continue
		}
		offeredValue += r.thresholds.EventTypes[r.requests[i].eventType].Value
		earnedValue += r.countRequest(&r.requests[i], latencies)
	}
	for i := range r.seconds {
		if s := &r.seconds[i]; s.latency != nil {
			s.P50 = latencyAt(s.latency, 50)
			s.P99 = latencyAt(s.latency, 99)
		}
	}
	if offeredValue > 0 {
		r.summary.Value = earnedValue / offeredValue
	}
	r.summary.P50 = latencyAt(latencies, 50).Seconds()
	r.summary.P90 = latencyAt(latencies, 90).Seconds()
	r.summary.P99 = latencyAt(latencies, 99).Seconds()
	r.summary.Max = latencyAt(latencies, 100).Seconds()
	return r.summary
}

// countRequest counts a request by its outcome and returns the value earned.
func (r *Recorder) countRequest(o *requestOutcome, latencies *hdr.Histogram) float64 {
	destination := r.destination(o.destination)
	incrementAll(&r.summary.Offered, &destination.Offered, &r.secondAt(o.submittedAt).Offered)
	if o.status == unfinished {
		r.summary.Unfinished++
		return 0
	}
	second := r.secondAt(o.finishedAt)
	switch o.status {
	case abandoned:
		incrementAll(&r.summary.Rejected, &destination.Rejected, &second.Rejected)
	case stateLost:
		incrementAll(&r.summary.StateLost, &destination.StateLost, &second.StateLost)
	case deadLettered:
		incrementAll(&r.summary.DeadLettered, &destination.DeadLettered, &second.DeadLettered)
	case delivered:
		return r.countDelivered(o, destination, second, latencies)
	}
	return 0
}

func (r *Recorder) countDelivered(o *requestOutcome, destination *Destination, second *Second,
	latencies *hdr.Histogram) float64 {
	latency := o.finishedAt - o.submittedAt
	if second.latency == nil {
		second.latency = newLatency()
	}
	recordLatency(latencies, latency)
	recordLatency(second.latency, latency)
	eventType := &r.thresholds.EventTypes[o.eventType]
	if latency <= eventType.LatencyTarget {
		incrementAll(&r.summary.InTime, &destination.InTime, &second.InTime)
		return eventType.Value
	}
	incrementAll(&r.summary.Late, &destination.Late, &second.Late)
	lateness := float64(latency-eventType.LatencyTarget) / float64(max(eventType.TTL-eventType.LatencyTarget, 1))
	return eventType.Value * (1 - (1-eventType.LateValue)*min(lateness, 1))
}

func incrementAll(counters ...*int) {
	for _, c := range counters {
		*c++
	}
}
