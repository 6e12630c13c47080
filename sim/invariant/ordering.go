package invariant

import (
	"maps"
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// ordering checks the invariant "order": webhooks of ordered event types with the same ordering key are attempted one at
// a time, in the order in which they were accepted, with a gap after an attempt that may still run.
type ordering struct {
	violationReporter
	thresholds Thresholds
	queues     map[queueKey]*orderingQueue
	webhooks   map[webhookKey]*orderedWebhook
}

type queueKey struct {
	dispatcher  int32
	orderingKey api.OrderingKey
}

// orderingQueue has the unfinished webhooks of one key at one dispatcher.
type orderingQueue struct {
	webhooks    []*orderedWebhook
	pausedUntil api.Micros
}

type orderedWebhook struct {
	id        api.WebhookID
	inFlight  bool
	finished  bool
	attempted bool
}

func newOrdering(reporter violationReporter, thresholds Thresholds) *ordering {
	return &ordering{
		violationReporter: reporter,
		thresholds:        thresholds,
		queues:            map[queueKey]*orderingQueue{},
		webhooks:          map[webhookKey]*orderedWebhook{},
	}
}

// Kinds returns the kinds of events that the checker needs.
func (o *ordering) Kinds() []event.Kind {
	return []event.Kind{
		event.Accepted,
		event.Recovered,
		event.AttemptStarted,
		event.AttemptEnded,
		event.Finished,
		event.Killed,
	}
}

// Observe checks one event.
func (o *ordering) Observe(e *event.Event) {
	if e.Kind == event.Killed {
		o.forgetDispatcher(e.Dispatcher)
		return
	}
	if e.OrderingKey == 0 || !o.thresholds.eventType(e).Ordered {
		return
	}
	q, w := o.webhookOf(e)
	if w == nil {
		return
	}
	switch e.Kind {
	case event.AttemptStarted:
		o.checkAttempt(e, q, w)
		w.inFlight = true
		w.attempted = true
	case event.AttemptEnded:
		w.inFlight = false
		if e.Outcome.MayStillRun() {
			q.pausedUntil = max(q.pausedUntil, e.At+o.thresholds.OrderingGap)
		}
	case event.Finished:
		w.finished = true
	}
	if w.finished && !w.inFlight {
		q.webhooks = slices.DeleteFunc(q.webhooks, func(other *orderedWebhook) bool { return other == w })
		delete(o.webhooks, webhookKeyOf(e))
	}
}

func (o *ordering) forgetDispatcher(dispatcher int32) {
	maps.DeleteFunc(o.queues, func(k queueKey, _ *orderingQueue) bool { return k.dispatcher == dispatcher })
	maps.DeleteFunc(o.webhooks, func(k webhookKey, _ *orderedWebhook) bool { return k.dispatcher == dispatcher })
}

// webhookOf returns the webhook of an event with its queue, to which an accepted webhook is added. The webhook is nil if
// it wasn't accepted.
func (o *ordering) webhookOf(e *event.Event) (*orderingQueue, *orderedWebhook) {
	key := queueKey{e.Dispatcher, e.OrderingKey}
	q := o.queues[key]
	if q == nil {
		q = &orderingQueue{pausedUntil: api.Never}
		o.queues[key] = q
	}
	w := o.webhooks[webhookKeyOf(e)]
	if w == nil && (e.Kind == event.Accepted || e.Kind == event.Recovered) {
		w = &orderedWebhook{id: e.Webhook, attempted: e.Attempt > 0}
		o.webhooks[webhookKeyOf(e)] = w
		q.webhooks = append(q.webhooks, w)
	}
	return q, w
}

func (o *ordering) checkAttempt(e *event.Event, q *orderingQueue, w *orderedWebhook) {
	switch {
	case q.webhooks[0] != w:
		o.report(e, "attempted while webhook %d of its key, accepted before it, is not finished", q.webhooks[0].id)
	case !w.attempted && e.At < q.pausedUntil:
		o.report(e, "attempted %.3f s before the gap of its key was over", (q.pausedUntil - e.At).Seconds())
	}
}

func (o *ordering) finish(api.Micros) {}
