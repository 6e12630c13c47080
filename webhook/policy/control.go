// Package policy is the decision module: every decision, table and tuned value of rowanlink is in its files,
// named under policy in deploy/balancer.toml; state.go has the records kept.
//
// Callers make one instance a dispatcher with New and call it turn by turn through gateway.Module: the
// endpoint list, webhooks taken or resumed, outcomes, withdrawals, wakes, and EndTurn when all of one
// moment was told. It acts through gateway.Host. Nothing is shared between instances.
//
// A webhook passes a chain of stages - order, schedule, slots, endpoint, send - each of which passes it on
// or holds it until a later turn. An outcome runs back through them from the last. Whatever holds a webhook,
// its due time ends it. docs/design.md tells what is the design's, what is an exception, and when it acts.
package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"rowanlink/internal/mwcrand"
	"rowanlink/webhook/api"
)

// The tuned values. docs/design.md tells what each trades and how flat the result is around it.
const (
	maxBackoffShare          = 0.25 // m, as a share of the tightest of TTL and token window
	attemptTimeoutShare      = 0.7  // patience, as a share of the tightest of TTL and token window
	timeoutCutPerLoss        = 6.0  // how fast patience shrinks with the share of answers lost
	tailLatencyFactor        = 6.0  // it shrinks to so many answer times, to minTailShare of them where many are lost
	minTailShare             = 1.0 / 3
	unresponsiveFactor       = 4.0 // so many times the usual answer time is slow, or the expected gap between two is silent
	smoothing                = 1.0 / 8
	rateDecrease             = 0.8  // pace after a refusal
	rateIncrease             = 0.03 // pace regained a second while all goes well, as a share
	rateProbeIncrease        = 0.12 // the same where webhooks pile up and nothing was refused for long
	minRateShare             = 1.0 / 2
	burstSeconds             = 0.5  // seconds of pace that may be sent at once
	unhealthyAfterFailures   = 3    // failures in a row that make a route or endpoint sick
	unhealthyAfterRejections = 6    // refusals in a row that do
	unhealthyFailureRate     = 0.5  // share of failed calls that does
	minCanaryShare           = 0.1  // least pause between canaries, over the time to warm; the longest is that time
	headroomHalvings         = 3    // told room halves so often more with each refusal in a row
	slowStartSpansPerCall    = 2.0  // times to warm for one call at the least into the cold
	slowStartBudgetShare     = 0.75 // of the budget of a cold route that is used
	remoteZonePenalty        = 1.2  // weight of another zone's answer times in the ranked order
	quotaBurstSeconds        = 2.0  // seconds of a tenant's share that may come at once
	maxBufferFill            = 0.9  // of the buffer
	connectionsPerCall       = 2.0  // connections that an endpoint takes, over its calls at once at the stated rate
	minConnections           = 6.0  // and at the least
	stallTicks               = 20   // ticks late with its own timer, the dispatcher has stood still
	connectionLimitMemory    = 10   // warming times that a failed connect at a kind of destination counts for all of it
)

// New starts a dispatcher that knows nothing but the facts.
func New(f api.Settings, host api.Host) *Policy {
	c := &Policy{host: host, random: mwcrand.New(f.Seed), now: host.Now(), timerArmedAt: math.MaxInt64,
		webhooks: map[api.WebhookID]*webhook{}, destinations: map[api.DestinationID]*destination{},
		endpoints: map[api.EndpointID]*endpoint{}, sequences: map[api.OrderingKey]*sequence{}, kinds: []*destinationKind{{}}}
	c.stages = []func(*webhook) stageResult{c.checkOrdering, c.checkBackoff, c.checkConcurrency, c.selectEndpoint, c.send}
	c.UpdateSettings(f)
	c.TimerFired(timerPeriod)
	return c
}

