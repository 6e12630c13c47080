// Package eventloop runs the decision policy in one goroutine, which owns the policy and implements its api.Host. The loop
// works in turns: a turn handles all queued input, lets the policy decide once, writes the decisions to the write-ahead
// log, and only then acts on them.
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

// sweepTurns is the number of minimum turn intervals between two sweeps of idle connections.
const sweepTurns = 20

// Loop owns the policy and the webhooks. Methods whose comment says so may be called from any goroutine: they post a
// function to the loop, and some wait for the turn that runs it. All other methods may be called only from the loop's
// goroutine, or before Run.
type Loop struct {
	inbox      *inflight.Inbox
	lifecycle  *lifecycle.Lifecycle
	log        *wal.Log
	upstream   *upstream.Client
	callbacks  *callback.Sender
	settings   api.Settings
	eventTypes []string // the names, by api.EventTypeID
	policy     api.Policy
	admission  []func(*inflight.Webhook) bool

	now        api.Micros // the time of the turn
	lastTurnAt api.Micros
	nextID     api.WebhookID
	webhooks   map[api.WebhookID]*inflight.Webhook
	idOf       map[inflight.RequestID]api.WebhookID
	inFlight   map[api.WebhookID]bool // in a call
	timers     timerqueue.Queue[func()]
	stopped    chan struct{} // closed after the last turn

	// Used only in a cluster; nil otherwise.
	cluster          Cluster
	parked           map[api.WebhookID]*inflight.Webhook
	parkedByKey      map[orderingGroup][]api.WebhookID // in the order of acceptance
	endpoints        map[api.EndpointID]api.EndpointEntry
	rates            map[api.EndpointID]float64             // as last passed to the policy
	recoveredResults map[inflight.RequestID]recoveredResult // that an earlier incarnation left for other members

	// State of the current turn.
	unanswered   map[api.WebhookID]*inflight.Webhook // accepted, and the client has no answer yet
	accepted     []api.WebhookID
	attempts     []attempt
	afterCommit  []func()
	cancels      []api.WebhookID
	idleToClose  []api.EndpointID
	commitFailed bool
}

// attempt is a delivery attempt that the policy started in this turn.
type attempt struct {
	endpoint api.EndpointID
	upstream.Attempt
}

// New returns a Loop. Begin passes it the parts that need the Loop for their own creation.
func New(inbox *inflight.Inbox, life *lifecycle.Lifecycle, log *wal.Log, settings api.Settings) *Loop {
	l := &Loop{
		inbox:      inbox,
		lifecycle:  life,
		log:        log,
		settings:   withLimits(settings),
		now:        inflight.Now(),
		nextID:     1,
		webhooks:   map[api.WebhookID]*inflight.Webhook{},
		idOf:       map[inflight.RequestID]api.WebhookID{},
		unanswered: map[api.WebhookID]*inflight.Webhook{},
		inFlight:   map[api.WebhookID]bool{},
		stopped:    make(chan struct{}),
	}
	l.admission = []func(*inflight.Webhook) bool{l.admitInTime, l.admitWithinBuffer, l.admitOnce, l.acceptWebhook}
	return l
}

func withLimits(s api.Settings) api.Settings {
	s.BufferSize = max(s.BufferSize, 1)
	s.MinTurnInterval = max(s.MinTurnInterval, 1)
	return s
}

// Begin starts the policy and recovers the webhooks of an earlier incarnation.
func (l *Loop) Begin(client *upstream.Client, callbacks *callback.Sender,
	newPolicy func(api.Settings, api.Host) api.Policy) {
	l.upstream = client
	l.callbacks = callbacks
	l.policy = newPolicy(l.settings, l)
	l.scheduleSweep()
	for _, e := range l.log.Entries() {
		l.nextID = max(l.nextID, e.ID+1)
		if e.Finished && l.storeRecoveredResult(e) {
			continue
		}
		if e.Finished {
			l.callbacks.Enqueue(e.ID, e.Callback)
			continue
		}
		l.recoverEntry(e)
	}
}

// recoverEntry recovers a webhook from the write-ahead log; the policy gets it in the first turn.
func (l *Loop) recoverEntry(e *wal.Entry) {
	w, err := inflight.DecodeWebhook(e.ID, e.Payload)
	if err != nil {
		slog.Error("webhook not recovered", "id", e.ID, "err", err)
		return
	}
	if e.EventType != "" { // earlier releases wrote none
		w.EventType = l.eventTypeID(e.EventType)
	}
	l.add(w)
	w.InDoubt = l.cluster != nil && l.cluster.IsInDoubt(w.RequestID)
	l.inbox.Recovered.Add(1)
	w.Trace("recovered", 0, api.Micros(e.Attempts))
	l.inbox.Post(func() { l.begin(w, priorAttempts(e)) })
}

