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
	capShare   = 0.25 // m, as a share of the tightest of TTL and token window
	patienceBy = 0.7  // patience, as a share of the tightest of TTL and token window
	lossBy     = 6.0  // how fast patience shrinks with the share of answers lost
	tailBy     = 6.0  // it shrinks to so many answer times, to tailLeast of them where many are lost
	tailLeast  = 1.0 / 3
	silentBy   = 4.0 // so many times the usual answer time is slow, or the expected gap between two is silent
	smooth     = 1.0 / 8
	paceCut    = 0.8  // pace after a refusal
	paceStep   = 0.03 // pace regained a second while all goes well, as a share
	paceSeek   = 0.12 // the same where webhooks pile up and nothing was refused for long
	paceLeast  = 1.0 / 2
	burstSpan  = 0.5  // seconds of pace that may be sent at once
	sickRow    = 3    // failures in a row that make a route or endpoint sick
	fullRow    = 6    // refusals in a row that do
	sickAt     = 0.5  // share of failed calls that does
	canaryBy   = 0.1  // least pause between canaries, over the time to warm; the longest is that time
	roomBy     = 3    // told room halves so often more with each refusal in a row
	coldCalls  = 2.0  // times to warm for one call at the least into the cold
	coldPart   = 0.75 // of the budget of a cold route that is used
	farBy      = 1.2  // weight of another zone's answer times in the ranked order
	overBurst  = 2.0  // seconds of a tenant's share that may come at once
	fillTo     = 0.9  // of the buffer
	connsBy    = 2.0  // connections that an endpoint takes, over its calls at once at the stated rate
	connsLeast = 6.0  // and at the least
	stoodBy    = 20   // ticks late with its own timer, the dispatcher has stood still
	crowdedFor = 10   // warming times that a failed connect at a kind of destination counts for all of it
)

// New starts a dispatcher that knows nothing but the facts.
func New(f api.Settings, host api.Host) *Control {
	c := &Control{host: host, chance: mwcrand.New(f.Seed), now: host.Now(), armed: math.MaxInt64,
		held: map[api.WebhookID]*webhook{}, dests: map[api.DestinationID]*destination{},
		endpoints: map[api.EndpointID]*endpoint{}, turns: map[api.OrderingKey]*turn{}, kinds: []*kind{{}}}
	c.stages = []func(*webhook) verdict{c.inTurn, c.schedule, c.slots, c.choose, c.send}
	c.UpdateSettings(f)
	c.TimerFired(timerPeriod)
	return c
}

// UpdateSettings takes facts, at the start and while it runs; those left out are made harmless. Webhooks taken keep
// their terms, what was learned stays, and what is held or out beyond a lower limit drains.
func (c *Control) UpdateSettings(f api.Settings) {
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
		r.stated, r.pace = r.stated*was, r.pace*was
	}
	for _, d := range c.order {
		d.stated *= was
	}
	c.Settings, c.drains, c.events = f, c.open, nil
	unnamed := api.EventType{TTL: f.SlowStartDuration, LatencyTarget: f.OverloadDuration, Semantics: api.AtMostOnce}
	for _, t := range append(slices.Clone(f.EventTypes), unnamed) { // the last row serves those not named
		tightest := t.TTL
		if t.Semantics == api.Deduplicated {
			tightest = min(tightest, t.DedupWindow)
		}
		reach := max(api.Micros(patienceBy*float64(tightest)), 1)
		c.events = append(c.events, eventRow{t, capShare * tightest.Seconds(), reach})
	}
	for i, k := range f.DestinationKinds {
		if i == len(c.kinds)-1 { // the last row serves kinds not named
			c.kinds = slices.Insert(c.kinds, i, &kind{})
		}
		c.kinds[i].DestinationKind = k
	}
	for _, k := range c.kinds {
		k.BatchSize, k.trickle = max(k.BatchSize, 1), cmp.Or(k.trickle, 1/c.events[0].LatencyTarget.Seconds())
	}
	c.tenants = nil
	for _, perS := range f.TenantRates {
		perS /= float64(f.Dispatchers)
		c.tenants = append(c.tenants, tenant{perS: perS, level: perS * overBurst, at: c.now})
	}
}

// EndTurn sends what may go now.
func (c *Control) EndTurn() {
	c.now, c.turn = c.host.Now(), c.turn+1
	for w, ok := c.dues.PopDue(int64(c.now)); ok; w, ok = c.dues.PopDue(int64(c.now)) {
		// Guards against a webhook lost: whatever holds it, it ends in time.
		if w != nil && w.call != nil {
			c.chase(w)
		} else if w != nil && !w.ended && c.now >= c.lastSend(w) {
			c.finish(w)
		}
	}
	c.ready = c.ready[:0]
	// In the order of first hearing, as ties below are broken by it; those that nothing waits for cost nothing.
	slices.SortFunc(c.busy, func(a, b *destination) int { return a.place - b.place })
	for _, d := range c.busy {
		d.prune()
		shut := !d.kind.SeparateRoutes && c.now < d.shared.wakeAt // nothing to look at before, but for an outcome
		if !shut && slices.ContainsFunc(d.endpoints, c.opens) {
			c.ready = append(c.ready, d.queue...)
		}
	}
	slices.SortStableFunc(c.ready, c.before)
	for _, w := range c.ready {
		for i := 0; i < len(c.stages) && c.stages[i](w) == pass; i++ {
		}
	}
	for _, d := range c.busy {
		d.prune() // now, so that one sent and back before the next turn does not stand here twice
	}
	for _, e := range c.rested {
		c.hangUp(e)
	}
	c.rested = c.rested[:0]
	c.shed()
	c.busy = slices.DeleteFunc(c.busy, func(d *destination) bool {
		d.busy = len(d.queue) > 0
		return !d.busy
	})
	if at, ok := c.dues.Next(); ok && api.Micros(at) < c.armed {
		c.armed = api.Micros(at)
		c.host.SetTimer(max(c.armed-c.now, 1), timerDue)
	}
}

func (c *Control) TimerFired(timer api.TimerID) {
	c.now = c.host.Now()
	if timer == timerDue {
		c.armed = math.MaxInt64
		return
	}
	if stood := c.now - c.periodAt; stood >= stoodBy*c.MinTurnInterval {
		c.respread(stood)
	}
	c.periodAt = c.now + api.Second/2
	c.host.SetTimer(api.Second/2, timerPeriod)
	for _, d := range c.order {
		c.rank(d)
	}
	c.linked = slices.DeleteFunc(c.linked, func(e *endpoint) bool {
		e.linked = !c.hangUp(e)
		return !e.linked
	})
	// Guards against keeping all who ever were: order keys at rest, and endpoints that left the list long ago.
	idle := func(_ api.OrderingKey, t *turn) bool { return len(t.line) == 0 && c.now >= t.restUntil }
	maps.DeleteFunc(c.turns, idle)
	c.left = slices.DeleteFunc(c.left, func(e *endpoint) bool {
		over := e.out == 0 && c.now-e.leftAt > crowdedFor*c.SlowStartDuration
		if over && !e.listed && c.endpoints[e.id] == e {
			delete(c.endpoints, e.id)
		}
		return over || e.listed
	})
}
