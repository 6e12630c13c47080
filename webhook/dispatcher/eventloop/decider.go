// Package eventloop runs the decision module: one goroutine owns it and is its Host. A turn takes all that
// waits, lets the module decide once, writes down what was decided, and only then acts on it.
package eventloop

import (
	"log/slog"

	"rowanlink/internal/timerqueue"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/callback"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/lifecycle"
	"rowanlink/webhook/dispatcher/upstream"
	"rowanlink/webhook/dispatcher/wal"
)

// sweepTicks is how many ticks lie between two looks at idle connections.
const sweepTicks = 20

// Loop owns the module and what it holds.
type Loop struct {
	x       *inflight.Inbox
	life    *lifecycle.Lifecycle
	journal *wal.Log
	calls   *upstream.Client
	finals  *callback.Sender
	facts   api.Settings
	types   []string // the names of event types
	module  api.Policy

	now    api.Micros
	turned api.Micros // when the last turn was
	nextID api.WebhookID
	held   map[api.WebhookID]*inflight.Webhook
	ids    map[inflight.RequestID]api.WebhookID // of those held
	dues   timerqueue.Queue[func()]
	stages []func(*inflight.Webhook) bool
	out    map[api.WebhookID]bool // in a call
	over   chan struct{}          // closed after the last turn

	// Where a fleet acts as one; else nil.
	fleet  Cluster
	parked map[api.WebhookID]*inflight.Webhook
	turns  map[turnOf][]api.WebhookID           // what of each key is parked, in the order taken
	listed map[api.EndpointID]api.EndpointEntry // as discovery has it
	rated  map[api.EndpointID]float64           // as the module was told
	told   map[inflight.RequestID]ended         // of an earlier life, for others than the platform

	// Of this turn.
	fresh    map[api.WebhookID]*inflight.Webhook // not answered yet
	order    []api.WebhookID
	attempts []attempt
	ends     []func()
	cancels  []api.WebhookID
	hangUps  []api.EndpointID
	lost     bool // nothing of it could be written
}

type attempt struct {
	ep api.EndpointID
	upstream.Attempt
}

// New makes a decider; Begin gives it its parts, which call back to it.
func New(x *inflight.Inbox, life *lifecycle.Lifecycle, j *wal.Log, f api.Settings) *Loop {
	f.BufferSize, f.MinTurnInterval = max(f.BufferSize, 1), max(f.MinTurnInterval, 1)
	d := &Loop{x: x, life: life, journal: j, facts: f, now: inflight.Now(), nextID: 1,
		held: map[api.WebhookID]*inflight.Webhook{}, ids: map[inflight.RequestID]api.WebhookID{},
		fresh: map[api.WebhookID]*inflight.Webhook{}, out: map[api.WebhookID]bool{},
		over: make(chan struct{})}
	d.stages = []func(*inflight.Webhook) bool{d.inTime, d.room, d.once, d.take}
	return d
}

// Begin starts the module and hands it the webhooks of an earlier life.
func (d *Loop) Begin(calls *upstream.Client, finals *callback.Sender,
	start func(api.Settings, api.Host) api.Policy) {
	d.calls, d.finals = calls, finals
	d.module = start(d.facts, d)
	d.sweep()
	for _, e := range d.journal.Entries() {
		d.nextID = max(d.nextID, e.ID+1)
		if e.Finished && d.endedBefore(e) {
			continue
		}
		if e.Finished {
			d.finals.Enqueue(e.ID, e.Callback)
			continue
		}
		w, err := inflight.DecodeWebhook(e.ID, e.Payload)
		if err != nil {
			slog.Error("webhook of an earlier life not read", "id", e.ID, "err", err)
			continue
		}
		if e.EventType != "" { // an earlier release wrote none
			w.EventType = d.place(e.EventType)
		}
		d.held[w.ID], d.ids[w.RequestID] = w, w.ID
		w.InDoubt = d.fleet != nil && d.fleet.IsInDoubt(w.RequestID)
		d.x.Resumed.Add(1)
		w.Trace("resumed", 0, api.Micros(e.Attempts))
		d.x.Post(func() { d.begins(w, e.Attempts, e.MayHaveRunAt, e.Zone) })
	}
}

