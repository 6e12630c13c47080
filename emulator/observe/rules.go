package observe

import (
	"math"
	"slices"

	"rowanlink/emulator/seen"
	"rowanlink/gateway"
)

// lost: every webhook that was taken on ends once, in time, and no attempt follows its end.
type lost struct {
	teller
	t     Terms
	open  map[stay]*due
	ended map[stay]bool
	at    map[int32]gateway.Micros // dispatchers down or standing still: until then nothing of theirs is late
	order []stay
}

type due struct {
	by gateway.Micros
	e  seen.Event
}

func (o *lost) Wants() []seen.What {
	return []seen.What{seen.Taken, seen.Resumed, seen.Ended, seen.Sent, seen.Killed, seen.Froze}
}

func (o *lost) See(e *seen.Event) {
	k := stayOf(e)
	switch e.What {
	case seen.Taken, seen.Resumed:
		o.open[k] = &due{max(e.TTL, e.At) + o.t.AnswerGrace, *e}
	case seen.Killed, seen.Froze:
		if o.at == nil {
			o.at = map[int32]gateway.Micros{}
		}
		until := e.Span
		if e.What == seen.Froze {
			until += e.At
		}
		o.at[e.Dispatcher] = max(o.at[e.Dispatcher], until+o.t.AnswerGrace)
	case seen.Sent:
		if o.ended[k] {
			o.breach(e, "sent after its end")
		} else if o.open[k] == nil {
			o.breach(e, "sent by a dispatcher that did not take it on")
		}
	case seen.Ended:
		d := o.open[k]
		if d == nil {
			if e.End != seen.Died { // one that died untaken is owed nothing
				o.breach(e, "ended (%s) though it is not held", e.End)
			}
			return
		}
		if e.End != seen.Died && e.At > max(d.by, o.at[e.Dispatcher]) {
			o.breach(e, "ended %.3f s late", (e.At - d.by).Seconds())
		}
		delete(o.open, k)
		o.ended[k] = true
		if o.order = append(o.order, k); len(o.order) > keptEnded {
			delete(o.ended, o.order[0])
			o.order = o.order[1:]
		}
	}
}

func (o *lost) close(at gateway.Micros) {
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
	of map[stay]*tries
}

type tries struct {
	out    bool
	sentAt gateway.Micros
	zone   gateway.ZoneID
	mayRun gateway.Micros
	ranIn  gateway.ZoneID
}

func (o *twice) Wants() []seen.What {
	return []seen.What{seen.Taken, seen.Resumed, seen.Sent, seen.Heard, seen.Ended}
}

func (o *twice) See(e *seen.Event) {
	k, row := stayOf(e), o.t.EventTypes[min(int(e.Type), len(o.t.EventTypes)-1)]
	w := o.of[k]
	if w == nil {
		if e.What != seen.Taken && e.What != seen.Resumed {
			return
		}
		w = &tries{mayRun: gateway.Never}
		o.of[k] = w
	}
	switch e.What {
	case seen.Resumed: // what was out may have run
		if w.out && w.mayRun == gateway.Never {
			w.mayRun, w.ranIn = w.sentAt, w.zone
		}
		w.out = false
	case seen.Sent:
		ran := w.mayRun != gateway.Never
		switch {
		case w.out:
			o.breach(e, "sent while another attempt is out")
		case !ran:
		case row.Repeat == gateway.AtMostOnce:
			o.breach(e, "at-most-once, sent again though it may have run at %.6fs", w.mayRun.Seconds())
		case row.Repeat == gateway.Tokened && e.At > w.mayRun+row.TokenWindow:
			o.breach(
				e,
				"tokened, sent again outside its window, %.3f s after it may have run",
				(e.At - w.mayRun).Seconds(),
			)
		case row.Repeat == gateway.Tokened && row.TokenByZone && e.Zone != w.ranIn:
			o.breach(e, "tokened by zone, sent to another zone")
		}
		w.out, w.sentAt, w.zone = true, e.At, e.Zone
	case seen.Heard:
		w.out = false
		if !e.Outcome.NeverRan() && w.mayRun == gateway.Never {
			w.mayRun, w.ranIn = w.sentAt, w.zone
		}
	case seen.Ended:
		mayRun := w.out || w.mayRun != gateway.Never
		if e.End == seen.Rejected && mayRun && row.Repeat != gateway.Idempotent {
			o.breach(e, "rejected as harmless though it may have run")
		}
		if !w.out {
			delete(o.of, k)
		}
	}
}

func (o *twice) close(gateway.Micros) {}

// drain: nothing new goes to an endpoint later than the grace after its dispatcher heard that it drains.
type drain struct {
	teller
	t    Terms
	told map[told]gateway.Micros
}

type told struct {
	d  int32
	ep gateway.EndpointID
}

func (o *drain) Wants() []seen.What { return []seen.What{seen.Told, seen.Sent} }

func (o *drain) See(e *seen.Event) {
	k := told{e.Dispatcher, e.Endpoint}
	at, known := o.told[k]
	switch {
	case e.What == seen.Told && e.Standing == gateway.Listed:
		delete(o.told, k)
	case e.What == seen.Told && !known:
		o.told[k] = e.At
	case e.What == seen.Sent && known && e.At > at+o.t.DrainGrace:
		o.breach(e, "sent to endpoint %d, %.3f s after it was told to drain", e.Endpoint, (e.At - at).Seconds())
	}
}

