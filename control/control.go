// Package control is the decision module: every decision, table and tuned value of rowanlink is in this file.
//
// Callers make one instance a dispatcher with New and call it turn by turn through gateway.Module: the
// endpoint list, webhooks taken or resumed, outcomes, withdrawals, wakes, and TurnOver when all of one
// moment was told. It acts through gateway.Host. Both are defined in gateway/gateway.go, the records kept in
// control/state.go. Nothing is shared between instances.
//
// A webhook passes a chain of stages - order, schedule, slots, endpoint, send - each of which passes it on
// or holds it until a later turn. An outcome runs back through them from the last. Whatever holds a webhook,
// its due time ends it. docs/design.md tells what is the design's, what is an exception, and when it acts.
package control

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"rowanlink/gateway"
	"rowanlink/internal/mwc"
)

// The tuned values. docs/design.md tells what each trades and how flat the result is around it.
const (
	fullShare  = 0.75 // of the slots, to one route
	sickShare  = 0.5  // of the slots, to one route that is failing or slow, and to all sick ones together
	capShare   = 0.25 // m, as a share of the tightest of TTL and token window
	lateFrom   = 0.8  // the late band starts at this share of m
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

// Timers of an instance: one for periodic work, one for the earliest due time.
const timerPeriod, timerDue gateway.TimerID = 0, 1

type verdict bool

const pass, hold verdict = true, false

// New starts a dispatcher that knows nothing but the facts.
func New(f gateway.Facts, host gateway.Host) *Control {
	c := &Control{host: host, chance: mwc.New(f.Seed), now: host.Now(), armed: math.MaxInt64,
		held: map[gateway.WebhookID]*webhook{}, dests: map[gateway.DestinationID]*destination{},
		endpoints: map[gateway.EndpointID]*endpoint{}, turns: map[gateway.Key]*turn{}, kinds: []*kind{{}}}
	c.stages = []func(*webhook) verdict{c.inTurn, c.schedule, c.slots, c.choose, c.send}
	c.Renew(f)
	c.Wake(timerPeriod)
	return c
}

// Renew takes facts, at the start and while it runs; those left out are made harmless. Webhooks taken keep
// their terms, what was learned stays, and what is held or out beyond a lower limit drains.
func (c *Control) Renew(f gateway.Facts) {
	c.now = c.host.Now()
	f.Fleet, f.Slots, f.Buffer = max(f.Fleet, 1), max(f.Slots, 1), max(f.Buffer, 1)
	f.MaxAttempts, f.Tick = max(f.MaxAttempts, 1), max(f.Tick, 1)
	f.WarmAfter, f.TipAfter = max(f.WarmAfter, gateway.Second), max(f.TipAfter, gateway.Second)
	if f.StartCapacity <= 0 || f.FallMultiple <= 0 {
		f.StartCapacity, f.FallMultiple = 0.1, 1
	}
	was, routes := float64(c.Fleet)/float64(f.Fleet), map[*route]bool{}
	for _, e := range c.endpoints { // parts of rates are of the fleet
		routes[cmp.Or(e.route, &route{})] = true
	}
	for r := range routes {
		r.stated, r.pace = r.stated*was, r.pace*was
	}
	for _, d := range c.order {
		d.stated *= was
	}
	c.Facts, c.drains, c.events = f, c.open, nil
	unnamed := gateway.EventType{TTL: f.WarmAfter, Target: f.TipAfter, Repeat: gateway.AtMostOnce}
	for _, t := range append(slices.Clone(f.EventTypes), unnamed) { // the last row serves those not named
		tightest := t.TTL
		if t.Repeat == gateway.Tokened {
			tightest = min(tightest, t.TokenWindow)
		}
		reach := max(gateway.Micros(patienceBy*float64(tightest)), 1)
		c.events = append(c.events, eventRow{t, capShare * tightest.Seconds(), reach})
	}
	for i, k := range f.Kinds {
		if i == len(c.kinds)-1 { // the last row serves kinds not named
			c.kinds = slices.Insert(c.kinds, i, &kind{})
		}
		c.kinds[i].Kind = k
	}
	for _, k := range c.kinds {
		k.Batch, k.trickle = max(k.Batch, 1), cmp.Or(k.trickle, 1/c.events[0].Target.Seconds())
	}
	c.tenants = nil
	for _, perS := range f.Tenants {
		perS /= float64(f.Fleet)
		c.tenants = append(c.tenants, tenant{perS: perS, level: perS * overBurst, at: c.now})
	}
}

// Endpoints takes a list: the whole of it, or what has changed.
func (c *Control) Endpoints(list []gateway.Entry, whole bool) {
	c.now = c.host.Now()
	if whole {
		for _, d := range c.order {
			for _, e := range d.endpoints {
				e.listed = false
			}
		}
	}
	for _, l := range list {
		d, e := c.destination(l.Destination), c.endpoints[l.Endpoint]
		d.kind = c.kinds[min(int(l.Kind), len(c.kinds)-1)]
		if e == nil {
			e = &endpoint{id: l.Endpoint, zone: l.Zone, dest: d, limit: math.Inf(1), leftAt: c.now}
			if d.kind.Apart {
				e.route = c.newRoute(e.id)
			}
			c.endpoints[l.Endpoint] = e
		}
		e.route = cmp.Or(e.route, d.shared)
		if e.listed = l.Standing == gateway.Listed; e.listed && !slices.Contains(d.endpoints, e) {
			if len(d.endpoints) == 0 && len(d.queue) > 0 {
				c.chill(e.route) // what waited for it anywhere would go at once
			}
			d.endpoints = append(d.endpoints, e)
		} else if !e.listed && !slices.Contains(d.endpoints, e) {
			c.left = append(c.left, e) // never listed here: it is forgotten like one that was
		}
		r, part := e.route, l.Rate/float64(c.Fleet)
		if !c.RatesStated || !(part > 0) || math.IsInf(part, 0) || r != nil && r.told {
			continue
		}
		if r == nil {
			d.stated = part
		} else if r.stated != part {
			r.stated, r.pace = part, part
		}
	}
	for _, d := range c.order {
		d.endpoints = slices.DeleteFunc(d.endpoints, func(e *endpoint) bool {
			if !e.listed {
				e.leftAt, c.left = c.now, append(c.left, e)
			}
			return !e.listed
		})
		c.rank(d)
	}
}

// Reported takes a destination's limit from itself: it stands in for a rate that no list states, or roughly.
func (c *Control) Reported(ep gateway.EndpointID, left, limit float64) {
	e, part := c.endpoints[ep], limit/float64(c.Fleet)
	if e == nil || e.route == nil || !(part > 0) || math.IsInf(part, 0) {
		return
	}
	e.route.room = left * limit
	if r := e.route; !r.told {
		r.told, r.stated, r.pace = true, part, part
	} else {
		r.stated += smooth * (part - r.stated)
	}
}

// newRoute takes, until a rate is stated or told, that each slot is used once a second; where no list states
// any, over all destinations alike.
func (c *Control) newRoute(name gateway.EndpointID) *route {
	perS := float64(c.Slots)
	if !c.RatesStated {
		perS /= float64(max(len(c.order), 1))
	}
	return &route{name: name, window: 1, stated: perS, pace: perS, tokens: 1, tokensAt: c.now, coldSince: never}
}

func (c *Control) destination(id gateway.DestinationID) *destination {
	if c.dests[id] == nil {
		c.dests[id] = &destination{id: id, kind: c.kinds[len(c.kinds)-1], knownAt: c.now, place: len(c.order)}
		c.order = append(c.order, c.dests[id])
	}
	return c.dests[id]
}

// awake gives a destination its route when its first webhook comes. Of all that are known most never get one.
func (c *Control) awake(d *destination) *destination {
	if d.shared == nil {
		d.shared = c.newRoute(0)
		d.shared.tokensAt = d.knownAt
		if d.stated > 0 {
			d.shared.stated, d.shared.pace = d.stated, d.stated
		}
		for _, e := range d.endpoints {
			e.route = cmp.Or(e.route, d.shared)
			d.shared.name = e.id
		}
	}
	return d
}

// Take takes on a webhook. From here on it is owed exactly one final answer before its TTL.
func (c *Control) Take(id gateway.WebhookID, evt gateway.EventTypeID, tenant gateway.TenantID,
	key gateway.Key, ttl gateway.Micros, dest gateway.DestinationID) {
	c.Resume(id, evt, tenant, key, ttl, dest, 0, never, 0)
}

// Resume takes on a webhook that an earlier life had, with its attempts and the first that may have run. A
// call that was out has no outcome any more: like a reset, it is followed by the schedule's wait, or the end.
func (c *Control) Resume(id gateway.WebhookID, evt gateway.EventTypeID, tenant gateway.TenantID,
	key gateway.Key, ttl gateway.Micros, dest gateway.DestinationID,
	attempts int, mayRun gateway.Micros, zone gateway.ZoneID) {
	c.now = c.host.Now()
	row := &c.events[min(int(evt), len(c.events)-1)]
	w := &webhook{id: id, evt: row, dest: c.awake(c.destination(dest)), key: key, ttl: ttl, readyAt: c.now,
		mayRun: mayRun, zone: zone, target: ttl - row.TTL + row.Target, over: c.overShare(tenant),
		attempts: attempts, retries: max(attempts-1, 0)}
	c.held[id], c.open = w, c.open+1
	if row.Ordered && key != 0 {
		t := cmp.Or(c.turns[key], &turn{restUntil: never})
		if t.line = append(t.line, w); mayRun != never {
			t.restUntil = c.now + c.TurnGap
		}
		c.turns[key] = t
	}
	if attempts > 0 {
		c.retry(w)
		return
	}
	c.dues.Add(int64(c.lastAnswer(w)), w)
	c.enqueue(w)
}

// overShare meters a tenant's webhooks: what comes beyond its share earns little, whatever is done with it.
func (c *Control) overShare(id gateway.TenantID) bool {
	if int(id) >= len(c.tenants) {
		return false
	}
	t := &c.tenants[id]
	t.level, t.at = min(t.level+t.perS*(c.now-t.at).Seconds(), max(t.perS*overBurst, 1)), c.now
	if t.level < 1 {
		return true
	}
	t.level--
	return false
}

// lastAnswer is when a webhook that is not out must have its answer: a tick to spare before the TTL.
func (c *Control) lastAnswer(w *webhook) gateway.Micros { return w.ttl - 2*c.Tick }

// lastSend is the last moment for an attempt: in time for an answer and, where a tokened webhook may have
// run, inside the time for which the destination remembers its token.
func (c *Control) lastSend(w *webhook) gateway.Micros {
	last := c.lastAnswer(w)
	if w.mayRun != never && w.evt.Repeat == gateway.Tokened {
		last = min(last, w.mayRun+w.evt.TokenWindow-2*c.Tick)
	}
	return last
}

// TurnOver sends what may go now.
func (c *Control) TurnOver() {
	c.now, c.turn = c.host.Now(), c.turn+1
	for w, ok := c.dues.Take(int64(c.now)); ok; w, ok = c.dues.Take(int64(c.now)) {
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
		shut := !d.kind.Apart && c.now < d.shared.wakeAt // nothing to look at before, but for an outcome
		if shut || !slices.ContainsFunc(d.endpoints, c.opens) {
			continue
		}
		for _, w := range d.queue {
			if w.queued {
				c.ready = append(c.ready, w)
			}
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
	if at, ok := c.dues.Next(); ok && gateway.Micros(at) < c.armed {
		c.armed = gateway.Micros(at)
		c.host.Wake(max(c.armed-c.now, 1), timerDue)
	}
}

// before ranks webhooks by the value still to be had. Those inside their tenant's share come first; of them
// those that can still make the target latency, the nearest to missing it first; then the late ones, youngest
// first: all lose value alike, so what can't all be delivered in time is given up from the oldest on. A
// tokened webhook that may have run counts as in time: past its window it would be a dead letter.
func (c *Control) before(a, b *webhook) int {
	tier := func(w *webhook) (t int) {
		atRisk := w.mayRun != never && w.evt.Repeat == gateway.Tokened
		if !atRisk && c.now+gateway.Micros(w.dest.shared.mean) > w.target {
			t = 1
		}
		if w.over {
			t += 2
		}
		return t
	}
	ta, tb := tier(a), tier(b)
	if ta != tb {
		return ta - tb
	}
	// While slots are scarce those go first that give them back soonest: a few slow destinations would take all.
	if ra, rb := a.dest.shared, b.dest.shared; ra != rb && float64(c.out) >= fullShare*float64(c.Slots) {
		return cmp.Compare(ra.mean, rb.mean)
	}
	if ta&1 == 1 {
		return cmp.Compare(b.target, a.target)
	}
	return cmp.Compare(a.target, b.target)
}

// inTurn holds an ordered webhook until each earlier one of its key is over with no attempt out, and the key
// has rested after one that may still run.
func (c *Control) inTurn(w *webhook) verdict {
	t := c.turns[w.key]
	return verdict(!w.evt.Ordered || w.key == 0 || t.line[0] == w && (w.attempts > 0 || c.now >= t.restUntil))
}

// schedule holds a webhook to its own wait.
func (c *Control) schedule(w *webhook) verdict { return w.readyAt <= c.now }

// slots counts own calls exactly, so that none comes back unsent. Joining a call of this turn needs none.
func (c *Control) slots(w *webhook) verdict {
	if c.pick = c.joinable(w); c.pick == nil && c.out >= c.Slots {
		return hold
	}
	return pass
}

func (c *Control) joinable(w *webhook) *endpoint {
	for _, e := range w.dest.endpoints {
		if k := e.open; k != nil && k.turn == c.turn && k.left < w.dest.kind.Batch && !k.sick && c.inZone(w, e) {
			return e
		}
	}
	return nil
}

// inZone guards against a second effect: where only a zone remembers a token, what may have run stays in it.
func (c *Control) inZone(w *webhook, e *endpoint) bool {
	return w.mayRun == never || w.evt.Repeat != gateway.Tokened || !w.evt.TokenByZone || w.zone == e.zone
}

// opens tells whether an endpoint's route takes one more call now.
func (c *Control) opens(e *endpoint) bool {
	r := e.route
	if c.now < r.waitUntil { // a told wait holds every send, whatever the webhook
		return c.wakeFor(r, r.waitUntil)
	}
	if r.sick {
		// One canary at a time; all sick routes together hold a bounded part of the slots.
		free := r.out == 0 && c.sickOut < max(int(sickShare*float64(c.Slots)), 1)
		return free && (c.now >= r.tryAt || c.wakeFor(r, r.tryAt))
	}
	if r.out >= c.bound(r) || c.silent(r) {
		return false
	}
	rate, depth := c.rate(e.dest, r)
	r.tokens, r.tokensAt = min(r.tokens+rate*(c.now-r.tokensAt).Seconds(), depth), c.now
	lack := math.Ceil((1 - r.tokens) / rate * float64(gateway.Second))
	return lack <= 0 || c.wakeFor(r, c.now+gateway.Micros(lack))
}

// wakeFor sees to a turn at the time when a route that is not open may be.
func (c *Control) wakeFor(r *route, at gateway.Micros) (open bool) {
	if r.wakeAt <= c.now || at < r.wakeAt { // one wake at a time: each turn may come to another one
		r.wakeAt = at
		c.dues.Add(int64(at), nil)
	}
	return false
}

// rate is how many calls a second a route is let, and how many may go at once. After an outage it is this
// dispatcher's part, growing as the destination warms, of what doesn't push it over; one call at the least.
func (c *Control) rate(d *destination, r *route) (rate, depth float64) {
	if r.coldSince == never {
		return max(r.pace, loose(d, r)), max(max(r.pace, loose(d, r))*burstSpan, 1)
	}
	share := c.StartCapacity + (1-c.StartCapacity)*min(float64(c.now-r.coldSince)/float64(c.WarmAfter), 1)
	part := max(coldPart*c.FallMultiple*share*r.stated, 1/(coldCalls*c.WarmAfter.Seconds()))
	return min(max(r.pace, loose(d, r)), part), 1
}

// loose is the rate a route is let where this dispatcher's part is too small to live by: learned over all
// routes from the calls that it let go, or told by reports. Refusals in a row halve it, told room far more:
// hundreds see the same room, and a hung destination refuses like a full one.
func loose(d *destination, r *route) float64 {
	return math.Ldexp(max(d.kind.trickle, math.Ldexp(r.room, -roomBy*r.refused)), -r.refused)
}

// bound is how many calls a route may have out: its window, up to a share of the slots.
func (c *Control) bound(r *route) int {
	share := fullShare
	if r.failing > sickAt/2 || r.mean > silentBy*c.mean {
		share = sickShare
	}
	return max(int(min(r.window, share*float64(c.Slots))), 1)
}

// silent guards the slots against a route that hangs, before a time-out tells of it, and short stalls,
// where calls only queue. It takes two calls out: it could hold back a route whose answers vary widely.
func (c *Control) silent(r *route) bool {
	return r.out >= 2 && r.mean > 0 && float64(c.now-r.heardAt) > max(silentBy/float64(r.out), 1)*r.mean
}

// choose takes the first endpoint of the ranked order that has room.
func (c *Control) choose(w *webhook) verdict {
	if c.pick != nil {
		return pass
	}
	each := math.Ceil(float64(c.Slots) * fullShare)
	if n := len(w.dest.endpoints); n > 1 && !w.dest.kind.Apart {
		each = math.Ceil(float64(c.bound(w.dest.shared)) / float64(n))
	}
	for _, e := range w.dest.endpoints {
		if float64(e.out) >= min(each, math.Floor(e.limit)) || !c.inZone(w, e) || !c.opens(e) {
			continue
		}
		if e.fails >= sickRow && !e.route.sick && (c.now < e.tryAt || e.out > 0) {
			continue // one endpoint is sick among well ones: a single call now and then
		}
		c.pick = e
		return pass
	}
	return hold
}

func (c *Control) send(w *webhook) verdict {
	e := c.pick
	r := e.route
	if k := e.open; k == nil || k.turn != c.turn || k.left >= w.dest.kind.Batch {
		e.open = &call{ep: e, turn: c.turn, sick: r.sick}
		if r.out == 0 {
			r.heardAt = c.now
		}
		c.out++
		r.out++
		e.out++
		if !e.linked {
			e.linked, c.linked = true, append(c.linked, e)
		}
		r.tokens--
		r.loose = r.coldSince == never && !r.sick && r.pace < loose(w.dest, r)
		if r.sick {
			c.sickOut++
		}
		if r.sick || e.fails >= sickRow {
			e.tryAt = c.now + c.canaryPause(r)
			r.tryAt = max(r.tryAt, e.tryAt)
		}
	}
	w.call = e.open
	w.call.left++
	w.sentAt, w.attempts = c.now, w.attempts+1
	w.dequeue()
	c.dues.Add(int64(c.now+w.evt.Target), w)
	c.host.Attempt(w.id, e.id, c.patience(w, e), c.lastSend(w))
	return pass
}

// canaryPause is by chance around the gap that this dispatcher's part of a cold destination's budget gives,
// within bounds. Guards a small destination against the canaries of hundreds, which alone would push it over.
func (c *Control) canaryPause(r *route) gateway.Micros {
	span := float64(gateway.Second) / (coldPart * c.FallMultiple * c.StartCapacity * r.stated)
	span = min(max(span, canaryBy*float64(c.WarmAfter)), float64(c.WarmAfter))
	return gateway.Micros(span * (1 + c.chance.Float()) / 1.5)
}

// patience leaves a slow answer its time; a time-out makes work that may still run and cost the webhook.
// Where answers get lost it shrinks towards the time that those which come take: lost answers, hangs of one
// endpoint of several. Each time-out in a row doubles it, so that a destination grown slow is waited for.
func (c *Control) patience(w *webhook, e *endpoint) gateway.Micros {
	p := float64(w.evt.reach)
	if r := e.route; r.mean > 0 && !r.sick {
		tail := tailBy * max(1-2*c.lost, tailLeast) * r.mean * math.Exp2(float64(min(e.fails, 9)))
		p = max(p*(1-lossBy*max(r.lost, c.lost)), min(p, tail))
	}
	return max(min(gateway.Micros(p), w.ttl-c.now), 1)
}

// chase calls off what a route owes that has said nothing for long, while every slot is taken: a hang over
// many destinations at once would hold them all until its time-outs. Never an at-most-once webhook.
func (c *Control) chase(w *webhook) {
	r := w.call.ep.route
	long := max(gateway.Micros(tailBy*r.mean), w.evt.Target)
	unheard := min(c.now-w.sentAt, c.now-r.heardAt)
	if c.MayCancel && c.out >= c.Slots && w.evt.Repeat != gateway.AtMostOnce && unheard >= long {
		c.host.Cancel(w.id, w.attempts-1)
		return
	}
	c.dues.Add(int64(c.now+max(long/8, c.Tick)), w)
}

// Outcome takes what came of an attempt, back through the stages from the last.
func (c *Control) Outcome(id gateway.WebhookID, ep gateway.EndpointID, what gateway.Outcome,
	took gateway.Micros, ended bool, wait gateway.Micros) {
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
	if k.left--; k.left == 0 {
		c.out--
		k.ep.out--
		r.out--
		c.rested = append(c.rested, k.ep)
		if k.sick {
			c.sickOut--
		}
	}
	if !what.NeverRan() && w.mayRun == never {
		w.mayRun, w.zone = w.sentAt, k.ep.zone
	}
	if t := c.turns[w.key]; t != nil && w.evt.Ordered && what.MayStillRun() {
		t.restUntil = max(t.restUntil, c.now+c.TurnGap)
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
	atOnce := e.route.stated * e.route.mean / float64(gateway.Second) * float64(c.Fleet)
	few := max(connsBy*atOnce/float64(len(e.dest.endpoints)), connsLeast) < float64(c.Fleet)
	if closed = few && e.listed && c.now < e.dest.kind.crowded && e.out == 0; closed {
		c.host.CloseIdle(e.id)
	}
	return closed
}

// retry draws the wait before the next attempt, or ends a webhook that may not have one.
func (c *Control) retry(w *webhook) {
	w.readyAt = c.now + c.delay(w.evt, w.retries)
	w.retries++
	spent := w.attempts >= c.MaxAttempts || w.evt.Repeat == gateway.AtMostOnce && w.mayRun != never
	if spent || max(w.readyAt, w.dest.shared.waitUntil) >= c.lastSend(w) {
		c.finish(w)
		return
	}
	c.dues.Add(int64(w.readyAt), w)
	c.dues.Add(int64(c.lastSend(w)), w)
	c.enqueue(w)
}

// delay draws an event type's wait before its retry i.
func (c *Control) delay(evt *eventRow, i int) gateway.Micros {
	return Wait(evt.cap, i, c.chance.Float())
}

// Wait is the design's schedule: min(m, random()*2^i) while i <= 2*log2(m), then evenly 80-100% of m. Past
// that i the power is never taken, so that no number of retries overflows. m is in seconds, x from [0, 1).
func Wait(m float64, i int, x float64) gateway.Micros {
	s := m * (lateFrom + (1-lateFrom)*x)
	if i <= int(math.Floor(2*math.Log2(max(m, 0.5)))) {
		s = min(m, x*math.Pow(2, float64(i)))
	}
	return gateway.Micros(math.Ceil(s * float64(gateway.Second)))
}

// finish ends it at once: rejected, with a time to come back, where none may have run, else dead-lettered.
func (c *Control) finish(w *webhook) {
	if w.mayRun != never {
		c.host.DeadLetter(w.id)
	} else {
		c.host.Reject(w.id, min(max(w.dest.shared.waitUntil-c.now, 0), c.MaxAdvice))
	}
	c.forget(w)
}

// forget drops a webhook that is over; one with an attempt out is kept for the outcome.
func (c *Control) forget(w *webhook) {
	if !w.ended {
		w.ended = true
		c.open--
	}
	if w.dequeue(); w.call != nil {
		return
	}
	delete(c.held, w.id)
	if t := c.turns[w.key]; t != nil && w.evt.Ordered {
		t.line = slices.DeleteFunc(t.line, func(o *webhook) bool { return o == w })
	}
}

// Withdrawn is told when nobody wants a webhook any more; an attempt that is out runs on.
func (c *Control) Withdrawn(id gateway.WebhookID) {
	if c.now = c.host.Now(); c.held[id] != nil {
		c.forget(c.held[id])
	}
}

// judge counts the fate of a call, once for all the webhooks in it.
func (c *Control) judge(e *endpoint, what gateway.Outcome, took, wait gateway.Micros) {
	r := e.route
	r.heardAt, r.wakeAt = c.now, 0
	// Guards against a cap taken for an outage where the port can't tell them apart: who is silent takes the
	// whole time-out. One that crashed refuses as quickly; it is found as one that is crowded for long.
	if what == gateway.ConnectFailed && !c.CapsTold && took < c.ConnectTimeout/2 {
		what = gateway.Crowded
	}
	switch what {
	case gateway.Delivered:
		e.mean, r.mean, c.mean = blend(e.mean, took), blend(r.mean, took), blend(c.mean, took)
		if r.loose {
			e.dest.kind.trickle = min(e.dest.kind.trickle*(1+paceStep), 1/c.events[0].Target.Seconds())
		}
		e.fails, e.okAt, r.okAt, r.refused = 0, c.now, c.now, 0
		e.limit += smooth // a failed connect may have been a stray one
		r.failing, r.lost = (1-smooth)*r.failing, (1-smooth)*r.lost
		c.lost -= smooth / 4 * c.lost
		r.window = min(r.window+1, fullShare*float64(c.Slots))
		// A stated rate may be far too low: where the queue is longer than the pace can carry within the target
		// latency, and nothing was refused for long, seek.
		step, q := paceStep, e.dest.queue
		if len(q) > 0 && float64(len(q)) > r.pace*q[0].evt.Target.Seconds() && c.now-r.cutAt > c.WarmAfter {
			step = paceSeek
		}
		r.pace += step
		c.recover(r)
	case gateway.Full:
		r.window = max(r.window/2, 1)
		r.refused++
		if r.loose && wait < c.TipAfter {
			e.dest.kind.trickle *= paceCut
		}
		// Guards against refusals that use up the limit: no other webhook follows at once, and the pace falls.
		r.tokens = min(r.tokens, 0.5-c.chance.Float())
		if c.now-r.cutAt > gateway.Second/2 {
			r.cutAt = c.now
			r.pace = max(r.pace*paceCut, r.stated*paceLeast)
		}
		// Shut and limited look alike but for length: a wait longer than a cold destination would need to
		// fall, or refusals and nothing else for a while, is taken for an outage.
		if wait > c.TipAfter || r.refused >= fullRow {
			c.sicken(r)
		}
	case gateway.NotSent:
	case gateway.Crowded:
		// It runs, so that nothing is cold; only where nothing else comes for long may this be how it is shut.
		e.dest.kind.crowded = c.now + crowdedFor*c.WarmAfter
		e.limit = float64(max(e.out-1, 1))
		r.tokens = min(r.tokens, 0)
		if r.refused++; r.refused >= fullRow && c.now-r.okAt > c.TipAfter {
			c.sicken(r)
		}
	default:
		if what == gateway.ConnectFailed {
			if took < c.ConnectTimeout/2 { // a cap answers; who is silent says nothing of one
				e.dest.kind.crowded = c.now + crowdedFor*c.WarmAfter
			}
			// A cap on connections is no outage: calls succeed beside it. It grows with them: it may start one.
			if c.now-e.okAt < 2*c.ConnectTimeout {
				e.limit = float64(max(e.out-1, 1))
				return
			}
		}
		alone := c.now-e.brokeAt > gateway.Micros(r.mean)
		if e.brokeAt = c.now; what == gateway.Reset && alone && c.now-e.okAt < c.TipAfter {
			c.host.CloseIdle(e.id) // one that breaks alone beside deliveries: others there may have ended unseen
			return
		}
		if what == gateway.TimedOut || what == gateway.Cancelled {
			r.window = max(r.window/2, 1)
			r.lost += smooth * (1 - r.lost)
			if e.fails == 0 { // strays alone: a hang's many time-outs say nothing of the other destinations
				c.lost += smooth / 4 * (1 - c.lost)
			}
		}
		// What an endpoint left out fails says nothing more of the route, nor a connection that breaks by itself.
		if e.fails++; e.fails <= sickRow && (what != gateway.Reset || c.now-e.okAt > c.TipAfter) {
			r.failing += smooth * (1 - r.failing)
		}
		if e.fails >= sickRow {
			e.tryAt = c.now + c.canaryPause(r)
		}
		// One endpoint that fails among well ones is left out by itself: the route is sick when none is well. Where
		// calls are too few to tell, a failure where nothing came back well of late is taken for an outage.
		well := func(o *endpoint) bool { return o.route == r && o.fails < sickRow }
		stray := r.failing <= smooth && what != gateway.ConnectFailed // a lone one, by something that answers
		if !slices.ContainsFunc(e.dest.endpoints, well) {
			c.sicken(r)
		} else if !r.sick && (r.failing > sickAt || !stray && c.now-r.okAt > c.TipAfter) {
			c.chill(r)
		}
	}
}

// chill lets a route have a returning destination's rate. The first call comes by chance, not by the clock.
func (c *Control) chill(r *route) { r.coldSince, r.tokens, r.tokensAt = c.now, c.chance.Float(), c.now }

// sicken closes a route but for canaries. It covers whatever makes calls fail in a row: destinations crashed,
// shut, hung or failing. It could do harm where failures cluster by chance; a canary's success ends it.
func (c *Control) sicken(r *route) {
	r.window = 1
	// From the end of a told wait, which comes for all dispatchers at once.
	r.tryAt = max(r.tryAt, max(c.now, r.waitUntil)+c.canaryPause(r))
	if !r.sick {
		r.sick = true
		c.host.Log(fmt.Sprintf("endpoint %d: destination sick", r.name))
	}
}

// recover lets a sick route out into the cold: it grows from a canary to its full pace as a returning
// destination warms, and is well when that time has passed.
func (c *Control) recover(r *route) {
	if r.sick {
		r.sick, r.coldSince, r.tokens = false, c.now, 0
		r.failing = min(r.failing, sickAt/2)
		r.pace = max(r.pace, r.stated) // refusals while it was shut said nothing of its limit
		c.host.Log(fmt.Sprintf("endpoint %d: destination cold", r.name))
	}
	if r.coldSince != never && c.now-r.coldSince > c.WarmAfter {
		r.coldSince = never
		c.host.Log(fmt.Sprintf("endpoint %d: destination well", r.name))
	}
}

func (c *Control) Wake(timer gateway.TimerID) {
	c.now = c.host.Now()
	if timer == timerDue {
		c.armed = math.MaxInt64
		return
	}
	if stood := c.now - c.periodAt; stood >= stoodBy*c.Tick {
		c.respread(stood)
	}
	c.periodAt = c.now + gateway.Second/2
	c.host.Wake(gateway.Second/2, timerPeriod)
	for _, d := range c.order {
		c.rank(d)
	}
	c.linked = slices.DeleteFunc(c.linked, func(e *endpoint) bool {
		e.linked = !c.hangUp(e)
		return !e.linked
	})
	// Guards against keeping all who ever were: order keys at rest, and endpoints that left the list long ago.
	idle := func(_ gateway.Key, t *turn) bool { return len(t.line) == 0 && c.now >= t.restUntil }
	maps.DeleteFunc(c.turns, idle)
	c.left = slices.DeleteFunc(c.left, func(e *endpoint) bool {
		over := e.out == 0 && c.now-e.leftAt > crowdedFor*c.WarmAfter
		if over && !e.listed && c.endpoints[e.id] == e {
			delete(c.endpoints, e.id)
		}
		return over || e.listed
	})
}

// respread draws anew what came due while the dispatcher stood still. Guards against a building full of them
// that wake together and send in one moment what chance had spread.
func (c *Control) respread(stood gateway.Micros) {
	for _, d := range c.busy {
		for _, w := range d.queue {
			if w.queued && w.attempts > 0 && w.readyAt <= c.now {
				w.readyAt = c.now + gateway.Micros(c.chance.Float()*float64(stood))
				c.dues.Add(int64(w.readyAt), w)
			}
		}
	}
}

// rank renews the order in which a destination's endpoints are filled: quick and near ones first.
func (c *Control) rank(d *destination) {
	if len(d.endpoints) < 2 {
		return
	}
	score := func(e *endpoint) float64 {
		if e.zone != c.Zone { // not first because unmeasured: each call there holds its slot for longer
			return cmp.Or(e.mean, c.mean) * farBy
		}
		return e.mean
	}
	slices.SortStableFunc(d.endpoints, func(a, b *endpoint) int { return cmp.Compare(score(a), score(b)) })
}

// shed keeps the buffer from filling up: past its share the webhooks worth least, of the destination with the
// longest queue, are rejected, so that those for other destinations are not turned away at the door.
func (c *Control) shed() {
	c.drains = min(c.drains, c.open)
	most := max(int(fillTo*float64(c.Buffer)), c.drains, 1)
	if !c.shedding && c.open > most || c.shedding && c.open <= most/2 {
		c.shedding = !c.shedding
		c.host.Log(fmt.Sprintf("shedding %v, %d held", c.shedding, c.open))
	}
	for c.open > most && len(c.busy) > 0 {
		d := slices.MaxFunc(c.busy, func(a, b *destination) int { return len(a.queue) - len(b.queue) })
		var victim *webhook
		for _, w := range d.queue {
			if w.mayRun == never && (victim == nil || c.before(victim, w) < 0) {
				victim = w
			}
		}
		if victim == nil {
			return
		}
		c.finish(victim)
		d.prune()
	}
}

// blend smooths a measured time; the first one stands for itself.
func blend(mean float64, took gateway.Micros) float64 {
	mean = cmp.Or(mean, float64(took))
	return mean + smooth*(float64(took)-mean)
}
