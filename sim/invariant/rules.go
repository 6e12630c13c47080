package invariant

import (
	"maps"
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// lost: every webhook that was taken on ends once, in time, and no attempt follows its end.
type lost struct {
	teller
	t     Terms
	open  map[stay]*due
	ended map[stay]bool
	at    map[int32]api.Micros // dispatchers down or standing still: until then nothing of theirs is late
	order []stay
	homes fromHomes
}

type due struct {
	by api.Micros
	e  event.Event
}

func (o *lost) Kinds() []event.Kind {
	return []event.Kind{event.Accepted, event.Recovered, event.Finished, event.AttemptStarted, event.Killed, event.Paused, event.HandoffAccepted,
		event.HandoffAcknowledged}
}

func (o *lost) Observe(e *event.Event) {
	k := stayOf(e)
	switch e.Kind {
	case event.Accepted, event.Recovered:
		o.open[k] = &due{max(e.Deadline, e.At) + o.t.AnswerGrace, *e}
		delete(o.homes.passed, k)
	case event.HandoffAccepted:
		o.homes.begin()
	case event.HandoffAcknowledged: // there may have been a copy here, or none yet
		delete(o.open, k)
		if !o.homes.has(o, k, e.Peer) {
			o.breach(e, "said to be dispatcher %d's, which does not have it", e.Peer)
		}
	case event.Killed, event.Paused:
		if o.at == nil {
			o.at = map[int32]api.Micros{}
		}
		until := e.Until
		if e.Kind == event.Paused {
			until = e.At + e.Duration
		}
		o.at[e.Dispatcher] = max(o.at[e.Dispatcher], until+o.t.AnswerGrace)
		if e.Final == event.StateLost { // it can't know what it had
			maps.DeleteFunc(o.ended, func(k stay, _ bool) bool { return k.d == e.Dispatcher })
		}
	case event.AttemptStarted:
		if o.ended[k] {
			o.breach(e, "sent after its end")
		} else if o.open[k] == nil {
			o.breach(e, "sent by a dispatcher that did not take it on")
		}
	case event.Finished:
		d := o.open[k]
		if d == nil {
			if e.Final != event.StateLost { // one that died untaken is owed nothing
				o.breach(e, "ended (%s) though it is not held", e.Final)
			}
			return
		}
		if e.Final != event.StateLost && e.At > max(d.by, o.at[e.Dispatcher]) {
			o.breach(e, "ended %.3f s late", (e.At - d.by).Seconds())
		}
		o.homes.ended(k)
		if delete(o.open, k); e.Final == event.StateLost {
			return
		}
		o.ended[k] = true
		if o.order = append(o.order, k); len(o.order) > keptEnded {
			delete(o.ended, o.order[0])
			o.order = o.order[1:]
		}
	}
}

func (o *lost) close(at api.Micros) {
	var never []*due
	for _, d := range o.open {
		if at > max(d.by, o.at[d.e.Dispatcher]) {
			never = append(never, d)
		}
	}
	slices.SortFunc(never, func(a, b *due) int { return int(a.e.Webhook) - int(b.e.Webhook) })
	for _, d := range never {
		d.e.At = at
		o.breach(&d.e, "never ended")
	}
}

// twice: what may have run is sent again, or said to be harmless to hand in again, only as its event type
// allows, and never while it is out.
type twice struct {
	teller
	t  Terms
	of map[api.WebhookID]*tries // whoever has it
}

type tries struct {
	shared bool // two dispatchers may have it
	out    bool
	sentAt api.Micros
	zone   api.ZoneID
	mayRun api.Micros
	ranIn  api.ZoneID
}

func (o *twice) Kinds() []event.Kind {
	return []event.Kind{event.Accepted, event.Recovered, event.AttemptStarted, event.AttemptEnded, event.Finished, event.HandoffAccepted}
}

func (o *twice) Observe(e *event.Event) {
	k, row := e.Webhook, o.t.EventTypes[min(int(e.EventType), len(o.t.EventTypes)-1)]
	w := o.of[k]
	if w == nil {
		if e.Kind != event.Accepted && e.Kind != event.Recovered {
			return
		}
		w = &tries{mayRun: api.Never}
		o.of[k] = w
	}
	switch e.Kind {
	case event.Recovered, event.HandoffAccepted: // what was out may have run
		w.shared = w.shared || e.Kind == event.HandoffAccepted
		if w.out && w.mayRun == api.Never {
			w.mayRun, w.ranIn = w.sentAt, w.zone
		}
		w.out = false
	case event.AttemptStarted:
		ran := w.mayRun != api.Never
		switch {
		case w.out:
			o.breach(e, "sent while another attempt is out")
		case !ran:
		case row.Semantics == api.AtMostOnce:
			o.breach(e, "at-most-once, sent again though it may have run at %.6fs", w.mayRun.Seconds())
		case row.Semantics == api.Deduplicated && e.At > w.mayRun+row.DedupWindow:
			o.breach(
				e,
				"tokened, sent again outside its window, %.3f s after it may have run",
				(e.At - w.mayRun).Seconds(),
			)
		case row.Semantics == api.Deduplicated && row.DedupByZone && e.Zone != w.ranIn:
			o.breach(e, "tokened by zone, sent to another zone")
		}
		w.out, w.sentAt, w.zone = true, e.At, e.Zone
	case event.AttemptEnded:
		w.out = false
		if !e.Outcome.NeverRan() && w.mayRun == api.Never {
			w.mayRun, w.ranIn = w.sentAt, w.zone
		}
	case event.Finished:
		mayRun := w.out || w.mayRun != api.Never
		if e.Final == event.Rejected && mayRun && row.Semantics != api.Idempotent {
			o.breach(e, "rejected as harmless though it may have run")
		}
		if !w.out && !w.shared {
			delete(o.of, k)
		}
	}
}

func (o *twice) close(api.Micros) {}

// drain: nothing new goes to an endpoint later than the grace after its dispatcher heard that it drains.
type drain struct {
	teller
	t    Terms
	told map[told]api.Micros
}

type told struct {
	d  int32
	ep api.EndpointID
}

func (o *drain) Kinds() []event.Kind {
	return []event.Kind{event.EndpointUpdated, event.AttemptStarted}
}

func (o *drain) Observe(e *event.Event) {
	k := told{e.Dispatcher, e.Endpoint}
	at, known := o.told[k]
	switch {
	case e.Kind == event.EndpointUpdated && e.Status == api.EndpointActive:
		delete(o.told, k)
	case e.Kind == event.EndpointUpdated && !known:
		o.told[k] = e.At
	case e.Kind == event.AttemptStarted && known && e.At > at+o.t.DrainGrace:
		o.breach(e, "sent to endpoint %d, %.3f s after it was told to drain", e.Endpoint, (e.At - at).Seconds())
	}
}

func (o *drain) close(api.Micros) {}

// wait: a dispatcher that was told to wait sends nothing there before the wait is over. It may send in the
// very microsecond in which it ends.
type wait struct {
	teller
	until map[toRoute]api.Micros
}

func (o *wait) Kinds() []event.Kind {
	return []event.Kind{event.AttemptEnded, event.AttemptStarted, event.Killed}
}

func (o *wait) Observe(e *event.Event) {
	k := toRouteOf(e)
	switch e.Kind {
	case event.AttemptEnded:
		if e.RetryAfter > 0 {
			o.until[k] = max(o.until[k], e.At+e.RetryAfter)
		}
	case event.AttemptStarted:
		if until := o.until[k]; e.At < until {
			o.breach(e, "sent %.6f s before the told wait was over", (until - e.At).Seconds())
		}
	case event.Killed: // a restart ends the wait
		for k := range o.until {
			if k.d == e.Dispatcher {
				delete(o.until, k)
			}
		}
	}
}

func (o *wait) close(api.Micros) {}
