// Package decider runs the decision module: one goroutine owns it and is its Host. A turn takes all that
// waits, lets the module decide once, writes down what was decided, and only then acts on it.
package decider

import (
	"log/slog"
	"time"

	"rowanlink/gateway"
	"rowanlink/internal/due"
	"rowanlink/node/endpoints"
	"rowanlink/node/exchange"
	"rowanlink/node/journal"
	"rowanlink/node/lifecycle"
	"rowanlink/node/notices"
)

// sweepTicks is how many ticks lie between two looks at idle connections.
const sweepTicks = 20

// Decider owns the module and what it holds.
type Decider struct {
	x       *exchange.Exchange
	life    *lifecycle.Life
	journal *journal.Journal
	calls   *endpoints.Endpoints
	finals  *notices.Notices
	facts   gateway.Facts
	module  gateway.Module

	now    gateway.Micros
	turned gateway.Micros // when the last turn was
	nextID gateway.WebhookID
	held   map[gateway.WebhookID]*exchange.Webhook
	ids    map[exchange.RequestID]bool // of those held
	dues   due.Times[func()]
	stages []func(*exchange.Webhook) bool

	// Of this turn.
	fresh    map[gateway.WebhookID]*exchange.Webhook // not answered yet
	order    []gateway.WebhookID
	attempts []attempt
	ends     []func()
	cancels  []gateway.WebhookID
	hangUps  []gateway.EndpointID
}

type attempt struct {
	ep gateway.EndpointID
	endpoints.Try
}

// New makes a decider; Begin gives it its parts, which call back to it.
func New(x *exchange.Exchange, life *lifecycle.Life, j *journal.Journal, f gateway.Facts) *Decider {
	f.Buffer, f.Tick = max(f.Buffer, 1), max(f.Tick, 1)
	d := &Decider{x: x, life: life, journal: j, facts: f, now: exchange.Now(), nextID: 1,
		held: map[gateway.WebhookID]*exchange.Webhook{}, ids: map[exchange.RequestID]bool{},
		fresh: map[gateway.WebhookID]*exchange.Webhook{}}
	d.stages = []func(*exchange.Webhook) bool{d.inTime, d.room, d.once, d.take}
	return d
}

// Begin starts the module and hands it the webhooks of an earlier life.
func (d *Decider) Begin(calls *endpoints.Endpoints, finals *notices.Notices,
	start func(gateway.Facts, gateway.Host) gateway.Module) {
	d.calls, d.finals = calls, finals
	d.module = start(d.facts, d)
	d.sweep()
	for _, e := range d.journal.Entries() {
		d.nextID = max(d.nextID, e.ID+1)
		if e.Ended {
			d.finals.Owe(e.ID, e.Notice)
			continue
		}
		w, err := exchange.FromBytes(e.ID, e.Taken)
		if err != nil {
			slog.Error("webhook of an earlier life not read", "id", e.ID, "err", err)
			continue
		}
		d.held[w.ID], d.ids[w.RequestID] = w, true
		d.x.Resumed.Add(1)
		w.Step("resumed", 0, gateway.Micros(e.Attempts))
		d.x.Tell(func() {
			d.module.Resume(w.ID, w.Event, w.Tenant, w.Key, w.TTL, w.Destination, e.Attempts, e.MayRun, e.Zone)
		})
	}
}

// Run takes turns until the program has ended: when something waits or is due, no faster than the tick.
func (d *Decider) Run() {
	timer := time.NewTimer(0)
	for d.life.Phase() < lifecycle.Ended {
		next := d.turned + gateway.Second
		if at, ok := d.dues.Next(); ok {
			next = min(next, gateway.Micros(at))
		}
		timer.Reset(exchange.Span(max(next-exchange.Now(), 0)))
		select {
		case <-d.x.Bell():
		case <-timer.C:
		}
		if rest := d.turned + d.facts.Tick - exchange.Now(); rest > 0 {
			time.Sleep(exchange.Span(rest))
		}
		d.turn()
	}
	d.turn() // what came back last is written down
}

// Empty tells whether nothing is held and no call is out.
func (d *Decider) Empty() bool {
	empty := make(chan bool, 1)
	d.x.Tell(func() { empty <- len(d.held) == 0 })
	return <-empty && d.calls.Out() == 0
}

