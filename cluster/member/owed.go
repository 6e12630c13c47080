package member

import (
	"sync"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// MaxBatch bounds what goes over in one message.
const MaxBatch = 256

// Handoff is what is parked here and belongs elsewhere, or may.
type Handoff struct {
	forwarding *forwarder
	decider    *eventloop.Decider
	eventType  func(api.EventTypeID) api.EventType
	wake       func() // has Look called soon; does not wait

	mu         sync.Mutex
	arrivals   map[inflight.RequestID]shardmap.MoveID // came here by a move that has not ended
	stateSent  map[shardmap.MoveID]bool               // its target knows what was learned here
	inProgress map[cluster.MemberID]bool              // is being told
}

// RecordArrival notes by which move a webhook came here; 0: by none, or it did not.
func (o *Handoff) RecordArrival(id inflight.RequestID, move shardmap.MoveID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if move == 0 {
		delete(o.arrivals, id)
	} else {
		o.arrivals[id] = move
	}
}

func (o *Handoff) IsOrdered(w *inflight.Webhook) bool {
	return w.Key != 0 && o.eventType(w.Event).Ordered
}

// batch is what one member is to be told: offers by their moves, in the order taken, and doubts to settle.
type batch struct {
	moves   []shardmap.MoveID
	offers  map[shardmap.MoveID][]eventloop.Owed
	queries []eventloop.Owed
}

func (e *batch) addOffer(w eventloop.Owed, move shardmap.MoveID) {
	if e.offers[move] == nil {
		e.moves = append(e.moves, move)
	}
	if len(e.offers[move]) < MaxBatch {
		e.offers[move] = append(e.offers[move], w)
	}
}

// Run hands on what belongs elsewhere and settles doubts, each member by itself: one that is cut off holds
// up nothing that the others are told.
func (o *Handoff) Run() {
	chart := o.forwarding.ownership.Map()
	if chart == nil {
		return
	}
	all, _ := o.decider.Owes(func(*inflight.Webhook) bool { return true })
	o.forgetDecidedMoves(chart)
	errands := map[cluster.MemberID]*batch{}
	for to, e := range o.batchByPeer(chart, all) {
		if o.tryStart(to) {
			errands[to] = e
		}
	}
	for to, e := range errands {
		go func() {
			defer o.finish(to)
			o.queryInDoubt(to, e.queries)
			for _, move := range e.moves {
				o.offerBatch(chart, to, move, e.offers[move])
			}
		}()
	}
	o.transferState(chart)
}

func (o *Handoff) tryStart(to cluster.MemberID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	was := o.inProgress[to]
	o.inProgress[to] = true
	return !was
}

func (o *Handoff) finish(to cluster.MemberID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.inProgress, to)
}

// batchByPeer is who is to be told what. Behind one that is in doubt, or is waited for, nothing of its key is
// handed on.
func (o *Handoff) batchByPeer(chart *shardmap.Map, all []eventloop.Owed) map[cluster.MemberID]*batch {
	type turn struct {
		dest api.DestinationID
		key  api.OrderingKey
	}
	errands, waits := map[cluster.MemberID]*batch{}, map[turn]bool{}
	errandTo := func(to cluster.MemberID) *batch {
		if errands[to] == nil {
			errands[to] = &batch{offers: map[shardmap.MoveID][]eventloop.Owed{}}
		}
		return errands[to]
	}
	for _, w := range all {
		of := turn{w.Destination, w.Key}
		ordered := o.IsOrdered(w.Webhook)
		if ordered && waits[of] {
			continue
		}
		to, move, goes := o.route(chart, w)
		switch {
		case w.Doubted:
			waits[of] = waits[of] || ordered
			if at, _, out := o.forwarding.custody.PendingOffer(NameOf(w.RequestID)); !out {
				o.confirmArrival(w) // or settled by now
			} else if goes && to == at.To && o.forwarding.Incarnation(to) == at.Incarnation {
				errandTo(to).addOffer(w, move)
			} else if e := errandTo(at.To); len(e.queries) < MaxBatch {
				e.queries = append(e.queries, w)
			}
		case goes:
			errandTo(to).addOffer(w, move)
		default:
			waits[of] = waits[of] || ordered
		}
	}
	return errands
}

// confirmArrival has a webhook go on from here that is in the journal and whose record could not be written when it
// came.
func (o *Handoff) confirmArrival(w eventloop.Owed) {
	if name := NameOf(w.RequestID); o.forwarding.custody.IsArriving(name) {
		if o.forwarding.custody.Update([]shardmap.WebhookID{name}, func(k *shardmap.CustodyTable) { k.ConfirmStored(name) }) == nil {
			o.decider.Settled([]inflight.RequestID{w.RequestID})
		}
	}
}

// route is where a webhook belongs, and by which move it goes there; false: it stays here for now.
func (o *Handoff) route(chart *shardmap.Map, w eventloop.Owed) (cluster.MemberID, shardmap.MoveID, bool) {
	o.mu.Lock()
	_, adopted := o.arrivals[w.RequestID]
	o.mu.Unlock()
	v := chart.DecideDestination(o.forwarding.ownership.Claimant(), w.Destination)
	switch {
	case adopted:
	case v.Action == shardmap.Forward:
		return v.Owner, 0, true
	case v.Action == shardmap.ParkOwned && v.Move.IsOpen() && v.Move.From == o.forwarding.ownership.self:
		return v.Move.To, v.Move.ID, true
	}
	return "", 0, false
}

// forgetDecidedMoves forgets by which moves webhooks came here, once those are decided.
func (o *Handoff) forgetDecidedMoves(chart *shardmap.Map) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, move := range o.arrivals {
		if chart.OwnerByMove(move) != shardmap.OwnerUndecided {
			delete(o.arrivals, id)
		}
	}
}
