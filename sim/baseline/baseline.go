// Package baseline holds plain policies that the decision module is compared with. They keep what is easy to
// keep - who may try again, told waits, drains, order - and know no limits, windows, outages or cold returns.
// Nothing of the product imports them.
package baseline

import (
	"math"
	"math/rand/v2"
	"slices"

	"rowanlink/internal/timerqueue"
	"rowanlink/webhook/api"
)

// Policy sends each webhook as soon as a slot is free, in the order taken, to the endpoints in turn.
type Policy struct {
	f      api.Settings
	host   api.Host
	tries  int
	waits  Waits
	chance *rand.Rand

	held  map[api.WebhookID]*webhook
	queue []*webhook
	dues  timerqueue.Queue[*webhook]
	armed api.Micros
	dests map[api.DestinationID]*destination
	eps   map[api.EndpointID]*endpoint
	lines map[api.OrderingKey]*line
	out   int
}

type destination struct {
	endpoints []*endpoint
	next      int
	wait      api.Micros
}

type endpoint struct {
	id     api.EndpointID
	zone   api.ZoneID
	listed bool
	dest   *destination
}

type webhook struct {
	id       api.WebhookID
	evt      api.EventType
	key      api.OrderingKey
	ttl      api.Micros
	dest     *destination
	attempts int
	mayRun   api.Micros
	zone     api.ZoneID
	readyAt  api.Micros
	sentAt   api.Micros
	out      bool
}

type line struct {
	in   []*webhook
	rest api.Micros
}

// New makes a policy of so many tries for each webhook, as far as the facts allow them.
func New(f api.Settings, host api.Host, tries int, waits Waits) *Policy {
	return &Policy{f: f, host: host, tries: min(tries, f.MaxAttempts), waits: waits,
		chance: rand.New(rand.NewPCG(f.Seed, 0)), held: map[api.WebhookID]*webhook{}, armed: math.MaxInt64,
		dests: map[api.DestinationID]*destination{}, eps: map[api.EndpointID]*endpoint{},
		lines: map[api.OrderingKey]*line{}}
}

func (p *Policy) destination(id api.DestinationID) *destination {
	if p.dests[id] == nil {
		p.dests[id] = &destination{}
	}
	return p.dests[id]
}

func (p *Policy) UpdateEndpoints(list []api.EndpointEntry, _ bool) {
	for _, l := range list {
		e := p.eps[l.Endpoint]
		if e == nil {
			e = &endpoint{id: l.Endpoint, zone: l.Zone, dest: p.destination(l.Destination)}
			p.eps[l.Endpoint] = e
			e.dest.endpoints = append(e.dest.endpoints, e)
		}
		if e.listed = l.Status == api.EndpointActive; !e.listed {
			e.dest.endpoints = slices.DeleteFunc(e.dest.endpoints, func(x *endpoint) bool { return x == e })
			delete(p.eps, l.Endpoint)
		}
	}
}

// Submit accepts a new webhook.
func (p *Policy) Submit(w api.Webhook) {
	p.Recover(w, api.PriorAttempts{MayHaveRunAt: api.Never})
}

// Recover accepts a webhook that was attempted before.
func (p *Policy) Recover(submitted api.Webhook, prior api.PriorAttempts) {
	w := &webhook{
		id:       submitted.ID,
		evt:      p.f.EventTypes[min(int(submitted.EventType), len(p.f.EventTypes)-1)],
		key:      submitted.OrderingKey,
		ttl:      submitted.Deadline,
		dest:     p.destination(submitted.Destination),
		attempts: prior.Count,
		mayRun:   prior.MayHaveRunAt,
		zone:     prior.Zone,
	}
	if !w.evt.Ordered {
		w.key = 0
	}
	p.held[w.id] = w
	if w.key != 0 {
		if p.lines[w.key] == nil {
			p.lines[w.key] = &line{}
		}
		l := p.lines[w.key]
		if l.in = append(l.in, w); w.mayRun != api.Never {
			l.rest = p.host.Now() + p.f.OrderingGap
			p.dues.Add(int64(l.rest), nil)
		}
	}
	p.dues.Add(int64(w.ttl-2*p.f.MinTurnInterval), w)
	if w.attempts > 0 {
		p.again(w)
		return
	}
	p.queue = append(p.queue, w)
}

