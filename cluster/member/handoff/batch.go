package handoff

import (
	"rowanlink/cluster"
	"rowanlink/cluster/member/custody"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// batch is what one Run sends to one peer: offers of webhooks, grouped by move and in the order accepted, and custody
// queries for webhooks in doubt.
type batch struct {
	// moves are the keys of offers, in the order of their first webhooks. Move 0 stands for offers to the owner.
	moves   []shardmap.MoveID
	offers  map[shardmap.MoveID][]eventloop.Parked // at most MaxBatch by each move
	queries []eventloop.Parked                     // at most MaxBatch
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

// batches holds the batch for each peer.
type batches map[cluster.MemberID]*batch

func (b batches) forPeer(to cluster.MemberID) *batch {
	if b[to] == nil {
		b[to] = &batch{offers: map[shardmap.MoveID][]eventloop.Parked{}}
	}
	return b[to]
}

// orderingKey identifies a sequence of webhooks that are delivered in the order accepted.
type orderingKey struct {
	destination api.DestinationID
	key         api.OrderingKey
}

// batchByPeer groups the pending webhooks by the peer that they are sent to. Behind an ordered webhook that is in doubt
// or stays here, no later webhook with the same ordering key is handed off: it could be delivered first.
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
			all.forPeer(r.to).addOffer(w, r.move)
		default:
			blocked[key] = blocked[key] || ordered
		}
	}
	return all
}

// batchInDoubt adds a webhook in doubt to the batches. If the webhook is still routed to the member and the incarnation
// that it was offered to, the offer is repeated; otherwise that member is queried for it.
func (m *Manager) batchInDoubt(all batches, w eventloop.Parked, r route, routed bool) {
	offer, _, offered := m.Custody.OutstandingOffer(custody.IDOf(w.RequestID))
	switch {
	case !offered:
		m.confirmArrival(w) // in doubt because it is arriving here, or resolved meanwhile
	case routed && r.to == offer.To && m.Peers.Incarnation(r.to) == offer.Incarnation:
		all.forPeer(r.to).addOffer(w, r.move)
	default:
		all.forPeer(offer.To).addQuery(w)
	}
}

// confirmArrival confirms a webhook that arrived from another member and is in the webhook journal, but whose custody
// record could not be written then. Once the record is written, the webhook is no longer in doubt.
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

// route is the member that a webhook is handed off to, and why.
type route struct {
	to   cluster.MemberID
	move shardmap.MoveID // the move by which the webhook is handed off; 0: none, to is the owner
}

// route returns where a webhook is handed off to. It returns false if the webhook stays here for now; in particular,
// one that arrived by a move stays until the map shows which side of the move owns the range.
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
