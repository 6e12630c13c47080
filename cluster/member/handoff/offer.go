package handoff

import (
	"errors"
	"log/slog"

	"rowanlink/cluster"
	"rowanlink/cluster/member/custody"
	"rowanlink/cluster/member/peer"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// offerTimeoutDivisor sets the time-out of transfers: LeaseTTL/offerTimeoutDivisor.
const offerTimeoutDivisor = 2

// offeredWebhook is a webhook that a transfer offers, with the peer's reply.
type offeredWebhook struct {
	eventloop.Parked
	id      shardmap.WebhookID
	handoff shardmap.HandoffNumber
	reply   shardmap.CustodyReply
}

// offerWebhooks offers webhooks to the owner of their range, or to the target of its move. They stay parked in doubt
// until the peer replies. A webhook without a reply is offered again later, with the same ID and hand-off number.
func (m *Manager) offerWebhooks(shardMap *shardmap.Map, to cluster.MemberID, move shardmap.MoveID,
	webhooks []eventloop.Parked) {
	transfer := peer.Transfer{MapVersion: shardMap.Version, SentAt: inflight.Now(), Move: move}
	offers := m.recordOffers(shardMap, to, &transfer, webhooks)
	if len(offers) == 0 {
		return
	}
	result, err := m.Peers.Send(to, peer.TransferPath, transfer, m.Ownership.LeaseTTL/offerTimeoutDivisor, false)
	accepted := 0
	for i := range offers {
		switch {
		case errors.Is(err, transport.ErrNotSent):
			offers[i].reply = shardmap.CustodyRejected // the transfer had no effect
		case err == nil:
			offers[i].reply = result.Outcomes[i].Reply
		}
		if offers[i].reply == shardmap.CustodyTaken {
			accepted++
		}
	}
	m.Metrics.HandedOff.Add(int64(accepted))
	m.applyReplies(offers)
	if err != nil {
		slog.Debug("pending webhooks not handed off", "to", to, "webhooks", len(offers), "error", err)
		return
	}
	slog.Info("pending webhooks handed off", "to", to, "move", move, "webhooks", accepted, "of", len(offers))
	if accepted > 0 {
		m.Wake()
		m.Ownership.OnChange()
	}
}

// recordOffers adds the webhooks that are still parked here to a transfer and writes their offers to the custody
// records, which has to be done before the transfer is sent. It returns the offers, or none if writing failed.
func (m *Manager) recordOffers(shardMap *shardmap.Map, to cluster.MemberID, transfer *peer.Transfer,
	webhooks []eventloop.Parked) (offers []offeredWebhook) {
	localIDs := make([]api.WebhookID, len(webhooks))
	ids := make([]shardmap.WebhookID, len(webhooks))
	for i, w := range webhooks {
		localIDs[i], ids[i] = w.ID, custody.IDOf(w.RequestID)
	}
	marked := m.Loop.MarkInDoubt(localIDs)
	incarnation := m.Peers.Incarnation(to)
	var newlyMarked, resolved []inflight.RequestID
	err := m.Custody.Update(ids, func(t *shardmap.CustodyTable) {
		for i, w := range webhooks {
			r, found := shardMap.RangeOf(shardMap.KeyOf(w.Destination))
			wasNotInDoubt, parked := marked[w.ID]
			_, _, pending := t.OutstandingOffer(ids[i])
			switch {
			case !parked || !found:
				continue
			case !pending && !wasNotInDoubt: // in doubt without an offer, for example because it is arriving
				continue
			case !pending && w.MayBeElsewhere: // was in doubt, resolved meanwhile and marked again by MarkInDoubt
				resolved = append(resolved, w.RequestID)
				continue
			case !pending:
				newlyMarked = append(newlyMarked, w.RequestID)
			}
			handoff, ok := t.BeginOffer(ids[i], w.Deadline, shardmap.Offer{To: to, Incarnation: incarnation,
				Move: transfer.Move, Range: r.ID, Epoch: r.Epoch, SentAt: transfer.SentAt})
			if ok {
				offers = append(offers, offeredWebhook{Parked: w, id: ids[i], handoff: handoff})
				transfer.Webhooks = append(transfer.Webhooks, peer.EncodeWebhook(w, ids[i], handoff))
			}
		}
	})
	if err != nil {
		resolved, offers = append(resolved, newlyMarked...), nil
	}
	m.Loop.ResolveInDoubt(resolved)
	return offers
}

// applyReplies ends, keeps or leaves in doubt each offered webhook, depending on its reply.
func (m *Manager) applyReplies(offers []offeredWebhook) {
	var notTaken []shardmap.WebhookID
	for _, o := range offers {
		if o.reply != shardmap.CustodyTaken {
			notTaken = append(notTaken, o.id)
		}
	}
	if len(notTaken) < len(offers) {
		m.dropTransferred(offers)
	}
	if len(notTaken) == 0 {
		return
	}
	var kept []inflight.RequestID
	err := m.Custody.Update(notTaken, func(t *shardmap.CustodyTable) {
		for _, o := range offers {
			if o.reply == shardmap.CustodyTaken {
				continue
			}
			if t.HandleReply(o.id, o.handoff, o.reply) == shardmap.KeepCopy {
				kept = append(kept, o.RequestID)
			}
		}
	})
	if err == nil { // else the webhooks stay in doubt
		m.Loop.ResolveInDoubt(kept)
	}
	for _, o := range offers {
		pending, handoff, found := m.Custody.OutstandingOffer(o.id)
		if found && o.reply == shardmap.CustodyStateLost {
			m.resolveInDoubt(inDoubtWebhook{Parked: o.Parked, id: o.id, handoff: handoff, offer: pending}, o.reply)
		}
	}
}

// dropTransferred ends the webhooks that another member has taken. The custody table stays locked meanwhile: the other
// member may already be transferring one of them back, and a webhook must not be accepted again before it has ended
// here.
func (m *Manager) dropTransferred(offers []offeredWebhook) {
	m.Custody.UpdateInMemory(func(t *shardmap.CustodyTable) {
		var ids []api.WebhookID
		for _, o := range offers {
			if o.reply != shardmap.CustodyTaken {
				continue
			}
			if t.HandleReply(o.id, o.handoff, o.reply) == shardmap.DropCopy {
				ids = append(ids, o.ID)
			}
		}
		if len(ids) > 0 {
			m.Loop.FinishTransferred(ids)
		}
	})
}
