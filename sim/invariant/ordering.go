package invariant

import (
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// order: webhooks of ordered event types that share a key go one at a time, in the order taken, with a rest
// after an attempt that may still run.
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

type orderingQueue struct {
	webhooks    []*orderedWebhook
	pausedUntil api.Micros
}

type orderedWebhook struct {
	id                 api.WebhookID
	inFlight, finished bool
	attempted          bool
}

func (o *ordering) Kinds() []event.Kind {
	return []event.Kind{event.Accepted, event.Recovered, event.AttemptStarted, event.AttemptEnded, event.Finished, event.Killed}
}

func (o *ordering) Observe(e *event.Event) {
	if e.Kind == event.Killed {
		for k := range o.queues {
			if k.dispatcher == e.Dispatcher {
				delete(o.queues, k)
			}
		}
		for k := range o.webhooks {
			if k.dispatcher == e.Dispatcher {
				delete(o.webhooks, k)
			}
		}
		return
	}
	if e.OrderingKey == 0 || !o.thresholds.EventTypes[min(int(e.EventType), len(o.thresholds.EventTypes)-1)].Ordered {
		return
	}
	at := queueKey{e.Dispatcher, e.OrderingKey}
	q := o.queues[at]
	if q == nil {
		q = &orderingQueue{pausedUntil: api.Never}
		o.queues[at] = q
	}
	w := o.webhooks[webhookKeyOf(e)]
	if w == nil {
		if e.Kind != event.Accepted && e.Kind != event.Recovered {
			return
		}
		w = &orderedWebhook{id: e.Webhook, attempted: e.Attempt > 0}
		o.webhooks[webhookKeyOf(e)] = w
		q.webhooks = append(q.webhooks, w)
	}
	switch e.Kind {
	case event.AttemptStarted:
		if q.webhooks[0] != w {
			o.report(e, "sent while webhook %d of its key, taken before it, is not over", q.webhooks[0].id)
		} else if !w.attempted && e.At < q.pausedUntil {
			o.report(e, "sent %.3f s before its key had rested", (q.pausedUntil - e.At).Seconds())
		}
		w.inFlight, w.attempted = true, true
	case event.AttemptEnded:
		w.inFlight = false
		if e.Outcome.MayStillRun() {
			q.pausedUntil = max(q.pausedUntil, e.At+o.thresholds.OrderingGap)
		}
	case event.Finished:
		w.finished = true
	}
	if w.finished && !w.inFlight {
		q.webhooks = slices.DeleteFunc(q.webhooks, func(x *orderedWebhook) bool { return x == w })
		delete(o.webhooks, webhookKeyOf(e))
	}
}

func (o *ordering) finish(api.Micros) {}
