package invariant

import (
	"fmt"

	"gonum.org/v1/gonum/stat"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

const (
	enough    = 30  // pauses of a kind by which one can judge
	judgedTo  = 4   // retries from there on are few and mostly waits that were told
	sickFrom  = 3   // failures in a row after which more than the schedule may hold a webhook
	flat      = .9  // a later pause over the one before it, at the least
	sickAfter = 12  // failures in a row that make a destination sick for anybody who looks from outside
	most34    = .75 // of the slots, to one destination
	most12    = .5  // of the slots, to a sick one
	varies    = .2  // standard deviation of a pause by chance, over its mean
)

// pauses gives what lies between an outcome and the next try of the same webhook, where nothing but the
// schedule explains it: no told wait, and a route that was well for the dispatcher before, and stayed so.
type pauses struct {
	t     Terms
	heard map[stay]pause
	of    map[toRoute]*health
}

type pause struct {
	at  api.Micros
	try int
	on  *health
	row int // failures in a row there when it began
}

// health is a route as a dispatcher's outcomes show it.
type health struct {
	row         int
	okAt, illAt api.Micros
}

func newPauses(t Terms) pauses {
	return pauses{t, map[stay]pause{}, map[toRoute]*health{}}
}

var pausesWant = []event.Kind{event.AttemptEnded, event.AttemptStarted, event.Finished}

func (p *pauses) see(e *event.Event) (try int, long api.Micros, ok bool) {
	k := stayOf(e)
	switch e.Kind {
	case event.AttemptEnded:
		h := p.of[toRouteOf(e)]
		if h == nil {
			h = &health{okAt: api.Never, illAt: api.Never}
			p.of[toRouteOf(e)] = h
		}
		switch {
		case e.Outcome == api.Delivered:
			h.row, h.okAt = 0, e.At
			return
		case e.Outcome == api.NotSent:
			return
		}
		if h.row++; h.row >= sickFrom || e.RetryAfter > 0 {
			h.illAt = e.At
		}
		ill := h.illAt != api.Never && e.At-h.illAt < 2*p.t.SlowStartDuration
		if !ill && h.okAt != api.Never && e.At-h.okAt < p.t.OverloadDuration {
			p.heard[k] = pause{e.At, e.Attempt, h, h.row}
		}
	case event.AttemptStarted:
		if was, there := p.heard[k]; there {
			delete(p.heard, k)
			return was.try, e.At - was.at, was.on.row <= was.row && was.on.illAt < was.at
		}
	case event.Finished:
		delete(p.heard, k)
	}
	return 0, 0, false
}

// backoff: the pause before the next try grows from try to try.
type backoff struct {
	pauses
	by [judgedTo][]float64
}

func (o *backoff) Kinds() []event.Kind { return pausesWant }
func (o *backoff) Observe(e *event.Event) {
	if try, long, ok := o.see(e); ok && try < judgedTo {
		o.by[try] = append(o.by[try], long.Seconds())
	}
}

func (o *backoff) judge() Claim {
	c := Claim{Name: "backoff", Kept: true}
	last := 0.0
	for i, pauses := range o.by {
		if len(pauses) < enough {
			break
		}
		mean := stat.Mean(pauses, nil)
		c.Text += fmt.Sprintf(" %.3f", mean)
		if i == 0 && mean <= o.t.MinTurnInterval.Seconds() { // no pause at all
			c.Seen, c.Kept = true, false
		}
		if i > 0 { // in the late band pauses no longer grow
			c.Seen = true
			c.Kept = c.Kept && (i == 1 && mean > last || i > 1 && mean > flat*last)
		}
		last = mean
	}
	c.Text = "mean pause before each retry, s:" + c.Text
	return c
}

// jitter: pauses vary by chance.
type jitter struct {
	pauses
	first []float64
}

func (o *jitter) Kinds() []event.Kind { return pausesWant }
func (o *jitter) Observe(e *event.Event) {
	if try, long, ok := o.see(e); ok && try == 0 {
		o.first = append(o.first, long.Seconds())
	}
}

func (o *jitter) judge() Claim {
	c := Claim{Name: "jitter", Seen: len(o.first) >= enough, Kept: true}
	if c.Seen {
		mean, dev := stat.MeanStdDev(o.first, nil)
		c.Kept = dev > varies*mean && mean > o.t.MinTurnInterval.Seconds()
		c.Text = fmt.Sprintf("first retry waits %.3f s, standard deviation %.3f s", mean, dev)
	}
	return c
}

// destCap: calls in flight to one destination stay within three quarters of the slots.
type destCap struct {
	t     Terms
	out   outs
	worst int
}

func (o *destCap) Kinds() []event.Kind    { return []event.Kind{event.CallStarted, event.CallFinished} }
func (o *destCap) Observe(e *event.Event) { o.worst = max(o.worst, o.out.see(e)) }
func (o *destCap) judge() Claim {
	limit := most(most34, o.t.MaxInFlight)
	return Claim{Name: "dest_cap", Seen: o.worst > 0, Kept: o.worst <= limit,
		Text: fmt.Sprintf(
			"at most %d calls out to one destination, %d of %d slots allowed",
			o.worst,
			limit,
			o.t.MaxInFlight,
		)}
}

// isolates: a sick destination holds at most half of the slots. One is sick for a dispatcher once so many
// of its outcomes there failed in a row that no chance explains it; what was out before that may run on.
type isolates struct {
	t     Terms
	out   outs
	fails map[toRoute]int
	worst int
	seen  bool
}

func (o *isolates) Kinds() []event.Kind {
	return []event.Kind{event.CallStarted, event.CallFinished, event.AttemptEnded, event.Killed}
}

func (o *isolates) Observe(e *event.Event) {
	k := toRouteOf(e)
	switch e.Kind {
	case event.Killed:
		for k := range o.fails {
			if k.d == e.Dispatcher {
				delete(o.fails, k)
			}
		}
	case event.AttemptEnded:
		switch e.Outcome {
		case api.Delivered:
			delete(o.fails, k)
		case api.NotSent:
		default:
			o.fails[k]++
		}
	default:
		n := o.out.see(e)
		if e.Kind == event.CallStarted && o.fails[k] >= sickAfter {
			o.seen, o.worst = true, max(o.worst, n)
		}
	}
}

func (o *isolates) judge() Claim {
	limit := most(most12, o.t.MaxInFlight)
	return Claim{Name: "isolates", Seen: o.seen, Kept: o.worst <= limit,
		Text: fmt.Sprintf("at most %d calls out to a sick destination, %d of %d slots allowed", o.worst, limit,
			o.t.MaxInFlight)}
}