// AttemptEnded takes the result of an attempt.
func (p *Policy) AttemptEnded(result api.AttemptResult) {
	w := p.held[result.Webhook]
	if w == nil || !w.out {
		return
	}
	w.out = false
	p.out--
	if result.RetryAfter > 0 {
		w.dest.wait = max(w.dest.wait, p.host.Now()+result.RetryAfter)
		p.dues.Add(int64(w.dest.wait), nil)
	}
	if !result.Outcome.NeverRan() && w.mayRun == api.Never {
		w.mayRun = w.sentAt
	}
	if l := p.lines[w.key]; w.key != 0 && result.Outcome.MayStillRun() {
		l.rest = max(l.rest, p.host.Now()+p.f.OrderingGap)
		p.dues.Add(int64(l.rest), nil)
	}
	if result.Final {
		p.forget(w)
		return
	}
	p.again(w)
}

// UpdateSettings does nothing: no baseline outlives its settings.
func (p *Policy) UpdateSettings(api.Settings) {}

// ReportLoad does nothing.
func (p *Policy) ReportLoad(api.LoadReport) {}

func (p *Policy) again(w *webhook) {
	w.readyAt = p.host.Now() + p.waits(max(w.attempts-1, 0), p.chance)
	if w.attempts >= p.tries || w.evt.Semantics == api.AtMostOnce && w.mayRun != api.Never ||
		w.readyAt >= p.last(w) {
		p.end(w)
		return
	}
	p.dues.Add(int64(max(w.readyAt, w.dest.wait)), nil)
	p.dues.Add(int64(p.last(w)), w)
	p.queue = append(p.queue, w)
}

// last is the last moment for an attempt.
func (p *Policy) last(w *webhook) api.Micros {
	last := w.ttl - 2*p.f.MinTurnInterval
	if w.evt.Semantics == api.Deduplicated && w.mayRun != api.Never {
		last = min(last, w.mayRun+w.evt.DedupWindow-2*p.f.MinTurnInterval)
	}
	return last
}

func (p *Policy) end(w *webhook) {
	if w.mayRun != api.Never {
		p.host.DeadLetter(w.id)
	} else {
		p.host.Reject(w.id, min(max(w.dest.wait-p.host.Now(), 0), p.f.MaxRetryAfter))
	}
	p.forget(w)
}

func (p *Policy) forget(w *webhook) {
	delete(p.held, w.id)
	if l := p.lines[w.key]; w.key != 0 {
		l.in = slices.DeleteFunc(l.in, func(x *webhook) bool { return x == w })
	}
}

func (p *Policy) Withdraw(id api.WebhookID) {
	if w := p.held[id]; w != nil && !w.out {
		p.forget(w)
	}
}

func (p *Policy) TimerFired(api.TimerID) { p.armed = math.MaxInt64 }

func (p *Policy) EndTurn() {
	now := p.host.Now()
	for w, ok := p.dues.PopDue(int64(now)); ok; w, ok = p.dues.PopDue(int64(now)) {
		if w != nil && p.held[w.id] == w && !w.out && now >= p.last(w) {
			p.end(w)
		}
	}
	p.queue = slices.DeleteFunc(p.queue, func(w *webhook) bool {
		return p.held[w.id] != w || w.out || p.send(w, now)
	})
	if at, ok := p.dues.Next(); ok && api.Micros(at) < p.armed {
		p.armed = api.Micros(at)
		p.host.SetTimer(max(p.armed-now, 1), 0)
	}
}

func (p *Policy) send(w *webhook, now api.Micros) bool {
	if p.out >= p.f.MaxInFlight || now < max(w.readyAt, w.dest.wait) || len(w.dest.endpoints) == 0 {
		return false
	}
	if l := p.lines[w.key]; w.key != 0 && (l.in[0] != w || w.attempts == 0 && now < l.rest) {
		return false
	}
	n := len(w.dest.endpoints)
	for i := range n {
		e := w.dest.endpoints[(w.dest.next+i)%n]
		if w.evt.DedupByZone && w.evt.Semantics == api.Deduplicated && w.mayRun != api.Never && e.zone != w.zone {
			continue
		}
		w.dest.next = (w.dest.next + i + 1) % n
		if w.out, w.sentAt, w.attempts = true, now, w.attempts+1; w.mayRun == api.Never {
			w.zone = e.zone
		}
		p.out++
		p.host.StartAttempt(w.id, e.id, (w.ttl-now)/2+1, w.ttl)
		return true
	}
	return false
}
