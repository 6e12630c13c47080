package policy

import (
	"cmp"
	"slices"

	"rowanlink/internal/backoff"
	"rowanlink/webhook/api"
)

// AttemptEnded takes what came of an attempt, back through the stages from the last.
func (c *Control) AttemptEnded(id api.WebhookID, ep api.EndpointID, what api.Outcome,
	took api.Micros, ended bool, wait api.Micros) {
	c.now = c.host.Now()
	w := c.held[id]
	if w == nil || w.call == nil {
		return
	}
	k, r := w.call, w.call.ep.route
	w.call = nil
	// Guards a told wait: webhooks that shared a call may each be told another one, and the longest holds.
	if wait > 0 {
		r.waitUntil = max(r.waitUntil, c.now+wait+1)
	}
	if !k.judged {
		k.judged = true
		c.judge(k.ep, what, took, wait)
	}
	c.callBack(k)
	if !what.NeverRan() && w.mayRun == never {
		w.mayRun, w.zone = w.sentAt, k.ep.zone
	}
	if t := c.turns[w.key]; t != nil && w.evt.Ordered && what.MayStillRun() {
		t.restUntil = max(t.restUntil, c.now+c.OrderingGap)
		c.dues.Add(int64(t.restUntil), nil)
	}
	if ended || w.ended {
		c.forget(w)
		return
	}
	c.retry(w)
}

// hangUp closes idle connections that keep other dispatchers out, as soon as a call ends with none to follow:
// endpoints of a kind where one was missed of late may take few, the whole fleet's counted, and hundreds that
// rest for half a second fill them. Not where the calls at the stated rate need one for each.
func (c *Control) hangUp(e *endpoint) (closed bool) {
	atOnce := e.route.stated * e.route.mean / float64(api.Second) * float64(c.Dispatchers)
	few := max(connsBy*atOnce/float64(len(e.dest.endpoints)), connsLeast) < float64(c.Dispatchers)
	if closed = few && e.listed && c.now < e.dest.kind.crowded && e.out == 0; closed {
		c.host.CloseIdleConnections(e.id)
	}
	return closed
}