func (d *Decider) turn() {
	arrivals, news := d.x.All()
	d.now = exchange.Now()
	d.turned = d.now
	d.x.Turns.Add(1)
	for _, call := range news {
		call()
	}
	for _, w := range arrivals {
		for i := 0; i < len(d.stages) && d.stages[i](w); i++ {
		}
	}
	for call, ok := d.dues.Take(int64(d.now)); ok; call, ok = d.dues.Take(int64(d.now)) {
		call()
	}
	if d.life.Sends() {
		d.module.TurnOver()
	}
	d.act()
}

// inTime ends what its client no longer waits for, and what comes when nothing is taken on any more.
func (d *Decider) inTime(w *exchange.Webhook) bool {
	if !d.life.TakesOn() || d.now-w.CameAt > exchange.AnswerWithin {
		w.Answer(exchange.Rejected, 0)
		return false
	}
	return true
}

// room ends what is beyond the buffer.
func (d *Decider) room(w *exchange.Webhook) bool {
	if len(d.held) >= d.facts.Buffer {
		w.Answer(exchange.Rejected, 0)
		return false
	}
	return true
}

// once keeps a request id from being held twice.
func (d *Decider) once(w *exchange.Webhook) bool {
	if d.ids[w.RequestID] {
		w.Answer(exchange.Doubled, 0)
		return false
	}
	return true
}

// take notes the webhook and hands it to the module.
func (d *Decider) take(w *exchange.Webhook) bool {
	w.ID = d.nextID
	if err := d.journal.Accept(w.ID, w.Bytes()); err != nil {
		d.x.JournalErrors.Add(1)
		w.Answer(exchange.Rejected, 0)
		return false
	}
	d.nextID++
	d.held[w.ID], d.ids[w.RequestID], d.fresh[w.ID] = w, true, w
	d.order = append(d.order, w.ID)
	d.module.Take(w.ID, w.Event, w.Tenant, w.Key, w.TTL, w.Destination)
	return true
}

// act writes down what was decided, then answers, calls and tells.
func (d *Decider) act() {
	for _, a := range d.attempts {
		d.journal.Call(a.Webhook.ID, d.now, d.calls.Zone(a.ep))
	}
	if err := d.journal.Commit(); err != nil {
		d.unwritten(err)
	}
	for _, id := range d.order {
		if w := d.fresh[id]; w != nil {
			w.Answer(exchange.Taken, 0)
			delete(d.fresh, id)
		}
	}
	for _, id := range d.cancels {
		d.calls.Cancel(id)
	}
	d.send()
	for _, end := range d.ends {
		end()
	}
	for _, ep := range d.hangUps {
		d.calls.CloseIdle(ep)
	}
	d.order, d.attempts, d.ends = d.order[:0], d.attempts[:0], d.ends[:0]
	d.cancels, d.hangUps = d.cancels[:0], d.hangUps[:0]
}

// unwritten guards against acting on what would not survive: a disk that is full or gone. What came in this
// turn is rejected, and no call of this turn is made.
func (d *Decider) unwritten(err error) {
	slog.Error("journal not written", "err", err)
	d.x.JournalErrors.Add(1)
	for _, id := range d.order {
		if w := d.fresh[id]; w != nil {
			d.journal.Forget(id)
			d.module.Withdrawn(id)
			d.drop(w)
			w.Answer(exchange.Rejected, 0)
			delete(d.fresh, id)
		}
	}
	for _, a := range d.attempts {
		d.Outcome(a.Webhook, a.ep, gateway.NotSent, 0, false, 0)
	}
	d.attempts = d.attempts[:0]
}

// send makes the calls of this turn, those to one endpoint together, in the order decided.
func (d *Decider) send() {
	var eps []gateway.EndpointID
	tries := map[gateway.EndpointID][]endpoints.Try{}
	for _, a := range d.attempts {
		if tries[a.ep] == nil {
			eps = append(eps, a.ep)
		}
		tries[a.ep] = append(tries[a.ep], a.Try)
	}
	for _, ep := range eps {
		d.calls.Send(ep, tries[ep])
	}
}

// Renew has the module decide by other facts from the next turn on. What is beyond a lower limit drains.
func (d *Decider) Renew(f gateway.Facts, idleLimit gateway.Micros) {
	d.x.Tell(func() {
		f.Buffer, f.Tick = max(f.Buffer, 1), max(f.Tick, 1)
		d.facts = f
		d.calls.Renew(f.ConnectTimeout, idleLimit, f.Kinds)
		d.module.Renew(f)
	})
}