func priorAttempts(e *wal.Entry) api.PriorAttempts {
	return api.PriorAttempts{Count: e.Attempts, MayHaveRunAt: e.MayHaveRunAt, Zone: e.Zone}
}

// Empty reports whether no webhook is pending and no call is in flight. It waits for a turn; it may be called from any
// goroutine.
func (l *Loop) Empty() bool {
	empty := make(chan bool, 1)
	l.inbox.Post(func() { empty <- len(l.webhooks) == 0 })
	return <-empty && l.upstream.InFlight() == 0
}

// UpdateSettings applies new settings from the next turn on. Webhooks above a lowered limit are kept until they
// finish. It may be called from any goroutine.
func (l *Loop) UpdateSettings(settings api.Settings, eventTypes []string, idleTimeout api.Micros) {
	l.inbox.Post(func() {
		l.settings = withLimits(settings)
		l.SetEventTypes(eventTypes)
		l.upstream.UpdateSettings(settings.ConnectTimeout, idleTimeout, settings.DestinationKinds)
		l.policy.UpdateSettings(l.settings)
	})
}

// UpdateEndpoints applies an endpoint list; addresses[i] is the address of entries[i]. Endpoints that a complete list
// lacks are removed. It may be called from any goroutine.
func (l *Loop) UpdateEndpoints(entries []api.EndpointEntry, addresses []string, complete bool) {
	l.inbox.Lists.Add(1)
	for _, entry := range entries {
		l.inbox.AddDestination(entry.Destination)
	}
	l.inbox.Post(func() {
		listed := map[api.EndpointID]bool{}
		for i, entry := range entries {
			l.upstream.UpdateEndpoint(entry, addresses[i], l.kind(entry.Kind))
			listed[entry.Endpoint] = true
		}
		if complete {
			l.upstream.RemoveOthers(listed)
		}
		l.policy.UpdateEndpoints(l.takeEndpoints(entries, complete), complete)
	})
}

func (l *Loop) kind(id api.DestinationKindID) api.DestinationKind {
	if int(id) < len(l.settings.DestinationKinds) {
		return l.settings.DestinationKinds[id]
	}
	return api.DestinationKind{}
}

// CallFinished reports the result of a call for one of the webhooks in it. It may be called from any goroutine.
func (l *Loop) CallFinished(w *inflight.Webhook, result api.AttemptResult) {
	l.inbox.Post(func() { l.handleResult(w, result) })
}

// handleResult records the result of an attempt and passes it to the policy.
func (l *Loop) handleResult(w *inflight.Webhook, result api.AttemptResult) {
	delete(l.inFlight, w.ID)
	discarded := result.Final // the endpoint answered that it needs no delivery any more
	delivered := result.Outcome == api.Delivered
	switch {
	case delivered || discarded:
		l.observeEnd(w, l.endingOf(w, discarded))
		if !l.notifyResult(w, inflight.StatusDelivered, 0) {
			l.log.Finish(w.ID, nil)
			l.remove(w)
		}
	case result.Outcome.NeverRan():
		l.log.RecordNeverRan(w.ID)
	}
	if discarded {
		l.inbox.Discarded.Add(1)
	}
	result.Final = delivered || discarded
	l.policy.AttemptEnded(result)
	if l.webhooks[w.ID] != nil && !l.mayCall(w) {
		l.policy.Withdraw(w.ID)
		l.park(w)
	}
}

// handleNotSent ends an attempt for which no call is made after all.
func (l *Loop) handleNotSent(a attempt) {
	l.handleResult(a.Webhook, api.AttemptResult{Webhook: a.Webhook.ID, Endpoint: a.endpoint, Outcome: api.NotSent})
}

// CallbacksDelivered records that callbacks were acknowledged. It may be called from any goroutine.
func (l *Loop) CallbacksDelivered(ids []api.WebhookID) {
	l.inbox.Post(func() {
		for _, id := range ids {
			l.log.CallbackDelivered(id)
		}
	})
}

func (l *Loop) add(w *inflight.Webhook) {
	l.webhooks[w.ID] = w
	l.idOf[w.RequestID] = w.ID
}

func (l *Loop) remove(w *inflight.Webhook) {
	delete(l.inFlight, w.ID)
	delete(l.webhooks, w.ID)
	delete(l.idOf, w.RequestID)
}

// scheduleSweep schedules the next sweep of idle connections; each sweep schedules another one.
func (l *Loop) scheduleSweep() {
	l.timers.Add(int64(l.now+sweepTurns*l.settings.MinTurnInterval), func() {
		l.upstream.Sweep()
		l.scheduleSweep()
	})
}
