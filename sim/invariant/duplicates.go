package invariant

import (
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// duplicates checks the invariant "twice": a webhook that may have run is attempted again, or rejected as one that may be
// submitted again, only as its event type allows, and never while an attempt is in flight.
type duplicates struct {
	violationReporter
	thresholds Thresholds
	webhooks   map[api.WebhookID]*attemptHistory // at any dispatcher
}

type attemptHistory struct {
	shared       bool // two dispatchers may have the webhook
	inFlight     bool
	startedAt    api.Micros
	zone         api.ZoneID
	mayHaveRunAt api.Micros // or never
	mayHaveRunIn api.ZoneID
}

func (h *attemptHistory) recordPossibleRun() {
	if h.mayHaveRunAt == api.Never {
		h.mayHaveRunAt = h.startedAt
		h.mayHaveRunIn = h.zone
	}
}

func newDuplicates(reporter violationReporter, thresholds Thresholds) *duplicates {
	return &duplicates{
		violationReporter: reporter,
		thresholds:        thresholds,
		webhooks:          map[api.WebhookID]*attemptHistory{},
	}
}

// Kinds returns the kinds of events that the checker needs.
func (o *duplicates) Kinds() []event.Kind {
	return []event.Kind{
		event.Accepted,
		event.Recovered,
		event.AttemptStarted,
		event.AttemptEnded,
		event.Finished,
		event.HandoffAccepted,
	}
}

// Observe checks one event.
func (o *duplicates) Observe(e *event.Event) {
	w := o.webhooks[e.Webhook]
	if w == nil {
		if e.Kind != event.Accepted && e.Kind != event.Recovered {
			return
		}
		w = &attemptHistory{mayHaveRunAt: api.Never}
		o.webhooks[e.Webhook] = w
	}
	switch e.Kind {
	case event.Recovered, event.HandoffAccepted: // an attempt in flight may have run
		w.shared = w.shared || e.Kind == event.HandoffAccepted
		if w.inFlight {
			w.recordPossibleRun()
		}
		w.inFlight = false
	case event.AttemptStarted:
		o.checkAttempt(e, w)
		w.inFlight = true
		w.startedAt = e.At
		w.zone = e.Zone
	case event.AttemptEnded:
		w.inFlight = false
		if !e.Outcome.NeverRan() {
			w.recordPossibleRun()
		}
	case event.Finished:
		o.checkFinished(e, w)
	}
}

func (o *duplicates) checkAttempt(e *event.Event, w *attemptHistory) {
	eventType := o.thresholds.eventType(e)
	deduplicated := eventType.Semantics == api.Deduplicated
	switch {
	case w.inFlight:
		o.report(e, "attempted while another attempt is in flight")
	case w.mayHaveRunAt == api.Never:
	case eventType.Semantics == api.AtMostOnce:
		o.report(e, "at-most-once, attempted again though it may have run at %.6fs", w.mayHaveRunAt.Seconds())
	case deduplicated && e.At > w.mayHaveRunAt+eventType.DedupWindow:
		o.report(e, "deduplicated, attempted again outside its window, %.3f s after it may have run",
			(e.At - w.mayHaveRunAt).Seconds())
	case deduplicated && eventType.DedupByZone && e.Zone != w.mayHaveRunIn:
		o.report(e, "deduplicated by zone, attempted in another zone")
	}
}

func (o *duplicates) checkFinished(e *event.Event, w *attemptHistory) {
	mayHaveRun := w.inFlight || w.mayHaveRunAt != api.Never
	if e.Final == event.Rejected && mayHaveRun && o.thresholds.eventType(e).Semantics != api.Idempotent {
		o.report(e, "rejected as one that never ran, though it may have run")
	}
	if !w.inFlight && !w.shared {
		delete(o.webhooks, e.Webhook)
	}
}

func (o *duplicates) finish(api.Micros) {}
