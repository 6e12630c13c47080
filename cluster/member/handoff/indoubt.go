package handoff

import (
	"log/slog"

	"rowanlink/cluster"
	"rowanlink/cluster/member/custody"
	"rowanlink/cluster/member/peer"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// queryTimeoutDivisor is the fraction of a lease TTL that the reply to queries may take.
const queryTimeoutDivisor = 4

// inDoubt is a webhook that another member may have, with the offer that left the doubt.
type inDoubt struct {
	eventloop.Parked
	id      shardmap.WebhookID
	handoff shardmap.HandoffNumber
	offer   shardmap.Offer
}

// queryInDoubt queries a member for webhooks that it may have and that can't be offered to it again: it is not the owner
// any more, or has another folder.
func (m *Manager) queryInDoubt(at cluster.MemberID, webhooks []eventloop.Parked) {
	now := inflight.Now()
	var queried []inDoubt
	var queries []peer.CustodyQuery
	for _, w := range webhooks {
		id := custody.IDOf(w.RequestID)
		offer, handoff, offered := m.Custody.PendingOffer(id)
		if !offered || offer.To != at {
			continue
		}
		queried = append(queried, inDoubt{Parked: w, id: id, handoff: handoff, offer: offer})
		queries = append(queries, peer.CustodyQuery{ID: id, Handoff: handoff, TTLLeft: w.Deadline - now,
			Incarnation: offer.Incarnation})
	}
	if len(queries) == 0 {
		return
	}
	replies, err := m.Peers.QueryCustody(at, queries, m.Ownership.LeaseTTL/queryTimeoutDivisor)
	if len(replies) != len(queries) {
		slog.Debug("webhooks in doubt not resolved", "member", at, "webhooks", len(queries), "error", err)
		replies = make([]shardmap.CustodyReply, len(queries)) // CustodyUnknown
	}
	for i, d := range queried {
		m.resolveInDoubt(d, replies[i])
	}
}

// resolveInDoubt resolves the doubt by a reply, or by the rules for a missing one (shardmap.Offer.Resolve).
func (m *Manager) resolveInDoubt(d inDoubt, reply shardmap.CustodyReply) {
	now := inflight.Now()
	resolution := d.offer.Resolve(reply, m.isOwnerReplaced(d), m.EventType(d.EventType), d.MayHaveRunAt, d.Deadline, now)
	resolved := false
	switch resolution {
	case shardmap.StayInDoubt:
	case shardmap.DropCopy:
		resolved = m.dropCopy(d)
	case shardmap.KeepCopy:
		resolved = m.keepCopy(d)
	case shardmap.ForkCopy, shardmap.DeadLetterCopy:
		resolved = m.forkCopy(d, resolution)
	}
	if resolved {
		slog.Info("in-doubt webhook resolved", "webhook", d.RequestID, "ours", resolution != shardmap.DropCopy,
			"member", d.offer.To, "reply", reply)
		m.Wake()
	}
}

// dropCopy ends a webhook that the other member has. It returns false if the doubt was resolved otherwise meanwhile. The
// end of the webhook is written before its custody record.
func (m *Manager) dropCopy(d inDoubt) (dropped bool) {
	m.Custody.UpdateUnsynced(func(t *shardmap.CustodyTable) {
		dropped = t.HandleReply(d.id, d.handoff, shardmap.CustodyTaken) == shardmap.DropCopy
		if dropped {
			m.Loop.FinishTransferred([]api.WebhookID{d.ID})
		}
	})
	return dropped
}

// keepCopy continues with a webhook that the other member never took. It returns false if that has to be tried again.
func (m *Manager) keepCopy(d inDoubt) (kept bool) {
	err := m.Custody.Update([]shardmap.WebhookID{d.id}, func(t *shardmap.CustodyTable) {
		kept = t.HandleReply(d.id, d.handoff, shardmap.CustodyNeverTaken) == shardmap.KeepCopy
	})
	if !kept || err != nil {
		return false
	}
	m.Loop.ResolveInDoubt([]inflight.RequestID{d.RequestID})
	return true
}

// forkCopy continues with a webhook that may have run elsewhere (ForkCopy), or dead-letters it. It returns false if that
// has to be tried again. That the webhook may have run is written first, for a restart.
func (m *Manager) forkCopy(d inDoubt, resolution shardmap.Resolution) (forked bool) {
	mayHaveRun := &inflight.PriorAttempts{Attempts: d.Attempts + 1, MayHaveRunAt: d.offer.SentAt}
	if !m.Loop.MergePriorAttempts(map[inflight.RequestID]*inflight.PriorAttempts{d.RequestID: mayHaveRun}) {
		return false
	}
	err := m.Custody.Update([]shardmap.WebhookID{d.id}, func(t *shardmap.CustodyTable) {
		_, handoff, pending := t.OutstandingOffer(d.id)
		forked = pending && handoff == d.handoff // else another reply came meanwhile
		if forked {
			t.Fork(d.id)
		}
	})
	if !forked || err != nil {
		return false
	}
	if resolution == shardmap.ForkCopy {
		m.Loop.ResolveInDoubt([]inflight.RequestID{d.RequestID})
	} else {
		m.Loop.DeadLetterInDoubt(d.ID)
	}
	return true
}

// isOwnerReplaced reports whether, by the map, the member that may have a webhook can't call for it any more, because the
// range was granted to another member since.
func (m *Manager) isOwnerReplaced(d inDoubt) bool {
	shardMap := m.Ownership.Map()
	if shardMap == nil {
		return false
	}
	r, found := shardMap.RangeOf(shardMap.KeyOf(d.Destination))
	if !found || len(shardMap.MisplacedOf(d.Destination)) > 0 {
		return false
	}
	isTarget := r.Move.IsOpen() && r.Move.To == d.offer.To
	return r.Epoch > d.offer.Epoch && r.Owner != d.offer.To && !isTarget
}