// UpdateSettings takes facts, at the start and while it runs; those left out are made harmless. Webhooks taken keep
// their terms, what was learned stays, and what is held or out beyond a lower limit drains.
func (c *Policy) UpdateSettings(f api.Settings) {
	c.now = c.host.Now()
	f.Dispatchers, f.MaxInFlight, f.BufferSize = max(f.Dispatchers, 1), max(f.MaxInFlight, 1), max(f.BufferSize, 1)
	f.MaxAttempts, f.MinTurnInterval = max(f.MaxAttempts, 1), max(f.MinTurnInterval, 1)
	f.SlowStartDuration, f.OverloadDuration = max(f.SlowStartDuration, api.Second), max(f.OverloadDuration, api.Second)
	if f.SlowStartCapacity <= 0 || f.OverloadFactor <= 0 {
		f.SlowStartCapacity, f.OverloadFactor = 0.1, 1
	}
	was, routes := float64(c.Dispatchers)/float64(f.Dispatchers), map[*route]bool{}
	for _, e := range c.endpoints { // parts of rates are of the fleet
		routes[cmp.Or(e.route, &route{})] = true
	}
	for r := range routes {
		r.listedRate, r.rate = r.listedRate*was, r.rate*was
	}
	for _, d := range c.destinationList {
		d.listedRate *= was
	}
	c.Settings, c.grandfathered, c.eventTypes = f, c.unanswered, nil
	unnamed := api.EventType{TTL: f.SlowStartDuration, LatencyTarget: f.OverloadDuration, Semantics: api.AtMostOnce}
	for _, t := range append(slices.Clone(f.EventTypes), unnamed) { // the last row serves those not named
		tightest := t.TTL
		if t.Semantics == api.Deduplicated {
			tightest = min(tightest, t.DedupWindow)
		}
		reach := max(api.Micros(attemptTimeoutShare*float64(tightest)), 1)
		c.eventTypes = append(c.eventTypes, eventTypePolicy{t, maxBackoffShare * tightest.Seconds(), reach})
	}
	for i, k := range f.DestinationKinds {
		if i == len(c.kinds)-1 { // the last row serves kinds not named
			c.kinds = slices.Insert(c.kinds, i, &destinationKind{})
		}
		c.kinds[i].DestinationKind = k
	}
	for _, k := range c.kinds {
		k.BatchSize, k.fallbackRate = max(k.BatchSize, 1), cmp.Or(k.fallbackRate, 1/c.eventTypes[0].LatencyTarget.Seconds())
	}
	c.quotas = nil
	for _, perS := range f.TenantRates {
		perS /= float64(f.Dispatchers)
		c.quotas = append(c.quotas, tenantQuota{rate: perS, tokens: perS * quotaBurstSeconds, updatedAt: c.now})
	}
}

// EndTurn sends what may go now.
func (c *Policy) EndTurn() {
	c.now, c.turnNumber = c.host.Now(), c.turnNumber+1
	for w, ok := c.timers.PopDue(int64(c.now)); ok; w, ok = c.timers.PopDue(int64(c.now)) {
		// Guards against a webhook lost: whatever holds it, it ends in time.
		if w != nil && w.call != nil {
			c.cancelIfUnresponsive(w)
		} else if w != nil && !w.finished && c.now >= c.latestSend(w) {
			c.giveUp(w)
		}
	}
	c.ready = c.ready[:0]
	// In the order of first hearing, as ties below are broken by it; those that nothing waits for cost nothing.
	slices.SortFunc(c.backlogged, func(a, b *destination) int { return a.index - b.index })
	for _, d := range c.backlogged {
		d.removeDequeued()
		shut := !d.kind.SeparateRoutes && c.now < d.sharedRoute.wakeUpAt // nothing to look at before, but for an outcome
		if !shut && slices.ContainsFunc(d.endpoints, c.admits) {
			c.ready = append(c.ready, d.queue...)
		}
	}
	slices.SortStableFunc(c.ready, c.comparePriority)
	for _, w := range c.ready {
		for i := 0; i < len(c.stages) && c.stages[i](w) == proceed; i++ {
		}
	}
	for _, d := range c.backlogged {
		d.removeDequeued() // now, so that one sent and back before the next turn does not stand here twice
	}
	for _, e := range c.finishedEndpoints {
		c.closeIdleConnections(e)
	}
	c.finishedEndpoints = c.finishedEndpoints[:0]
	c.shedLoad()
	c.backlogged = slices.DeleteFunc(c.backlogged, func(d *destination) bool {
		d.backlogged = len(d.queue) > 0
		return !d.backlogged
	})
	if at, ok := c.timers.Next(); ok && api.Micros(at) < c.timerArmedAt {
		c.timerArmedAt = api.Micros(at)
		c.host.SetTimer(max(c.timerArmedAt-c.now, 1), timerDue)
	}
}

func (c *Policy) TimerFired(timer api.TimerID) {
	c.now = c.host.Now()
	if timer == timerDue {
		c.timerArmedAt = math.MaxInt64
		return
	}
	if stood := c.now - c.nextPeriodicAt; stood >= stallTicks*c.MinTurnInterval {
		c.respreadAfterStall(stood)
	}
	c.nextPeriodicAt = c.now + api.Second/2
	c.host.SetTimer(api.Second/2, timerPeriod)
	for _, d := range c.destinationList {
		c.rankEndpoints(d)
	}
	c.connectedEndpoints = slices.DeleteFunc(c.connectedEndpoints, func(e *endpoint) bool {
		e.connected = !c.closeIdleConnections(e)
		return !e.connected
	})
	// Guards against keeping all who ever were: order keys at rest, and endpoints that left the list long ago.
	idle := func(_ api.OrderingKey, t *sequence) bool { return len(t.queue) == 0 && c.now >= t.pausedUntil }
	maps.DeleteFunc(c.sequences, idle)
	c.delistedEndpoints = slices.DeleteFunc(c.delistedEndpoints, func(e *endpoint) bool {
		over := e.inFlight == 0 && c.now-e.delistedAt > connectionLimitMemory*c.SlowStartDuration
		if over && !e.listed && c.endpoints[e.id] == e {
			delete(c.endpoints, e.id)
		}
		return over || e.listed
	})
}
