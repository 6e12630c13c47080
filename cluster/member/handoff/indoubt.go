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

// queryTimeoutDivisor sets the time-out of custody queries: LeaseTTL/queryTimeoutDivisor.
const queryTimeoutDivisor = 4

// inDoubtWebhook is a webhook that another member may have, with the offer whose outcome is unknown.
type inDoubtWebhook struct {
	eventloop.Parked
	id      shardmap.WebhookID
	handoff shardmap.HandoffNumber
	offer   shardmap.Offer
}

// queryInDoubt queries a member for the custody of webhooks that were offered to it. The offers can't be repeated,
// because that member is no longer the owner, or because its directory now has another incarnation.
func (m *Manager) queryInDoubt(at cluster.MemberID, webhooks []eventloop.Parked) {
	now := inflight.Now()
	var queried []inDoubtWebhook
	var queries []peer.CustodyQuery
	for _, w := range webhooks {
		id := custody.IDOf(w.RequestID)
		offer, handoff, offered := m.Custody.OutstandingOffer(id)
		if !offered || offer.To != at {
			continue
		}
		queried = append(queried, inDoubtWebhook{Parked: w, id: id, handoff: handoff, offer: offer})
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

// resolveInDoubt decides what becomes of a webhook in doubt, by the reply to its query or offer. CustodyUnknown stands
// for a missing reply. The rules are those of shardmap.Offer.Resolve.
func (m *Manager) resolveInDoubt(d inDoubtWebhook, reply shardmap.CustodyReply) {
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

// dropCopy ends a webhook that the other member has taken. It returns false if another reply resolved the webhook
// meanwhile. The end of the webhook is written before its custody record.
func (m *Manager) dropCopy(d inDoubtWebhook) (dropped bool) {
	m.Custody.UpdateInMemory(func(t *shardmap.CustodyTable) {
		dropped = t.HandleReply(d.id, d.handoff, shardmap.CustodyTaken) == shardmap.DropCopy
		if dropped {
			m.Loop.FinishTransferred([]api.WebhookID{d.ID})
		}
	})
	return dropped
}

// keepCopy resumes the delivery of a webhook that the other member has not taken and never will. It returns false if
// the webhook is still in doubt and has to be resolved again, or was resolved by another reply.
func (m *Manager) keepCopy(d inDoubtWebhook) (kept bool) {
	err := m.Custody.Update([]shardmap.WebhookID{d.id}, func(t *shardmap.CustodyTable) {
		kept = t.HandleReply(d.id, d.handoff, shardmap.CustodyNeverTaken) == shardmap.KeepCopy
	})
	if !kept || err != nil {
		return false
	}
	m.Loop.ResolveInDoubt([]inflight.RequestID{d.RequestID})
	return true
}

// forkCopy resumes the delivery of a webhook that may have run at the other member (shardmap.ForkCopy), or dead-letters
// it (shardmap.DeadLetterCopy). That the webhook may have run is written first, so that it is known after a restart.
// forkCopy returns false if the webhook is still in doubt and has to be resolved again, or was resolved by another
// reply.
func (m *Manager) forkCopy(d inDoubtWebhook, resolution shardmap.Resolution) (forked bool) {
	mayHaveRun := &inflight.PriorAttempts{Attempts: d.Attempts + 1, MayHaveRunAt: d.offer.SentAt}
	if !m.Loop.MergePriorAttempts(map[inflight.RequestID]*inflight.PriorAttempts{d.RequestID: mayHaveRun}) {
		return false
	}
	err := m.Custody.Update([]shardmap.WebhookID{d.id}, func(t *shardmap.CustodyTable) {
		_, handoff, pending := t.OutstandingOffer(d.id)
		forked = pending && handoff == d.handoff // else another reply has resolved the offer meanwhile
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

// isOwnerReplaced reports whether the map shows that the member that may have a webhook can no longer call its
// destination, because the range was granted to another member after the offer. It returns false if the map leaves that
// open.
func (m *Manager) isOwnerReplaced(d inDoubtWebhook) bool {
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
