package shardmap

import "rowanlink/webhook/api"

// BeginOffer records that a webhook held here is about to be offered, and returns the number of the hand-off. If the
// webhook is offered again to the member that may already have it, the number is the same as before. BeginOffer
// returns false if another member may have the webhook; that member must be queried first.
func (t *CustodyTable) BeginOffer(id WebhookID, deadline api.Micros, offer Offer) (HandoffNumber, bool) {
	r := t.recordOf(id, deadline)
	if r.hasOffer() {
		isSameTarget := r.Offer.To == offer.To && r.Offer.Incarnation == offer.Incarnation
		return r.Handoff, isSameTarget
	}
	r.Handoff, r.Present, r.Offer = t.NextHandoff(id), true, offer
	return r.Handoff, true
}

// RecordUnansweredForward records that this member accepted a webhook from its client, forwarded it without a record,
// and got no answer. handoff is the number with which the webhook was sent: by another number no member could tell
// whether it took the webhook, and a query may have raised the next number meanwhile. It returns false if the webhook
// has come back since: the other member had taken it, and this one keeps no copy.
func (t *CustodyTable) RecordUnansweredForward(
	id WebhookID, handoff HandoffNumber, deadline api.Micros, offer Offer,
) bool {
	r := t.recordOf(id, deadline)
	if r.Handoff >= handoff {
		return false
	}
	offer.Uncertain = true
	r.Handoff, r.Present, r.Offer = handoff, true, offer
	return true
}

// NextHandoff returns the number of the next offer of a webhook.
func (t *CustodyTable) NextHandoff(id WebhookID) HandoffNumber {
	if r := t.records[id]; r != nil {
		return max(r.Handoff, r.RejectedUpTo) + 1
	}
	return 1
}

// OutstandingOffer returns the offer of a webhook whose outcome is unknown, and the number of the offer.
func (t *CustodyTable) OutstandingOffer(id WebhookID) (Offer, HandoffNumber, bool) {
	if r := t.records[id]; r != nil && r.hasOffer() {
		return r.Offer, r.Handoff, true
	}
	return Offer{}, 0, false
}

// HandleReply processes a reply to the offer with the given number and returns what follows for the copy here:
// DropCopy, KeepCopy or StayInDoubt. A reply to an offer that is not the outstanding one changes nothing.
func (t *CustodyTable) HandleReply(id WebhookID, handoff HandoffNumber, reply CustodyReply) Resolution {
	r := t.records[id]
	if r == nil || !r.hasOffer() || r.Handoff != handoff {
		return StayInDoubt
	}
	switch {
	case reply == CustodyTaken:
		r.Present, r.Offer = false, Offer{}
		return DropCopy
	case reply == CustodyNeverTaken,
		reply == CustodyRejected && !r.Offer.Uncertain: // if uncertain, an earlier attempt may still arrive and be taken
		r.Offer = Offer{}
		return KeepCopy
	}
	r.Offer.Uncertain = true
	return StayInDoubt
}

// Fork ends a doubt without knowing who has the webhook: this member keeps its copy, and another member may have one
// too. This member continues with numbers above all that the other branch can reach, so that a member that meets both
// branches keeps one.
func (t *CustodyTable) Fork(id WebhookID) {
	if r := t.records[id]; r != nil {
		r.Offer = Offer{}
		r.Handoff = (r.Handoff/forkStride + 1) * forkStride
	}
}