// Empty tells whether nothing is held and no call is out.
func (d *Loop) Empty() bool {
	empty := make(chan bool, 1)
	d.x.Post(func() { empty <- len(d.held) == 0 })
	return <-empty && d.calls.InFlight() == 0
}

// UpdateSettings has the module decide by other facts from the next turn on. What is beyond a lower limit drains.
func (d *Loop) UpdateSettings(f api.Settings, types []string, idleLimit api.Micros) {
	d.x.Post(func() {
		f.BufferSize, f.MinTurnInterval = max(f.BufferSize, 1), max(f.MinTurnInterval, 1)
		d.facts = f
		d.SetEventTypes(types)
		d.calls.UpdateSettings(f.ConnectTimeout, idleLimit, f.DestinationKinds)
		d.module.UpdateSettings(f)
	})
}

// UpdateEndpoints takes a list; addrs are its entries' addresses.
func (d *Loop) UpdateEndpoints(entries []api.EndpointEntry, addrs []string, whole bool) {
	d.x.Lists.Add(1)
	for _, l := range entries {
		d.x.AddDestination(l.Destination)
	}
	d.x.Post(func() {
		named := map[api.EndpointID]bool{}
		for i, l := range entries {
			kind := api.DestinationKind{}
			if int(l.Kind) < len(d.facts.DestinationKinds) {
				kind = d.facts.DestinationKinds[l.Kind]
			}
			d.calls.UpdateEndpoint(l, addrs[i], kind)
			named[l.Endpoint] = true
		}
		if whole {
			d.calls.RemoveOthers(named)
		}
		d.module.UpdateEndpoints(d.shared(entries, whole), whole)
	})
}

// CallFinished takes the result of a webhook's part in a call, from the call's own goroutine.
func (d *Loop) CallFinished(w *inflight.Webhook, result api.AttemptResult) {
	d.x.Post(func() { d.handleResult(w, result) })
}

// handleResult records the result of an attempt and passes it to the policy.
func (d *Loop) handleResult(w *inflight.Webhook, result api.AttemptResult) {
	delete(d.out, w.ID)
	discarded := result.Final // by the endpoint: no answer is needed any more
	delivered := result.Outcome == api.Delivered
	switch {
	case delivered || discarded:
		d.witness(w, d.delivered(w, discarded))
		if !d.relayed(w, inflight.StatusDelivered, 0) {
			d.journal.Finish(w.ID, nil)
			d.drop(w)
		}
	case result.Outcome.NeverRan():
		d.journal.RecordNeverRan(w.ID)
	}
	if discarded {
		d.x.Over.Add(1)
	}
	result.Final = delivered || discarded
	d.module.AttemptEnded(result)
	if d.held[w.ID] != nil && !d.mayCall(w) {
		d.module.Withdraw(w.ID)
		d.park(w)
	}
}

// handleNotSent is the result of an attempt that was not made after all.
func (d *Loop) handleNotSent(a attempt) {
	d.handleResult(a.Webhook, api.AttemptResult{Webhook: a.Webhook.ID, Endpoint: a.ep, Outcome: api.NotSent})
}

// CallbacksDelivered takes which notices were heard.
func (d *Loop) CallbacksDelivered(ids []api.WebhookID) {
	d.x.Post(func() {
		for _, id := range ids {
			d.journal.CallbackDelivered(id)
		}
	})
}

func (d *Loop) drop(w *inflight.Webhook) {
	delete(d.out, w.ID)
	delete(d.held, w.ID)
	delete(d.ids, w.RequestID)
}

// sweep has idle connections looked at now and then.
func (d *Loop) sweep() {
	d.dues.Add(int64(d.now+sweepTicks*d.facts.MinTurnInterval), func() {
		d.calls.Sweep()
		d.sweep()
	})
}
