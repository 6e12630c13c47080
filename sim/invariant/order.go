package invariant

import (
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// order: webhooks of ordered event types that share a key go one at a time, in the order taken, with a rest
// after an attempt that may still run.
type order struct {
	teller
	t     Terms
	lines map[line]*queue
	of    map[stay]*ordered
}

type line struct {
	d   int32
	key api.OrderingKey
}

type queue struct {
	in     []*ordered
	restTo api.Micros
}

type ordered struct {
	id          api.WebhookID
	out, over   bool
	sentAlready bool
}

func (o *order) Kinds() []event.Kind {
	return []event.Kind{event.Accepted, event.Recovered, event.AttemptStarted, event.AttemptEnded, event.Finished, event.Killed}
}

func (o *order) Observe(e *event.Event) {
	if e.Kind == event.Killed {
		for k := range o.lines {
			if k.d == e.Dispatcher {
				delete(o.lines, k)
			}
		}
		for k := range o.of {
			if k.d == e.Dispatcher {
				delete(o.of, k)
			}
		}
		return
	}
	if e.OrderingKey == 0 || !o.t.EventTypes[min(int(e.EventType), len(o.t.EventTypes)-1)].Ordered {
		return
	}
	at := line{e.Dispatcher, e.OrderingKey}
	q := o.lines[at]
	if q == nil {
		q = &queue{restTo: api.Never}
		o.lines[at] = q
	}
	w := o.of[stayOf(e)]
	if w == nil {
		if e.Kind != event.Accepted && e.Kind != event.Recovered {
			return
		}
		w = &ordered{id: e.Webhook, sentAlready: e.Attempt > 0}
		o.of[stayOf(e)] = w
		q.in = append(q.in, w)
	}
	switch e.Kind {
	case event.AttemptStarted:
		if q.in[0] != w {
			o.breach(e, "sent while webhook %d of its key, taken before it, is not over", q.in[0].id)
		} else if !w.sentAlready && e.At < q.restTo {
			o.breach(e, "sent %.3f s before its key had rested", (q.restTo - e.At).Seconds())
		}
		w.out, w.sentAlready = true, true
	case event.AttemptEnded:
		w.out = false
		if e.Outcome.MayStillRun() {
			q.restTo = max(q.restTo, e.At+o.t.OrderingGap)
		}
	case event.Finished:
		w.over = true
	}
	if w.over && !w.out {
		q.in = slices.DeleteFunc(q.in, func(x *ordered) bool { return x == w })
		delete(o.of, stayOf(e))
	}
}

func (o *order) close(api.Micros) {}
