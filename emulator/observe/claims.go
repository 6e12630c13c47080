package observe

import (
	"fmt"

	"gonum.org/v1/gonum/stat"

	"rowanlink/emulator/seen"
	"rowanlink/gateway"
)

const (
	enough    = 30  // pauses of a kind by which one can judge
	judgedTo  = 4   // retries from there on are few and mostly waits that were told
	sickAfter = 12  // failures in a row that make a destination sick for anybody who looks from outside
	most34    = .75 // of the slots, to one destination
	most12    = .5  // of the slots, to a sick one
	varies    = .2  // standard deviation of a pause by chance, over its mean
)

// pause is what lies between an outcome and the next try of the same webhook.
type pause struct {
	at   gateway.Micros
	try  int
	told bool // a wait was told, which is not the schedule's
}

// seePause gives the pause that a send ends, if it ends one.
func seePause(heard map[stay]pause, e *seen.Event) (p pause, long gateway.Micros, ok bool) {
	k := stayOf(e)
	switch e.What {
	case seen.Heard:
		if e.Outcome != gateway.Delivered && e.Outcome != gateway.NotSent {
			heard[k] = pause{e.At, e.Attempt, e.Wait > 0}
		}
	case seen.Sent:
		if p, ok = heard[k]; ok {
			delete(heard, k)
			return p, e.At - p.at, !p.told
		}
	case seen.Ended:
		delete(heard, k)
	}
	return p, 0, false
}

var pausesWant = []seen.What{seen.Heard, seen.Sent, seen.Ended}

// backoff: the pause before the next try grows from try to try.
type backoff struct {
	t     Terms
	heard map[stay]pause
	by    [judgedTo][]float64
}

func (o *backoff) Wants() []seen.What { return pausesWant }
func (o *backoff) See(e *seen.Event) {
	if p, long, ok := seePause(o.heard, e); ok && p.try < judgedTo {
		o.by[p.try] = append(o.by[p.try], long.Seconds())
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
		if i > 0 {
			c.Seen = true
			c.Kept = c.Kept && mean > last
		}
		last = mean
	}
	c.Text = "mean pause before each retry, s:" + c.Text
	return c
}

// jitter: pauses vary by chance.
type jitter struct {
	heard map[stay]pause
	first []float64
}

func (o *jitter) Wants() []seen.What { return pausesWant }
func (o *jitter) See(e *seen.Event) {
	if p, long, ok := seePause(o.heard, e); ok && p.try == 0 {
		o.first = append(o.first, long.Seconds())
	}
}

func (o *jitter) judge() Claim {
	c := Claim{Name: "jitter", Seen: len(o.first) >= enough, Kept: true}
	if c.Seen {
		mean, dev := stat.MeanStdDev(o.first, nil)
		c.Kept = dev > varies*mean
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

func (o *destCap) Wants() []seen.What { return []seen.What{seen.CallOut, seen.CallBack} }
func (o *destCap) See(e *seen.Event)  { o.worst = max(o.worst, o.out.see(e)) }
func (o *destCap) judge() Claim {
	limit := most(most34, o.t.Slots)
	return Claim{Name: "dest_cap", Seen: o.worst > 0, Kept: o.worst <= limit,
		Text: fmt.Sprintf("at most %d calls out to one destination, %d of %d slots allowed", o.worst, limit, o.t.Slots)}
}

// isolates: a sick destination holds at most half of the slots. One is sick for a dispatcher once so many of its
// outcomes there failed in a row that no chance explains it; what was out before that may run on.
type isolates struct {
	t     Terms
	out   outs
	fails map[toRoute]int
	worst int
	seen  bool
}

func (o *isolates) Wants() []seen.What {
	return []seen.What{seen.CallOut, seen.CallBack, seen.Heard, seen.Killed}
}

func (o *isolates) See(e *seen.Event) {
	k := toRouteOf(e)
	switch e.What {
	case seen.Killed:
		for k := range o.fails {
			if k.d == e.Dispatcher {
				delete(o.fails, k)
			}
		}
	case seen.Heard:
		switch e.Outcome {
		case gateway.Delivered:
			delete(o.fails, k)
		case gateway.NotSent:
		default:
			o.fails[k]++
		}
	default:
		n := o.out.see(e)
		if e.What == seen.CallOut && o.fails[k] >= sickAfter {
			o.seen, o.worst = true, max(o.worst, n)
		}
	}
}

func (o *isolates) judge() Claim {
	limit := most(most12, o.t.Slots)
	return Claim{Name: "isolates", Seen: o.seen, Kept: o.worst <= limit,
		Text: fmt.Sprintf("at most %d calls out to a sick destination, %d of %d slots allowed", o.worst, limit,
			o.t.Slots)}
}
