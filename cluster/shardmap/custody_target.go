package shardmap

import "rowanlink/webhook/api"

// CustodyReply is a member's answer to an offer of a webhook, or to the query whether it has taken one.
type CustodyReply uint8

// The answers. The numbers are encoded.
const (
	CustodyUnknown   CustodyReply = iota // the member can't be reached, or can't tell yet
	CustodyTaken                         // it has taken the webhook: in custody, ended or handed off
	CustodyNever                         // it has not, and is bound never to take it by this hand-off
	CustodyStateLost                     // its folder is not the one of that time: it can't tell
	CustodyRejected                      // not by this attempt
)

// OfferOutcome is what a member does with a webhook that it was offered.
type OfferOutcome uint8

// The outcomes.
const (
	// OfferNotTaken: nothing, for the reason in the reply.
	OfferNotTaken OfferOutcome = iota
	// OfferTaken: it journals the record and the webhook before it sends CustodyTaken, and calls ConfirmStored, or
	// Rollback if that fails.
	OfferTaken
	// OfferReturnsCopy: the webhook was here in doubt and has come back; custody is this member's again.
	OfferReturnsCopy
)

// HandleOffer decides about a webhook that another member offers. admitted is whether it is this member's to take by
// the map. The reply is CustodyUnknown while an earlier offer of the same webhook is being stored.
func (t *CustodyTable) HandleOffer(
	id WebhookID, handoff HandoffNumber, ttl, now api.Micros, admitted bool,
) (CustodyReply, OfferOutcome) {
	r := t.records[id]
	isKnown := r != nil
	switch {
	case isKnown && r.Arriving:
		return CustodyUnknown, OfferNotTaken // so that no CustodyTaken has to be revoked
	case isKnown && handoff == r.Handoff && r.isInDoubt(): // another branch of a fork, whose number was used here too
		return CustodyRejected, OfferNotTaken
	case isKnown && handoff <= r.Handoff:
		return CustodyTaken, OfferNotTaken
	case isKnown && r.Present && !r.hasOffer():
		r.Handoff = handoff // another branch of a fork: one custodian is enough
		return CustodyTaken, OfferNotTaken
	case isKnown && handoff <= r.RejectedUpTo || now >= ttl:
		return CustodyNever, OfferNotTaken
	case !admitted:
		return CustodyRejected, OfferNotTaken
	case isKnown && r.Present:
		r.Handoff, r.Offer = handoff, Offer{}
		return CustodyTaken, OfferReturnsCopy
	}
	r = t.recordOf(id, ttl)
	r.Handoff, r.Present, r.Arriving = handoff, true, true
	return CustodyTaken, OfferTaken
}

// ReturnsCopy reports whether an offer with this number brings back a webhook that is here in doubt. What it brings
// along is journalled before HandleOffer is called.
func (t *CustodyTable) ReturnsCopy(id WebhookID, handoff HandoffNumber) bool {
	r := t.records[id]
	return r != nil && r.isInDoubt() && handoff > r.Handoff
}

// ConfirmStored records that a webhook that was taken is in the webhook journal. The record is journalled again before
// the webhook may be called: a later process that finds it arriving, and no webhook, knows that it was never stored.
func (t *CustodyTable) ConfirmStored(id WebhookID) {
	if r := t.records[id]; r != nil {
		r.Arriving = false
	}
}

// HandleQuery answers whether a webhook was taken by a hand-off. If mustJournal, the record is new and is journalled
// before the answer is sent: after CustodyNever an offer that is still in flight arrives in vain, after CustodyTaken
// hand-offs continue from this number.
func (t *CustodyTable) HandleQuery(
	id WebhookID, handoff HandoffNumber, ttl api.Micros,
) (reply CustodyReply, mustJournal bool) {
	r := t.recordOf(id, ttl)
	switch {
	case r.Arriving:
		return CustodyUnknown, false
	case handoff < r.Handoff, handoff == r.Handoff && !r.isInDoubt():
		return CustodyTaken, false
	case r.Present && !r.isInDoubt(): // another branch of a fork, as in HandleOffer
		r.Handoff = handoff
		return CustodyTaken, true
	}
	// Also in doubt: the querying member may be the custodian.
	mustJournal = handoff > r.RejectedUpTo
	r.RejectedUpTo = max(r.RejectedUpTo, handoff)
	return CustodyNever, mustJournal
}