func (o *drain) close(gateway.Micros) {}

// failback: a route back from an outage is not pushed over by those who had seen it fail.
type failback struct {
	teller
	t      Terms
	routes map[seen.Route]*returning
}

// returning is a route that is out, or has been back for less than its time to warm.
type returning struct {
	out     bool
	at      gateway.Micros
	perS    float64
	learned map[int32]bool
	came    []arrival
	sum     float64
	broken  bool
}

type arrival struct {
	at     gateway.Micros
	weight float64
	knew   bool
}

func (o *failback) Wants() []seen.What {
	return []seen.What{seen.OutageStart, seen.OutageOver, seen.Heard, seen.Reached}
}

func (o *failback) See(e *seen.Event) {
	r := o.routes[e.Route]
	switch e.What {
	case seen.OutageStart:
		o.routes[e.Route] = &returning{out: true, perS: e.Weight, learned: map[int32]bool{}}
		return
	case seen.OutageOver:
		if r != nil {
			r.out, r.at = false, e.At
		}
		return
	}
	if r == nil {
		return
	}
	if e.What == seen.Heard {
		if r.out && e.Outcome != gateway.Delivered && e.Outcome != gateway.NotSent {
			r.learned[e.Dispatcher] = true
		}
		return
	}
	if r.out {
		return
	}
	if e.At-r.at >= o.t.WarmAfter {
		delete(o.routes, e.Route)
		return
	}
	r.came = append(r.came, arrival{e.At, e.Weight, r.learned[e.Dispatcher]})
	r.sum += e.Weight
	for r.came[0].at <= e.At-o.t.TipAfter {
		r.sum -= r.came[0].weight
		r.came = r.came[1:]
	}
	share := o.t.StartCapacity + (1-o.t.StartCapacity)*float64(e.At-r.at)/float64(o.t.WarmAfter)
	budget := o.t.FallMultiple * share * r.perS * o.t.TipAfter.Seconds()
	if r.broken || r.sum <= budget+2+math.Sqrt(budget) {
		return
	}
	knew := 0.0
	for _, a := range r.came {
		if a.knew {
			knew += a.weight
		}
	}
	if knew >= r.sum*2/3 {
		r.broken = true
		o.breach(e, "%.1f calls reached it within %.1f s, %.1f of them from dispatchers that had seen it fail; "+
			"its budget, cold as it was %.1f s after its return, was %.1f", r.sum, o.t.TipAfter.Seconds(), knew,
			(e.At - r.at).Seconds(), budget)
	}
}

func (o *failback) close(gateway.Micros) {}

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
	key gateway.Key
}

type queue struct {
	in     []*ordered
	restTo gateway.Micros
}

type ordered struct {
	id          gateway.WebhookID
	out, over   bool
	sentAlready bool
}

func (o *order) Wants() []seen.What {
	return []seen.What{seen.Taken, seen.Resumed, seen.Sent, seen.Heard, seen.Ended, seen.Killed}
}

func (o *order) See(e *seen.Event) {
	if e.What == seen.Killed {
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
	if e.Key == 0 || !o.t.EventTypes[min(int(e.Type), len(o.t.EventTypes)-1)].Ordered {
		return
	}
	at := line{e.Dispatcher, e.Key}
	q := o.lines[at]
	if q == nil {
		q = &queue{restTo: gateway.Never}
		o.lines[at] = q
	}
	w := o.of[stayOf(e)]
	if w == nil {
		if e.What != seen.Taken && e.What != seen.Resumed {
			return
		}
		w = &ordered{id: e.Webhook, sentAlready: e.Attempt > 0}
		o.of[stayOf(e)] = w
		q.in = append(q.in, w)
	}
	switch e.What {
	case seen.Sent:
		if q.in[0] != w {
			o.breach(e, "sent while webhook %d of its key, taken before it, is not over", q.in[0].id)
		} else if !w.sentAlready && e.At < q.restTo {
			o.breach(e, "sent %.3f s before its key had rested", (q.restTo - e.At).Seconds())
		}
		w.out, w.sentAlready = true, true
	case seen.Heard:
		w.out = false
		if e.Outcome.MayStillRun() {
			q.restTo = max(q.restTo, e.At+o.t.TurnGap)
		}
	case seen.Ended:
		w.over = true
	}
	if w.over && !w.out {
		q.in = slices.DeleteFunc(q.in, func(x *ordered) bool { return x == w })
		delete(o.of, stayOf(e))
	}
}

func (o *order) close(gateway.Micros) {}

// wait: a dispatcher that was told to wait sends nothing there before the wait is over. It may send in the
// very microsecond in which it ends.
type wait struct {
	teller
	until map[toRoute]gateway.Micros
}

func (o *wait) Wants() []seen.What { return []seen.What{seen.Heard, seen.Sent, seen.Killed} }

func (o *wait) See(e *seen.Event) {
	k := toRouteOf(e)
	switch e.What {
	case seen.Heard:
		if e.Wait > 0 {
			o.until[k] = max(o.until[k], e.At+e.Wait)
		}
	case seen.Sent:
		if until := o.until[k]; e.At < until {
			o.breach(e, "sent %.6f s before the told wait was over", (until - e.At).Seconds())
		}
	case seen.Killed: // a restart ends the wait
		for k := range o.until {
			if k.d == e.Dispatcher {
				delete(o.until, k)
			}
		}
	}
}

func (o *wait) close(gateway.Micros) {}
