package invariant

import (
	"maps"
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// lost: every webhook that was taken on ends once, in time, and no attempt follows its end.
type delivery struct {
	violationReporter
	thresholds       Thresholds
	owned            map[webhookKey]*obligation
	finished         map[webhookKey]bool
	unavailableUntil map[int32]api.Micros // dispatchers down or standing still: until then nothing of theirs is late
	finishedOrder    []webhookKey
	handoffs         handoffs
}

type obligation struct {
	deadline api.Micros
	accepted event.Event
}

func (o *delivery) Kinds() []event.Kind {
	return []event.Kind{event.Accepted, event.Recovered, event.Finished, event.AttemptStarted, event.Killed, event.Paused, event.HandoffAccepted,
		event.HandoffAcknowledged}
}

func (o *delivery) Observe(e *event.Event) {
	k := webhookKeyOf(e)
	switch e.Kind {
	case event.Accepted, event.Recovered:
		o.owned[k] = &obligation{max(e.Deadline, e.At) + o.thresholds.AnswerGrace, *e}
		delete(o.handoffs.receivers, k)
	case event.HandoffAccepted:
		o.handoffs.initialize()
	case event.HandoffAcknowledged: // there may have been a copy here, or none yet
		delete(o.owned, k)
		if !o.handoffs.recordHandoff(o, k, e.Peer) {
			o.report(e, "said to be dispatcher %d's, which does not have it", e.Peer)
		}
	case event.Killed, event.Paused:
		if o.unavailableUntil == nil {
			o.unavailableUntil = map[int32]api.Micros{}
		}
		until := e.Until
		if e.Kind == event.Paused {
			until = e.At + e.Duration
		}
		o.unavailableUntil[e.Dispatcher] = max(o.unavailableUntil[e.Dispatcher], until+o.thresholds.AnswerGrace)
		if e.Final == event.StateLost { // it can't know what it had
			maps.DeleteFunc(o.finished, func(k webhookKey, _ bool) bool { return k.dispatcher == e.Dispatcher })
		}
	case event.AttemptStarted:
		if o.finished[k] {
			o.report(e, "sent after its end")
		} else if o.owned[k] == nil {
			o.report(e, "sent by a dispatcher that did not take it on")
		}
	case event.Finished:
		d := o.owned[k]
		if d == nil {
			if e.Final != event.StateLost { // one that died untaken is owed nothing
				o.report(e, "ended (%s) though it is not held", e.Final)
			}
			return
		}
		if e.Final != event.StateLost && e.At > max(d.deadline, o.unavailableUntil[e.Dispatcher]) {
			o.report(e, "ended %.3f s late", (e.At - d.deadline).Seconds())
		}
		o.handoffs.recordFinished(k)
		if delete(o.owned, k); e.Final == event.StateLost {
			return
		}
		o.finished[k] = true
		if o.finishedOrder = append(o.finishedOrder, k); len(o.finishedOrder) > maxFinished {
			delete(o.finished, o.finishedOrder[0])
			o.finishedOrder = o.finishedOrder[1:]
		}
	}
}

func (o *delivery) finish(at api.Micros) {
	var never []*obligation
	for _, d := range o.owned {
		if at > max(d.deadline, o.unavailableUntil[d.accepted.Dispatcher]) {
			never = append(never, d)
		}
	}
	slices.SortFunc(never, func(a, b *obligation) int { return int(a.accepted.Webhook) - int(b.accepted.Webhook) })
	for _, d := range never {
		d.accepted.At = at
		o.report(&d.accepted, "never ended")
	}
}

// twice: what may have run is sent again, or said to be harmless to hand in again, only as its event type
// allows, and never while it is out.
type duplicates struct {
	violationReporter
	thresholds Thresholds
	webhooks   map[api.WebhookID]*attemptHistory // whoever has it
}

type attemptHistory struct {
	shared       bool // two dispatchers may have it
	inFlight     bool
	startedAt    api.Micros
	zone         api.ZoneID
	mayHaveRunAt api.Micros
	mayHaveRunIn api.ZoneID
}

func (o *duplicates) Kinds() []event.Kind {
	return []event.Kind{event.Accepted, event.Recovered, event.AttemptStarted, event.AttemptEnded, event.Finished, event.HandoffAccepted}
}

func (o *duplicates) Observe(e *event.Event) {
	k, row := e.Webhook, o.thresholds.EventTypes[min(int(e.EventType), len(o.thresholds.EventTypes)-1)]
	w := o.webhooks[k]
	if w == nil {
		if e.Kind != event.Accepted && e.Kind != event.Recovered {
			return
		}
		w = &attemptHistory{mayHaveRunAt: api.Never}
		o.webhooks[k] = w
	}
	switch e.Kind {
	case event.Recovered, event.HandoffAccepted: // what was out may have run
		w.shared = w.shared || e.Kind == event.HandoffAccepted
		if w.inFlight && w.mayHaveRunAt == api.Never {
			w.mayHaveRunAt, w.mayHaveRunIn = w.startedAt, w.zone
		}
		w.inFlight = false
	case event.AttemptStarted:
		ran := w.mayHaveRunAt != api.Never
		switch {
		case w.inFlight:
			o.report(e, "sent while another attempt is out")
		case !ran:
		case row.Semantics == api.AtMostOnce:
			o.report(e, "at-most-once, sent again though it may have run at %.6fs", w.mayHaveRunAt.Seconds())
		case row.Semantics == api.Deduplicated && e.At > w.mayHaveRunAt+row.DedupWindow:
			o.report(
				e,
				"tokened, sent again outside its window, %.3f s after it may have run",
				(e.At - w.mayHaveRunAt).Seconds(),
			)
		case row.Semantics == api.Deduplicated && row.DedupByZone && e.Zone != w.mayHaveRunIn:
			o.report(e, "tokened by zone, sent to another zone")
		}
		w.inFlight, w.startedAt, w.zone = true, e.At, e.Zone
	case event.AttemptEnded:
		w.inFlight = false
		if !e.Outcome.NeverRan() && w.mayHaveRunAt == api.Never {
			w.mayHaveRunAt, w.mayHaveRunIn = w.startedAt, w.zone
		}
	case event.Finished:
		mayRun := w.inFlight || w.mayHaveRunAt != api.Never
		if e.Final == event.Rejected && mayRun && row.Semantics != api.Idempotent {
			o.report(e, "rejected as harmless though it may have run")
		}
		if !w.inFlight && !w.shared {
			delete(o.webhooks, k)
		}
	}
}

func (o *duplicates) finish(api.Micros) {}

// drain: nothing new goes to an endpoint later than the grace after its dispatcher heard that it drains.
type draining struct {
	violationReporter
	thresholds Thresholds
	notifiedAt map[endpointKey]api.Micros
}

type endpointKey struct {
	dispatcher int32
	endpoint   api.EndpointID
}

func (o *draining) Kinds() []event.Kind {
	return []event.Kind{event.EndpointUpdated, event.AttemptStarted}
}

func (o *draining) Observe(e *event.Event) {
	k := endpointKey{e.Dispatcher, e.Endpoint}
	at, known := o.notifiedAt[k]
	switch {
	case e.Kind == event.EndpointUpdated && e.Status == api.EndpointActive:
		delete(o.notifiedAt, k)
	case e.Kind == event.EndpointUpdated && !known:
		o.notifiedAt[k] = e.At
	case e.Kind == event.AttemptStarted && known && e.At > at+o.thresholds.DrainGrace:
		o.report(e, "sent to endpoint %d, %.3f s after it was told to drain", e.Endpoint, (e.At - at).Seconds())
	}
}

func (o *draining) finish(api.Micros) {}

// wait: a dispatcher that was told to wait sends nothing there before the wait is over. It may send in the
// very microsecond in which it ends.
type retryAfter struct {
	violationReporter
	until map[routeKey]api.Micros
}

func (o *retryAfter) Kinds() []event.Kind {
	return []event.Kind{event.AttemptEnded, event.AttemptStarted, event.Killed}
}

func (o *retryAfter) Observe(e *event.Event) {
	k := routeKeyOf(e)
	switch e.Kind {
	case event.AttemptEnded:
		if e.RetryAfter > 0 {
			o.until[k] = max(o.until[k], e.At+e.RetryAfter)
		}
	case event.AttemptStarted:
		if until := o.until[k]; e.At < until {
			o.report(e, "sent %.6f s before the told wait was over", (until - e.At).Seconds())
		}
	case event.Killed: // a restart ends the wait
		for k := range o.until {
			if k.dispatcher == e.Dispatcher {
				delete(o.until, k)
			}
		}
	}
}

func (o *retryAfter) finish(api.Micros) {}