// judge counts the fate of a call, once for all the webhooks in it.
func (c *Control) judge(e *endpoint, what api.Outcome, took, wait api.Micros) {
	r := e.route
	r.heardAt, r.wakeAt = c.now, 0
	// Guards against a cap taken for an outage where the port can't tell them apart: who is silent takes the
	// whole time-out. One that crashed refuses as quickly; it is found as one that is crowded for long.
	if what == api.ConnectFailed && !c.ConnectionLimitsReported && took < c.ConnectTimeout/2 {
		what = api.ConnectionLimited
	}
	// Only a cap answers; who is silent says nothing of one.
	if what == api.ConnectionLimited || what == api.ConnectFailed && took < c.ConnectTimeout/2 {
		e.dest.kind.crowded = c.now + crowdedFor*c.SlowStartDuration
	}
	switch what {
	case api.Delivered:
		e.mean, r.mean, c.mean = blend(e.mean, took), blend(r.mean, took), blend(c.mean, took)
		if r.loose {
			e.dest.kind.trickle = min(e.dest.kind.trickle*(1+paceStep), 1/c.events[0].LatencyTarget.Seconds())
		}
		e.fails, e.okAt, r.okAt, r.refused = 0, c.now, c.now, 0
		e.limit += smooth // a failed connect may have been a stray one
		r.failing, r.lost = (1-smooth)*r.failing, (1-smooth)*r.lost
		c.lost -= smooth / 4 * c.lost
		r.window = backoff.Grow(r.window, 1, float64(c.MaxInFlight))
		// A stated rate may be far too low: where the queue is longer than the pace can carry within the target
		// latency, and nothing was refused for long, seek.
		step, q := paceStep, e.dest.queue
		if len(q) > 0 && float64(len(q)) > r.pace*q[0].evt.LatencyTarget.Seconds() && c.now-r.cutAt > c.SlowStartDuration {
			step = paceSeek
		}
		r.pace += step
		c.recover(r)
	case api.Rejected:
		r.window = backoff.Halve(r.window)
		r.refused++
		if r.loose && wait < c.OverloadDuration {
			e.dest.kind.trickle *= paceCut
		}
		// Guards against refusals that use up the limit: no other webhook follows at once, and the pace falls.
		r.tokens = min(r.tokens, 0.5-c.chance.Float64())
		if c.now-r.cutAt > api.Second/2 {
			r.cutAt = c.now
			r.pace = max(r.pace*paceCut, r.stated*paceLeast)
		}
		// Shut and limited look alike but for length: a wait longer than a cold destination would need to
		// fall, or refusals and nothing else for a while, is taken for an outage.
		if wait > c.OverloadDuration || r.refused >= fullRow {
			c.sicken(r)
		}
	case api.NotSent:
	case api.ConnectionLimited:
		// It runs, so that nothing is cold; only where nothing else comes for long may this be how it is shut.
		e.limit = float64(max(e.out-1, 1))
		r.tokens = min(r.tokens, 0)
		if r.refused++; r.refused >= fullRow && c.now-r.okAt > c.OverloadDuration {
			c.sicken(r)
		}
	default:
		// A cap on connections is no outage: calls succeed beside it. It grows with them: it may start one. Where
		// caps are told this is none, and counts as the failure that it is.
		if what == api.ConnectFailed && c.now-e.okAt < 2*c.ConnectTimeout {
			if e.limit = float64(max(e.out-1, 1)); !c.ConnectionLimitsReported {
				return
			}
		}
		alone := c.now-e.brokeAt > api.Micros(r.mean)
		if e.brokeAt = c.now; what == api.ConnectionReset && alone && c.now-e.okAt < c.OverloadDuration {
			c.host.CloseIdleConnections(e.id) // one that breaks alone beside deliveries: others there may have ended unseen
			return
		}
		if what == api.TimedOut || what == api.Cancelled {
			r.window = backoff.Halve(r.window)
			r.lost += smooth * (1 - r.lost)
			if e.fails == 0 { // strays alone: a hang's many time-outs say nothing of the other destinations
				c.lost += smooth / 4 * (1 - c.lost)
			}
		}
		// What an endpoint left out fails says nothing more of the route, nor a connection that breaks by itself.
		if e.fails++; e.fails <= sickRow && (what != api.ConnectionReset || c.now-e.okAt > c.OverloadDuration) {
			r.failing += smooth * (1 - r.failing)
		}
		if e.fails >= sickRow {
			e.tryAt = c.now + c.canaryPause(r)
		}
		// One endpoint that fails among well ones is left out by itself: the route is sick when none is well. Where
		// calls are too few to tell, a failure where nothing came back well of late is taken for an outage.
		well := func(o *endpoint) bool { return o.route == r && o.fails < sickRow }
		stray := r.failing <= smooth && what != api.ConnectFailed // a lone one, by something that answers
		// Of many dispatchers hardly one sees two in a short outage: where caps are told and no endpoint
		// answers, one connect that fails will do.
		answers := func(o *endpoint) bool { return o.route == r && o.fails == 0 }
		gone := c.ConnectionLimitsReported && what == api.ConnectFailed && !slices.ContainsFunc(e.dest.endpoints, answers)
		if !slices.ContainsFunc(e.dest.endpoints, well) {
			c.sicken(r)
		} else if !r.sick && (r.failing > sickAt || gone || !stray && c.now-r.okAt > c.OverloadDuration) {
			c.chill(r)
		}
	}
}

// chill lets a route have a returning destination's rate. The first call comes by chance, not by the clock.
func (c *Control) chill(r *route) {
	r.coldSince, r.tokens, r.tokensAt = c.now, c.chance.Float64(), c.now
}

// sicken closes a route but for canaries. It covers whatever makes calls fail in a row: destinations crashed,
// shut, hung or failing. It could do harm where failures cluster by chance; a canary's success ends it.
func (c *Control) sicken(r *route) {
	r.window = 1
	// From the end of a told wait, which comes for all dispatchers at once.
	r.tryAt = max(r.tryAt, max(c.now, r.waitUntil)+c.canaryPause(r))
	if !r.sick {
		r.sick = true
		c.log("endpoint %d: destination sick", r.name)
	}
}

// recover lets a sick route out into the cold: it grows from a canary to its full pace as a returning
// destination warms, and is well when that time has passed.
func (c *Control) recover(r *route) {
	if r.sick {
		r.sick, r.coldSince, r.tokens = false, c.now, 0
		r.failing = min(r.failing, sickAt/2)
		r.pace = max(r.pace, r.stated) // refusals while it was shut said nothing of its limit
		c.log("endpoint %d: destination cold", r.name)
	}
	if r.coldSince != never && c.now-r.coldSince > c.SlowStartDuration {
		r.coldSince = never
		c.log("endpoint %d: destination well", r.name)
	}
}

// blend smooths a measured time; the first one stands for itself.
func blend(mean float64, took api.Micros) float64 {
	mean = cmp.Or(mean, float64(took))
	return mean + smooth*(float64(took)-mean)
}
