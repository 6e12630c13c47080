package invariant

import (
	"fmt"

	"gonum.org/v1/gonum/stat"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

const (
	minSamples           = 30  // delays of a kind that are enough to judge by
	judgedRetries        = 4   // later retries are few, and mostly wait for a Retry-After time
	unhealthyAfter       = 3   // failures in a row after which not only the backoff delays a webhook
	minGrowth            = .9  // mean delay over that of the retry before
	surelyUnhealthyAfter = 12  // failures in a row that randomness doesn't explain
	destinationShare     = .75 // of the slots, for one destination
	unhealthyShare       = .5  // of the slots, for an unhealthy destination
	minVariation         = .2  // standard deviation of a delay over its mean
)

// retryDelays measures the delay between the outcome of an attempt and the next attempt, where only the backoff explains
// it: without a Retry-After time, on a route that was healthy for the dispatcher before and stayed so.
type retryDelays struct {
	thresholds   Thresholds
	lastOutcomes map[webhookKey]pendingRetry
	health       map[routeKey]*routeHealth
}

type pendingRetry struct {
	at            api.Micros
	attempt       int
	health        *routeHealth
	failuresInRow int // of the route, then
}

// routeHealth is the health of a route by the outcomes of one dispatcher.
type routeHealth struct {
	failuresInRow   int
	lastSuccessAt   api.Micros
	lastUnhealthyAt api.Micros
}

// retryDelay is a measured delay before the next attempt.
type retryDelay struct {
	attempt int // that failed
	delay   api.Micros
}

func newRetryDelays(thresholds Thresholds) retryDelays {
	return retryDelays{
		thresholds:   thresholds,
		lastOutcomes: map[webhookKey]pendingRetry{},
		health:       map[routeKey]*routeHealth{},
	}
}

var retryDelayKinds = []event.Kind{event.AttemptEnded, event.AttemptStarted, event.Finished}

// observe returns the delay that ends with the event, if there is one that only the backoff explains.
func (p *retryDelays) observe(e *event.Event) (measured retryDelay, ok bool) {
	key := webhookKeyOf(e)
	switch e.Kind {
	case event.AttemptEnded:
		p.recordOutcome(e)
	case event.AttemptStarted:
		last, pending := p.lastOutcomes[key]
		if !pending {
			return retryDelay{}, false
		}
		delete(p.lastOutcomes, key)
		stayedHealthy := last.health.failuresInRow <= last.failuresInRow && last.health.lastUnhealthyAt < last.at
		return retryDelay{last.attempt, e.At - last.at}, stayedHealthy
	case event.Finished:
		delete(p.lastOutcomes, key)
	}
	return retryDelay{}, false
}

func (p *retryDelays) recordOutcome(e *event.Event) {
	h := p.health[routeKeyOf(e)]
	if h == nil {
		h = &routeHealth{lastSuccessAt: api.Never, lastUnhealthyAt: api.Never}
		p.health[routeKeyOf(e)] = h
	}
	switch e.Outcome {
	case api.Delivered:
		h.failuresInRow = 0
		h.lastSuccessAt = e.At
		return
	case api.NotSent:
		return
	}
	h.failuresInRow++
	if h.failuresInRow >= unhealthyAfter || e.RetryAfter > 0 {
		h.lastUnhealthyAt = e.At
	}
	unhealthy := h.lastUnhealthyAt != api.Never && e.At-h.lastUnhealthyAt < 2*p.thresholds.SlowStartDuration
	succeeded := h.lastSuccessAt != api.Never && e.At-h.lastSuccessAt < p.thresholds.OverloadDuration
	if succeeded && !unhealthy {
		p.lastOutcomes[webhookKeyOf(e)] = pendingRetry{e.At, e.Attempt, h, h.failuresInRow}
	}
}

// backoff judges the claim that the delay before a retry grows from retry to retry.
type backoff struct {
	retryDelays
	delays [judgedRetries][]float64
}

// Kinds returns the kinds of events that the checker needs.
func (o *backoff) Kinds() []event.Kind { return retryDelayKinds }

// Observe measures one event.
func (o *backoff) Observe(e *event.Event) {
	if measured, ok := o.observe(e); ok && measured.attempt < judgedRetries {
		o.delays[measured.attempt] = append(o.delays[measured.attempt], measured.delay.Seconds())
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
		if i == 0 && mean <= o.thresholds.MinTurnInterval.Seconds() { // no delay at all
			c.Conclusive, c.Holds = true, false
		}
		if i > 0 { // delays near the limit no longer grow
			c.Conclusive = true
			c.Holds = c.Holds && (i == 1 && mean > last || i > 1 && mean > minGrowth*last)
		}
		last = mean
	}
	c.Text = "mean pause before each retry, s:" + c.Text
	return c
}

// jitter judges the claim that delays vary at random.
type jitter struct {
	retryDelays
	firstDelays []float64
}

// Kinds returns the kinds of events that the checker needs.
func (o *jitter) Kinds() []event.Kind { return retryDelayKinds }

// Observe measures one event.
func (o *jitter) Observe(e *event.Event) {
	if measured, ok := o.observe(e); ok && measured.attempt == 0 {
		o.firstDelays = append(o.firstDelays, measured.delay.Seconds())
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

// destinationCap judges the claim that the active calls to one destination are at most three quarters of the slots.
type destinationCap struct {
	thresholds Thresholds
	active     activeCalls
	most       int
}

// Kinds returns the kinds of events that the checker needs.
func (o *destinationCap) Kinds() []event.Kind {
	return []event.Kind{event.CallStarted, event.CallFinished}
}

// Observe measures one event.
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

// isolation judges the claim that an unhealthy destination has at most half of the slots. One is unhealthy for a
// dispatcher once more attempts in a row failed than randomness explains; calls active before don't count.
type isolation struct {
	thresholds    Thresholds
	active        activeCalls
	failuresInRow map[routeKey]int
	most          int
	conclusive    bool
}

// Kinds returns the kinds of events that the checker needs.
func (o *isolation) Kinds() []event.Kind {
	return []event.Kind{event.CallStarted, event.CallFinished, event.AttemptEnded, event.Killed}
}

// Observe measures one event.
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
