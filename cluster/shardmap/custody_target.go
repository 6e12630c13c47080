package shardmap

import "rowanlink/webhook/api"

// CustodyReply is a member's answer to an offer of a webhook, or to a query whether it has taken a webhook.
type CustodyReply uint8

// The answers. The numbers are encoded.
const (
	CustodyUnknown    CustodyReply = iota // the member can't be reached, or can't tell yet
	CustodyTaken                          // it took the webhook, which is in custody there, has ended or was handed off
	CustodyNeverTaken                     // it has not taken the webhook, and must never take it by this hand-off
	CustodyStateLost                      // its data folder was replaced since the offer, so it can't tell
	CustodyRejected                       // it has not taken the webhook by this attempt, but may by another one
)

// OfferOutcome is what a member does with a webhook that it was offered.
type OfferOutcome uint8

// The outcomes.
const (
	// OfferNotTaken: the member does nothing, for the reason in the reply.
	OfferNotTaken OfferOutcome = iota
	// OfferTaken: the member journals the record and the webhook before it sends CustodyTaken, and calls ConfirmStored;
	// if journalling fails, it restores the record with CustodyTable.Rollback.
	OfferTaken
	// OfferReturnsCopy: the webhook was in doubt here and is offered back; this member has custody again.
	OfferReturnsCopy
)

// HandleOffer decides about a webhook that another member offers. admitted states whether, by the map, this member
// may take the webhook. The reply is CustodyUnknown while an earlier offer of the same webhook is being stored.
func (t *CustodyTable) HandleOffer(
	id WebhookID, handoff HandoffNumber, deadline, now api.Micros, admitted bool,
) (CustodyReply, OfferOutcome) {
	r := t.records[id]
	isKnown := r != nil
	switch {
	case isKnown && r.Arriving:
		return CustodyUnknown, OfferNotTaken // storing may fail, and a CustodyTaken could not be revoked
	case isKnown && handoff == r.Handoff && r.isInDoubt(): // another branch of a CustodyTable.Fork used this number too
		return CustodyRejected, OfferNotTaken
	case isKnown && handoff <= r.Handoff:
		return CustodyTaken, OfferNotTaken
	case isKnown && r.Present && !r.hasOffer():
		r.Handoff = handoff // the offer is from another branch (see CustodyTable.Fork): one custodian is enough
		return CustodyTaken, OfferNotTaken
	case isKnown && handoff <= r.RejectedUpTo || now >= deadline:
		return CustodyNeverTaken, OfferNotTaken
	case !admitted:
		return CustodyRejected, OfferNotTaken
	case isKnown && r.Present:
		r.Handoff, r.Offer = handoff, Offer{}
		return CustodyTaken, OfferReturnsCopy
	}
	r = t.recordOf(id, deadline)
	r.Handoff, r.Present, r.Arriving = handoff, true, true
	return CustodyTaken, OfferTaken
}

// ReturnsCopy reports whether an offer with this number brings back a webhook that is in doubt here. The caller
// journals the data that comes with such an offer before it calls HandleOffer.
func (t *CustodyTable) ReturnsCopy(id WebhookID, handoff HandoffNumber) bool {
	r := t.records[id]
	return r != nil && r.isInDoubt() && handoff > r.Handoff
}

// ConfirmStored records that a webhook that was taken is in the webhook journal. The caller journals the record again
// before the webhook may be called: a later process that finds a record with Arriving set, and no webhook, concludes
// that the webhook was never stored.
func (t *CustodyTable) ConfirmStored(id WebhookID) {
	if r := t.records[id]; r != nil {
		r.Arriving = false
	}
}

// HandleQuery answers whether a webhook was taken by a hand-off. It creates the webhook's record if there is
// none. If mustJournal is true, the record must be journalled before the answer is sent: after CustodyNeverTaken, an
// offer that is still in flight must be rejected; after CustodyTaken, hand-offs must continue from this number.
func (t *CustodyTable) HandleQuery(
	id WebhookID, handoff HandoffNumber, deadline api.Micros,
) (reply CustodyReply, mustJournal bool) {
	r := t.recordOf(id, deadline)
	switch {
	case r.Arriving:
		return CustodyUnknown, false
	case handoff < r.Handoff, handoff == r.Handoff && !r.isInDoubt():
		return CustodyTaken, false
	case r.Present && !r.isInDoubt(): // the offer is from another branch, as in HandleOffer
		r.Handoff = handoff
		return CustodyTaken, true
	}
	// A webhook that is in doubt here gets the same answer: the querying member may be the custodian.
	mustJournal = handoff > r.RejectedUpTo
	r.RejectedUpTo = max(r.RejectedUpTo, handoff)
	return CustodyNeverTaken, mustJournal
}
