package invariant

import (
	"fmt"

	"gonum.org/v1/gonum/stat"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

const (
	minSamples           = 30  // pauses of a kind by which one can judge
	judgedRetries        = 4   // retries from there on are few and mostly waits that were told
	unhealthyAfter       = 3   // failures in a row after which more than the schedule may hold a webhook
	minGrowth            = .9  // a later pause over the one before it, at the least
	surelyUnhealthyAfter = 12  // failures in a row that make a destination sick for anybody who looks from outside
	destinationShare     = .75 // of the slots, to one destination
	unhealthyShare       = .5  // of the slots, to a sick one
	minVariation         = .2  // standard deviation of a pause by chance, over its mean
)

// retryDelays gives what lies between an outcome and the next try of the same webhook, where nothing but the
// schedule explains it: no told wait, and a route that was well for the dispatcher before, and stayed so.
type retryDelays struct {
	thresholds   Thresholds
	lastOutcomes map[webhookKey]pendingRetry
	health       map[routeKey]*routeHealth
}

type pendingRetry struct {
	at            api.Micros
	attempt       int
	health        *routeHealth
	failuresInRow int // failures in a row there when it began
}

// routeHealth is a route as a dispatcher's outcomes show it.
type routeHealth struct {
	failuresInRow                  int
	lastSuccessAt, lastUnhealthyAt api.Micros
}

func newRetryDelays(thresholds Thresholds) retryDelays {
	return retryDelays{thresholds, map[webhookKey]pendingRetry{}, map[routeKey]*routeHealth{}}
}

var retryDelayKinds = []event.Kind{event.AttemptEnded, event.AttemptStarted, event.Finished}

func (p *retryDelays) observe(e *event.Event) (try int, long api.Micros, ok bool) {
	k := webhookKeyOf(e)
	switch e.Kind {
	case event.AttemptEnded:
		h := p.health[routeKeyOf(e)]
		if h == nil {
			h = &routeHealth{lastSuccessAt: api.Never, lastUnhealthyAt: api.Never}
			p.health[routeKeyOf(e)] = h
		}
		switch {
		case e.Outcome == api.Delivered:
			h.failuresInRow, h.lastSuccessAt = 0, e.At
			return
		case e.Outcome == api.NotSent:
			return
		}
		if h.failuresInRow++; h.failuresInRow >= unhealthyAfter || e.RetryAfter > 0 {
			h.lastUnhealthyAt = e.At
		}
		ill := h.lastUnhealthyAt != api.Never && e.At-h.lastUnhealthyAt < 2*p.thresholds.SlowStartDuration
		if !ill && h.lastSuccessAt != api.Never && e.At-h.lastSuccessAt < p.thresholds.OverloadDuration {
			p.lastOutcomes[k] = pendingRetry{e.At, e.Attempt, h, h.failuresInRow}
		}
	case event.AttemptStarted:
		if was, there := p.lastOutcomes[k]; there {
			delete(p.lastOutcomes, k)
			return was.attempt, e.At - was.at, was.health.failuresInRow <= was.failuresInRow && was.health.lastUnhealthyAt < was.at
		}
	case event.Finished:
		delete(p.lastOutcomes, k)
	}
	return 0, 0, false
}

// backoff: the pause before the next try grows from try to try.
type backoff struct {
	retryDelays
	delays [judgedRetries][]float64
}

func (o *backoff) Kinds() []event.Kind { return retryDelayKinds }
func (o *backoff) Observe(e *event.Event) {
	if try, long, ok := o.observe(e); ok && try < judgedRetries {
		o.delays[try] = append(o.delays[try], long.Seconds())
	}
}

func (o *backoff) judge() Claim {
	c := Claim{Name: "backoff", Holds: true}
	last := 0.0
	for i, pauses := range o.delays {
		if len(pauses) < minSamples {
			break
		}
		mean := stat.Mean(pauses, nil)
		c.Text += fmt.Sprintf(" %.3f", mean)
		if i == 0 && mean <= o.thresholds.MinTurnInterval.Seconds() { // no pause at all
			c.Conclusive, c.Holds = true, false
		}
		if i > 0 { // in the late band pauses no longer grow
			c.Conclusive = true
			c.Holds = c.Holds && (i == 1 && mean > last || i > 1 && mean > minGrowth*last)
		}
		last = mean
	}
	c.Text = "mean pause before each retry, s:" + c.Text
	return c
}

// jitter: pauses vary by chance.
type jitter struct {
	retryDelays
	firstDelays []float64
}

func (o *jitter) Kinds() []event.Kind { return retryDelayKinds }
func (o *jitter) Observe(e *event.Event) {
	if try, long, ok := o.observe(e); ok && try == 0 {
		o.firstDelays = append(o.firstDelays, long.Seconds())
	}
}

func (o *jitter) judge() Claim {
	c := Claim{Name: "jitter", Conclusive: len(o.firstDelays) >= minSamples, Holds: true}
	if c.Conclusive {
		mean, dev := stat.MeanStdDev(o.firstDelays, nil)
		c.Holds = dev > minVariation*mean && mean > o.thresholds.MinTurnInterval.Seconds()
		c.Text = fmt.Sprintf("first retry waits %.3f s, standard deviation %.3f s", mean, dev)
	}
	return c
}

// destinationCap: calls in flight to one destination stay within three quarters of the slots.
type destinationCap struct {
	thresholds Thresholds
	active     activeCalls
	most       int
}

func (o *destinationCap) Kinds() []event.Kind {
	return []event.Kind{event.CallStarted, event.CallFinished}
}
func (o *destinationCap) Observe(e *event.Event) { o.most = max(o.most, o.active.observe(e)) }
func (o *destinationCap) judge() Claim {
	limit := shareOfSlots(destinationShare, o.thresholds.MaxInFlight)
	return Claim{Name: "dest_cap", Conclusive: o.most > 0, Holds: o.most <= limit,
		Text: fmt.Sprintf(
			"at most %d calls out to one destination, %d of %d slots allowed",
			o.most,
			limit,
			o.thresholds.MaxInFlight,
		)}
}

// isolates: a sick destination holds at most half of the slots. One is sick for a dispatcher once so many
// of its outcomes there failed in a row that no chance explains it; what was out before that may run on.
type isolation struct {
	thresholds    Thresholds
	active        activeCalls
	failuresInRow map[routeKey]int
	most          int
	conclusive    bool
}

func (o *isolation) Kinds() []event.Kind {
	return []event.Kind{event.CallStarted, event.CallFinished, event.AttemptEnded, event.Killed}
}

func (o *isolation) Observe(e *event.Event) {
	k := routeKeyOf(e)
	switch e.Kind {
	case event.Killed:
		for k := range o.failuresInRow {
			if k.dispatcher == e.Dispatcher {
				delete(o.failuresInRow, k)
			}
		}
	case event.AttemptEnded:
		switch e.Outcome {
		case api.Delivered:
			delete(o.failuresInRow, k)
		case api.NotSent:
		default:
			o.failuresInRow[k]++
		}
	default:
		n := o.active.observe(e)
		if e.Kind == event.CallStarted && o.failuresInRow[k] >= surelyUnhealthyAfter {
			o.conclusive, o.most = true, max(o.most, n)
		}
	}
}

func (o *isolation) judge() Claim {
	limit := shareOfSlots(unhealthyShare, o.thresholds.MaxInFlight)
	return Claim{Name: "isolates", Conclusive: o.conclusive, Holds: o.most <= limit,
		Text: fmt.Sprintf("at most %d calls out to a sick destination, %d of %d slots allowed", o.most, limit,
			o.thresholds.MaxInFlight)}
}