// Listed takes a list; addrs are its entries' addresses.
func (d *Decider) Listed(entries []gateway.Entry, addrs []string, whole bool) {
	d.x.Lists.Add(1)
	for _, l := range entries {
		d.x.Name(l.Destination)
	}
	d.x.Tell(func() {
		named := map[gateway.EndpointID]bool{}
		for i, l := range entries {
			kind := gateway.Kind{}
			if int(l.Kind) < len(d.facts.Kinds) {
				kind = d.facts.Kinds[l.Kind]
			}
			d.calls.Place(l, addrs[i], kind)
			named[l.Endpoint] = true
		}
		if whole {
			d.calls.Drop(named)
		}
		d.module.Endpoints(entries, whole)
	})
}

// Came takes what came of a webhook's part in a call, from the call's own goroutine.
func (d *Decider) Came(w *exchange.Webhook, ep gateway.EndpointID, what gateway.Outcome, took gateway.Micros,
	over bool, wait gateway.Micros) {
	d.x.Tell(func() { d.Outcome(w, ep, what, took, over, wait) })
}

// Outcome notes it and hands it to the module.
func (d *Decider) Outcome(w *exchange.Webhook, ep gateway.EndpointID, what gateway.Outcome,
	took gateway.Micros, over bool, wait gateway.Micros) {
	ended := what == gateway.Delivered || over
	if ended {
		d.journal.End(w.ID, nil)
		d.drop(w)
	} else if what.NeverRan() {
		d.journal.NeverRan(w.ID)
	}
	if over {
		d.x.Over.Add(1)
	}
	d.module.Outcome(w.ID, ep, what, took, ended, wait)
}

// Heard takes which notices were heard.
func (d *Decider) Heard(ids []gateway.WebhookID) {
	d.x.Tell(func() {
		for _, id := range ids {
			d.journal.Told(id)
		}
	})
}

func (d *Decider) drop(w *exchange.Webhook) {
	delete(d.held, w.ID)
	delete(d.ids, w.RequestID)
}

// sweep has idle connections looked at now and then.
func (d *Decider) sweep() {
	d.dues.Add(int64(d.now+sweepTicks*d.facts.Tick), func() {
		d.calls.Sweep()
		d.sweep()
	})
}

// Now is the time of the turn.
func (d *Decider) Now() gateway.Micros { return d.now }

func (d *Decider) Attempt(id gateway.WebhookID, ep gateway.EndpointID, patience, latest gateway.Micros) {
	if w := d.held[id]; w != nil {
		w.Step("attempt", ep, patience)
		d.attempts = append(d.attempts, attempt{ep, endpoints.Try{Webhook: w, Patience: patience, Latest: latest}})
	}
}

func (d *Decider) Cancel(id gateway.WebhookID, _ int) { d.cancels = append(d.cancels, id) }

// Reject hands a webhook back: by the answer where its client still waits for one, else by notice.
func (d *Decider) Reject(id gateway.WebhookID, advised gateway.Micros) {
	w := d.held[id]
	if w == nil {
		return
	}
	if d.fresh[id] != nil {
		delete(d.fresh, id)
		d.journal.End(id, nil)
		d.drop(w)
		d.ends = append(d.ends, func() { w.Answer(exchange.Rejected, advised) })
		return
	}
	d.x.HandedBack.Add(1)
	w.Step("handed_back", 0, advised)
	d.owe(w, notices.HandedBack(w.RequestID, advised))
}

func (d *Decider) DeadLetter(id gateway.WebhookID) {
	if w := d.held[id]; w != nil {
		d.x.GivenUp.Add(1)
		w.Step("dead_lettered", 0, 0)
		d.owe(w, notices.GivenUp(w.RequestID))
	}
}

func (d *Decider) owe(w *exchange.Webhook, notice []byte) {
	d.journal.End(w.ID, notice)
	d.drop(w)
	d.ends = append(d.ends, func() { d.finals.Owe(w.ID, notice) })
}

func (d *Decider) Wake(in gateway.Micros, timer gateway.TimerID) {
	d.dues.Add(int64(d.now+in), func() { d.module.Wake(timer) })
}

func (d *Decider) CloseIdle(ep gateway.EndpointID) { d.hangUps = append(d.hangUps, ep) }

func (d *Decider) Log(text string) { slog.Info("module", "says", text) }
