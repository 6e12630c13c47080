package handoff

import (
	"rowanlink/cluster"
	"rowanlink/cluster/member/custody"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// batch is sent to one peer: offers of webhooks, by move and in the order accepted, and queries for webhooks in doubt.
type batch struct {
	moves   []shardmap.MoveID // in the order of their first offers; 0: offers to the owner
	offers  map[shardmap.MoveID][]eventloop.Parked
	queries []eventloop.Parked
}

func (b *batch) addOffer(w eventloop.Parked, move shardmap.MoveID) {
	if b.offers[move] == nil {
		b.moves = append(b.moves, move)
	}
	if len(b.offers[move]) < MaxBatch {
		b.offers[move] = append(b.offers[move], w)
	}
}

func (b *batch) addQuery(w eventloop.Parked) {
	if len(b.queries) < MaxBatch {
		b.queries = append(b.queries, w)
	}
}

// batches are the batches by their peers.
type batches map[cluster.MemberID]*batch

func (b batches) of(to cluster.MemberID) *batch {
	if b[to] == nil {
		b[to] = &batch{offers: map[shardmap.MoveID][]eventloop.Parked{}}
	}
	return b[to]
}

// orderingKey identifies webhooks that are delivered in order.
type orderingKey struct {
	destination api.DestinationID
	key         api.OrderingKey
}

// batchByPeer groups the pending webhooks by peer. Of one ordering key, no webhook is handed off behind one that is in
// doubt or stays here.
func (m *Manager) batchByPeer(shardMap *shardmap.Map, pending []eventloop.Parked) batches {
	all, blocked := batches{}, map[orderingKey]bool{}
	for _, w := range pending {
		key := orderingKey{destination: w.Destination, key: w.OrderingKey}
		ordered := m.IsOrdered(w.Webhook)
		if ordered && blocked[key] {
			continue
		}
		r, routed := m.route(shardMap, w)
		switch {
		case w.MayBeElsewhere:
			blocked[key] = blocked[key] || ordered
			m.batchInDoubt(all, w, r, routed)
		case routed:
			all.of(r.to).addOffer(w, r.move)
		default:
			blocked[key] = blocked[key] || ordered
		}
	}
	return all
}

// batchInDoubt adds a webhook in doubt as a repeated offer if it goes to the same folder, and else as a query.
func (m *Manager) batchInDoubt(all batches, w eventloop.Parked, r route, routed bool) {
	offer, _, offered := m.Custody.PendingOffer(custody.IDOf(w.RequestID))
	switch {
	case !offered:
		m.confirmArrival(w) // it may be resolved meanwhile
	case routed && r.to == offer.To && m.Peers.Incarnation(r.to) == offer.Incarnation:
		all.of(r.to).addOffer(w, r.move)
	default:
		all.of(offer.To).addQuery(w)
	}
}

// confirmArrival resolves the doubt about a webhook that is in the webhook journal, and whose custody record could not be
// written when it arrived.
func (m *Manager) confirmArrival(w eventloop.Parked) {
	id := custody.IDOf(w.RequestID)
	if !m.Custody.IsArriving(id) {
		return
	}
	err := m.Custody.Update([]shardmap.WebhookID{id}, func(t *shardmap.CustodyTable) { t.ConfirmStored(id) })
	if err == nil {
		m.Loop.ResolveInDoubt([]inflight.RequestID{w.RequestID})
	}
}

// route is where a webhook is handed off to.
type route struct {
	to   cluster.MemberID
	move shardmap.MoveID // by which it is handed off; 0: to is the owner
}

// route returns where a webhook is handed off to; false: it stays here for now.
func (m *Manager) route(shardMap *shardmap.Map, w eventloop.Parked) (route, bool) {
	m.mu.Lock()
	_, arrivedByMove := m.arrivals[w.RequestID]
	m.mu.Unlock()
	d := shardMap.DecideDestination(m.Ownership.LocalMember(), w.Destination)
	switch {
	case arrivedByMove:
	case d.Action == shardmap.Forward:
		return route{to: d.Owner}, true
	case d.Action == shardmap.ParkOwned && d.Move.IsOpen() && d.Move.From == m.Ownership.Self:
		return route{to: d.Move.To, move: d.Move.ID}, true
	}
	return route{}, false
}
