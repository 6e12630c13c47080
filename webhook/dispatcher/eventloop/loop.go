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
	inbox      *inflight.Inbox
	lifecycle  *lifecycle.Lifecycle
	log        *wal.Log
	upstream   *upstream.Client
	callbacks  *callback.Sender
	settings   api.Settings
	eventTypes []string // the names of event types
	policy     api.Policy

	now        api.Micros
	lastTurnAt api.Micros // when the last turn was
	nextID     api.WebhookID
	webhooks   map[api.WebhookID]*inflight.Webhook
	idOf       map[inflight.RequestID]api.WebhookID // of those held
	timers     timerqueue.Queue[func()]
	admission  []func(*inflight.Webhook) bool
	inFlight   map[api.WebhookID]bool // in a call
	stopped    chan struct{}          // closed after the last turn

	// Where a fleet acts as one; else nil.
	cluster          Cluster
	parked           map[api.WebhookID]*inflight.Webhook
	parkedByKey      map[orderingGroup][]api.WebhookID      // what of each key is parked, in the order taken
	endpoints        map[api.EndpointID]api.EndpointEntry   // as discovery has it
	rates            map[api.EndpointID]float64             // as the module was told
	recoveredResults map[inflight.RequestID]recoveredResult // of an earlier life, for others than the platform

	// Of this turn.
	unanswered   map[api.WebhookID]*inflight.Webhook // not answered yet
	accepted     []api.WebhookID
	attempts     []attempt
	afterCommit  []func()
	cancels      []api.WebhookID
	idleToClose  []api.EndpointID
	commitFailed bool // nothing of it could be written
}

type attempt struct {
	endpoint api.EndpointID
	upstream.Attempt
}

// New makes a decider; Begin gives it its parts, which call back to it.
func New(x *inflight.Inbox, life *lifecycle.Lifecycle, j *wal.Log, f api.Settings) *Loop {
	f.BufferSize, f.MinTurnInterval = max(f.BufferSize, 1), max(f.MinTurnInterval, 1)
	d := &Loop{inbox: x, lifecycle: life, log: j, settings: f, now: inflight.Now(), nextID: 1,
		webhooks: map[api.WebhookID]*inflight.Webhook{}, idOf: map[inflight.RequestID]api.WebhookID{},
		unanswered: map[api.WebhookID]*inflight.Webhook{}, inFlight: map[api.WebhookID]bool{},
		stopped: make(chan struct{})}
	d.admission = []func(*inflight.Webhook) bool{d.admitInTime, d.admitWithinBuffer, d.admitOnce, d.acceptWebhook}
	return d
}

// Begin starts the module and hands it the webhooks of an earlier life.
func (d *Loop) Begin(calls *upstream.Client, finals *callback.Sender,
	start func(api.Settings, api.Host) api.Policy) {
	d.upstream, d.callbacks = calls, finals
	d.policy = start(d.settings, d)
	d.sweep()
	for _, e := range d.log.Entries() {
		d.nextID = max(d.nextID, e.ID+1)
		if e.Finished && d.isRecoveredResult(e) {
			continue
		}
		if e.Finished {
			d.callbacks.Enqueue(e.ID, e.Callback)
			continue
		}
		w, err := inflight.DecodeWebhook(e.ID, e.Payload)
		if err != nil {
			slog.Error("webhook of an earlier life not read", "id", e.ID, "err", err)
			continue
		}
		if e.EventType != "" { // an earlier release wrote none
			w.EventType = d.eventTypeID(e.EventType)
		}
		d.webhooks[w.ID], d.idOf[w.RequestID] = w, w.ID
		w.InDoubt = d.cluster != nil && d.cluster.IsInDoubt(w.RequestID)
		d.inbox.Resumed.Add(1)
		w.Trace("resumed", 0, api.Micros(e.Attempts))
		d.inbox.Post(func() { d.begin(w, e.Attempts, e.MayHaveRunAt, e.Zone) })
	}
}

