package member

import (
	"sync"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// mostAtOnce bounds what goes over in one message.
const mostAtOnce = 256

// owing is what is parked here and belongs elsewhere, or may.
type owing struct {
	forwarding *forwarding
	decider    *eventloop.Decider
	events     func(api.EventTypeID) api.EventType
	looks      func() // has Look called soon; does not wait

	mu      sync.Mutex
	adopted map[inflight.RequestID]shardmap.MoveID // came here by a move that has not ended
	told    map[shardmap.MoveID]bool               // its target knows what was learned here
	busy    map[cluster.MemberID]bool              // is being told
}

// adopts notes by which move a webhook came here; 0: by none, or it did not.
func (o *owing) adopts(id inflight.RequestID, move shardmap.MoveID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if move == 0 {
		delete(o.adopted, id)
	} else {
		o.adopted[id] = move
	}
}

func (o *owing) ordered(w *inflight.Webhook) bool { return w.Key != 0 && o.events(w.Event).Ordered }

// errand is what one member is to be told: offers by their moves, in the order taken, and doubts to settle.
type errand struct {
	moves  []shardmap.MoveID
	offers map[shardmap.MoveID][]eventloop.Owed
	asks   []eventloop.Owed
}

func (e *errand) offer(w eventloop.Owed, move shardmap.MoveID) {
	if e.offers[move] == nil {
		e.moves = append(e.moves, move)
	}
	if len(e.offers[move]) < mostAtOnce {
		e.offers[move] = append(e.offers[move], w)
	}
}

// Look hands on what belongs elsewhere and settles doubts, each member by itself: one that is cut off holds
// up nothing that the others are told.
func (o *owing) Look() {
	chart := o.forwarding.homes.Map()
	if chart == nil {
		return
	}
	all, _ := o.decider.Owes(func(*inflight.Webhook) bool { return true })
	o.over(chart)
	errands := map[cluster.MemberID]*errand{}
	for to, e := range o.sorts(chart, all) {
		if o.starts(to) {
			errands[to] = e
		}
	}
	for to, e := range errands {
		go func() {
			defer o.ends(to)
			o.settle(to, e.asks)
			for _, move := range e.moves {
				o.handOn(chart, to, move, e.offers[move])
			}
		}()
	}
	o.teach(chart)
}

func (o *owing) starts(to cluster.MemberID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	was := o.busy[to]
	o.busy[to] = true
	return !was
}

func (o *owing) ends(to cluster.MemberID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.busy, to)
}

// sorts is who is to be told what. Behind one that is in doubt, or is waited for, nothing of its key is
// handed on.
func (o *owing) sorts(chart *shardmap.Map, all []eventloop.Owed) map[cluster.MemberID]*errand {
	type turn struct {
		dest api.DestinationID
		key  api.Key
	}
	errands, waits := map[cluster.MemberID]*errand{}, map[turn]bool{}
	errandTo := func(to cluster.MemberID) *errand {
		if errands[to] == nil {
			errands[to] = &errand{offers: map[shardmap.MoveID][]eventloop.Owed{}}
		}
		return errands[to]
	}
	for _, w := range all {
		of := turn{w.Destination, w.Key}
		ordered := o.ordered(w.Webhook)
		if ordered && waits[of] {
			continue
		}
		to, move, goes := o.goes(chart, w)
		switch {
		case w.Doubted:
			waits[of] = waits[of] || ordered
			if at, _, out := o.forwarding.names.Out(nameOf(w.RequestID)); !out {
				o.came(w) // or settled by now
			} else if goes && to == at.To && o.forwarding.life(to) == at.Life {
				errandTo(to).offer(w, move)
			} else if e := errandTo(at.To); len(e.asks) < mostAtOnce {
				e.asks = append(e.asks, w)
			}
		case goes:
			errandTo(to).offer(w, move)
		default:
			waits[of] = waits[of] || ordered
		}
	}
	return errands
}

// came has a webhook go on from here that is in the journal and whose record could not be written when it
// came.
func (o *owing) came(w eventloop.Owed) {
	if name := nameOf(w.RequestID); o.forwarding.names.Comes(name) {
		if o.forwarding.names.Change([]shardmap.Name{name}, func(k *shardmap.Known) { k.Came(name) }) == nil {
			o.decider.Settled([]inflight.RequestID{w.RequestID})
		}
	}
}

// goes is where a webhook belongs, and by which move it goes there; false: it stays here for now.
func (o *owing) goes(chart *shardmap.Map, w eventloop.Owed) (cluster.MemberID, shardmap.MoveID, bool) {
	o.mu.Lock()
	_, adopted := o.adopted[w.RequestID]
	o.mu.Unlock()
	v := chart.VerdictOf(o.forwarding.homes.tenant(), w.Destination)
	switch {
	case adopted:
	case v.Do == shardmap.Forward:
		return v.To, 0, true
	case v.Do == shardmap.Hold && v.Passes.Open() && v.Passes.From == o.forwarding.homes.self:
		return v.Passes.To, v.Passes.ID, true
	}
	return "", 0, false
}

// over forgets by which moves webhooks came here, once those are decided.
func (o *owing) over(chart *shardmap.Map) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, move := range o.adopted {
		if chart.Owns(move) != shardmap.Undecided {
			delete(o.adopted, id)
		}
	}
}
