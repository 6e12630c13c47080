package shardmap

import "rowanlink/webhook/api"

// BeginOffer records that a webhook that is here is about to be offered, and returns the number of the hand-off: the
// same as before if it is offered again to the member that it may have reached. It returns false if another member may
// have it, which must be queried first.
func (t *CustodyTable) BeginOffer(id WebhookID, ttl api.Micros, offer Offer) (HandoffNumber, bool) {
	r := t.recordOf(id, ttl)
	if r.hasOffer() {
		isSameTarget := r.Offer.To == offer.To && r.Offer.Incarnation == offer.Incarnation
		return r.Handoff, isSameTarget
	}
	r.Handoff, r.Present, r.Offer = t.NextHandoff(id), true, offer
	return r.Handoff, true
}

// RecordUnansweredForward records that the member that accepted a webhook from its client forwarded it, before there
// was a record, and had no answer. It returns false if the webhook has come back since: then it was taken there, and
// this member keeps nothing. handoff is the number that it was sent with, which a query may have raised meanwhile; by
// another number no member could tell whether it took the webhook.
func (t *CustodyTable) RecordUnansweredForward(
	id WebhookID, handoff HandoffNumber, ttl api.Micros, offer Offer,
) bool {
	r := t.recordOf(id, ttl)
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

// OutstandingOffer returns the offer of a webhook whose outcome is not known, and its number.
func (t *CustodyTable) OutstandingOffer(id WebhookID) (Offer, HandoffNumber, bool) {
	if r := t.records[id]; r != nil && r.hasOffer() {
		return r.Offer, r.Handoff, true
	}
	return Offer{}, 0, false
}

// HandleReply takes a reply to the offer with a number and returns who has the webhook: DropCopy, KeepCopy, or
// StayInDoubt. A reply to an offer that is not the outstanding one changes nothing.
func (t *CustodyTable) HandleReply(id WebhookID, handoff HandoffNumber, reply CustodyReply) Resolution {
	r := t.records[id]
	if r == nil || !r.hasOffer() || r.Handoff != handoff {
		return StayInDoubt
	}
	switch {
	case reply == CustodyTaken:
		r.Present, r.Offer = false, Offer{}
		return DropCopy
	case reply == CustodyNever,
		reply == CustodyRejected && !r.Offer.Uncertain: // if uncertain, an earlier attempt may still arrive
		r.Offer = Offer{}
		return KeepCopy
	}
	r.Offer.Uncertain = true
	return StayInDoubt
}

// Fork ends a doubt without knowing who has the webhook: this member has a copy too, and continues with numbers above
// all that the other branch can reach, so that a member that meets both branches keeps one.
func (t *CustodyTable) Fork(id WebhookID) {
	if r := t.records[id]; r != nil {
		r.Offer = Offer{}
		r.Handoff = (r.Handoff/forkStride + 1) * forkStride
	}
}