// Empty tells whether nothing is held and no call is out.
func (d *Loop) Empty() bool {
	empty := make(chan bool, 1)
	d.inbox.Post(func() { empty <- len(d.webhooks) == 0 })
	return <-empty && d.upstream.InFlight() == 0
}

// UpdateSettings has the module decide by other facts from the next turn on. What is beyond a lower limit drains.
func (d *Loop) UpdateSettings(f api.Settings, types []string, idleLimit api.Micros) {
	d.inbox.Post(func() {
		f.BufferSize, f.MinTurnInterval = max(f.BufferSize, 1), max(f.MinTurnInterval, 1)
		d.settings = f
		d.SetEventTypes(types)
		d.upstream.UpdateSettings(f.ConnectTimeout, idleLimit, f.DestinationKinds)
		d.policy.UpdateSettings(f)
	})
}

// UpdateEndpoints takes a list; addrs are its entries' addresses.
func (d *Loop) UpdateEndpoints(entries []api.EndpointEntry, addrs []string, whole bool) {
	d.inbox.Lists.Add(1)
	for _, l := range entries {
		d.inbox.AddDestination(l.Destination)
	}
	d.inbox.Post(func() {
		named := map[api.EndpointID]bool{}
		for i, l := range entries {
			kind := api.DestinationKind{}
			if int(l.Kind) < len(d.settings.DestinationKinds) {
				kind = d.settings.DestinationKinds[l.Kind]
			}
			d.upstream.UpdateEndpoint(l, addrs[i], kind)
			named[l.Endpoint] = true
		}
		if whole {
			d.upstream.RemoveOthers(named)
		}
		d.policy.UpdateEndpoints(d.takeEndpoints(entries, whole), whole)
	})
}

// CallFinished takes the result of a webhook's part in a call, from the call's own goroutine.
func (d *Loop) CallFinished(w *inflight.Webhook, result api.AttemptResult) {
	d.inbox.Post(func() { d.handleResult(w, result) })
}

// handleResult records the result of an attempt and passes it to the policy.
func (d *Loop) handleResult(w *inflight.Webhook, result api.AttemptResult) {
	delete(d.inFlight, w.ID)
	discarded := result.Final // by the endpoint: no answer is needed any more
	delivered := result.Outcome == api.Delivered
	switch {
	case delivered || discarded:
		d.notifyEnded(w, d.endingOf(w, discarded))
		if !d.notifyResult(w, inflight.StatusDelivered, 0) {
			d.log.Finish(w.ID, nil)
			d.remove(w)
		}
	case result.Outcome.NeverRan():
		d.log.RecordNeverRan(w.ID)
	}
	if discarded {
		d.inbox.Over.Add(1)
	}
	result.Final = delivered || discarded
	d.policy.AttemptEnded(result)
	if d.webhooks[w.ID] != nil && !d.mayCall(w) {
		d.policy.Withdraw(w.ID)
		d.park(w)
	}
}

// handleNotSent is the result of an attempt that was not made after all.
func (d *Loop) handleNotSent(a attempt) {
	d.handleResult(a.Webhook, api.AttemptResult{Webhook: a.Webhook.ID, Endpoint: a.endpoint, Outcome: api.NotSent})
}

// CallbacksDelivered takes which notices were heard.
func (d *Loop) CallbacksDelivered(ids []api.WebhookID) {
	d.inbox.Post(func() {
		for _, id := range ids {
			d.log.CallbackDelivered(id)
		}
	})
}

func (d *Loop) remove(w *inflight.Webhook) {
	delete(d.inFlight, w.ID)
	delete(d.webhooks, w.ID)
	delete(d.idOf, w.RequestID)
}

// sweep has idle connections looked at now and then.
func (d *Loop) sweep() {
	d.timers.Add(int64(d.now+sweepTicks*d.settings.MinTurnInterval), func() {
		d.upstream.Sweep()
		d.sweep()
	})
}
