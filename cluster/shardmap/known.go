package shardmap

import (
	"rowanlink/internal/timerqueue"
	"rowanlink/webhook/api"
)

// HandoffNumber counts a webhook's way from member to member: each offer of it to another carries a higher one than
// all before, whoever made them. The upper half counts forks: see Forked.
type HandoffNumber uint64

const forkStride HandoffNumber = 1 << 32

// CustodyTable is a member's record of webhooks by their names: who has each, as far as it can tell. It outlasts
// what they name, until nothing by that name can be on its way any more.
//
// A webhook belongs to one member. Its owner offers it to another, and calls for it no more until it knows
// who has it: Has ends its own right, a Never is bound to last. So no two own it at once, whatever is lost,
// late or said twice, and a member that was offered it is its owner from its own record on.
type CustodyTable struct {
	records  map[WebhookID]*CustodyRecord
	expiries timerqueue.Queue[WebhookID]
}

// NewCustodyTable has the records of an earlier life, the last of each name. held tells what that life still owes.
func NewCustodyTable(earlier []CustodyRecord, held func(WebhookID) bool) *CustodyTable {
	k := &CustodyTable{records: map[WebhookID]*CustodyRecord{}}
	for _, r := range earlier {
		if r.Offer.To != "" {
			r.Offer.Uncertain = true
			if !held(r.ID) { // its end was written before this record was: it has gone on, or ended
				r.Offer, r.Present = Offer{}, false
			}
		}
		if r.Arriving { // see Came
			if r.Arriving = false; !held(r.ID) {
				r.Present = false
				r.Handoff = max(r.Handoff, 1) - 1 // not by this one
			}
		}
		*k.recordOf(r.ID, r.TTL) = r
	}
	return k
}

func (k *CustodyTable) recordOf(n WebhookID, ttl api.Micros) *CustodyRecord {
	r := k.records[n]
	if r == nil {
		r = &CustodyRecord{ID: n, TTL: ttl}
		k.records[n] = r
		k.expiries.Add(int64(ttl), n)
	}
	return r
}

// OfferOutcome is what a member does with a webhook that it was offered.
type OfferOutcome uint8

const (
	OfferNotTaken    OfferOutcome = iota // nothing: the reply says why
	OfferTaken                           // takes it on, with its record, before Has is said; then Came, or Undo
	OfferReturnsCopy                     // it is held here in doubt and has come back: this member's again
)

// HandleOffer is a webhook that was sent here. admits: by the map it is this member's to take. Silent: that can't
// be told yet, or not at all; Refuses: not by this try.
func (k *CustodyTable) HandleOffer(n WebhookID, hand HandoffNumber, ttl, now api.Micros, admits bool) (CustodyReply, OfferOutcome) {
	r := k.records[n]
	switch {
	case r != nil && r.Arriving:
		return CustodyUnknown, OfferNotTaken // guards against a Has that is taken back
	case r != nil && hand == r.Handoff && r.isInDoubt(): // another branch of a fork, its hand spent here too
		return CustodyRejected, OfferNotTaken
	case r != nil && hand <= r.Handoff:
		return CustodyTaken, OfferNotTaken
	case r != nil && r.Present && r.Offer.To == "":
		r.Handoff = hand // another branch of a fork: one owner is enough
		return CustodyTaken, OfferNotTaken
	case r != nil && hand <= r.RejectedUpTo || now >= ttl:
		return CustodyNever, OfferNotTaken
	case !admits:
		return CustodyRejected, OfferNotTaken
	case r != nil && r.Present:
		r.Handoff, r.Offer = hand, Offer{}
		return CustodyTaken, OfferReturnsCopy
	}
	r = k.recordOf(n, ttl)
	r.Handoff, r.Present, r.Arriving = hand, true, true
	return CustodyTaken, OfferTaken
}

// ReturnsCopy is whether an offer by that hand brings back what is held here in doubt: what it brings along is
// journalled before Offered is called.
func (k *CustodyTable) ReturnsCopy(n WebhookID, hand HandoffNumber) bool {
	r := k.records[n]
	return r != nil && r.isInDoubt() && hand > r.Handoff
}

// ConfirmStored notes that what was taken on is in the journal of webhooks. The record is journalled again before the
// webhook can be called for: a life that finds it coming, and no webhook, knows that it never came.
func (k *CustodyTable) ConfirmStored(n WebhookID) {
	if r := k.records[n]; r != nil {
		r.Arriving = false
	}
}

// HandleQuery is whether a webhook came by that hand. Where fresh the record is new, and journalled before it is
// said: by a no what is still on its way comes in vain; by a yes hands go on from there.
func (k *CustodyTable) HandleQuery(n WebhookID, hand HandoffNumber, ttl api.Micros) (reply CustodyReply, fresh bool) {
	r := k.recordOf(n, ttl)
	switch {
	case r.Arriving:
		return CustodyUnknown, false
	case hand < r.Handoff, hand == r.Handoff && !r.isInDoubt():
		return CustodyTaken, false
	case r.Present && !r.isInDoubt(): // as in Offered
		r.Handoff = hand
		return CustodyTaken, true
	}
	fresh = hand > r.RejectedUpTo // also in doubt: who asks may be the one to have it
	r.RejectedUpTo = max(r.RejectedUpTo, hand)
	return CustodyNever, fresh
}

// BeginOffer notes that a webhook that is held here is about to be offered, and by which hand; the same one as
// before where it goes again to whom it may have reached. false: another may have it, who has to be asked
// first.
func (k *CustodyTable) BeginOffer(n WebhookID, ttl api.Micros, o Offer) (HandoffNumber, bool) {
	r := k.recordOf(n, ttl)
	if r.Offer.To != "" {
		return r.Handoff, r.Offer.To == o.To && r.Offer.Incarnation == o.Incarnation
	}
	r.Handoff, r.Present, r.Offer = k.NextHandoff(n), true, o
	return r.Handoff, true
}

// RecordUnansweredForward notes that a client's webhook went from its entry by a hand, before it had a record, and that no
// answer came. false: it has come back since, so that it was taken there, and the entry keeps nothing. Guards
// against a hand that a question raised meanwhile: by another one nobody could tell.
func (k *CustodyTable) RecordUnansweredForward(n WebhookID, hand HandoffNumber, ttl api.Micros, o Offer) bool {
	r := k.recordOf(n, ttl)
	if r.Handoff >= hand {
		return false
	}
	o.Uncertain = true
	r.Handoff, r.Present, r.Offer = hand, true, o
	return true
}

// NextHandoff is the hand by which a webhook is offered next.
func (k *CustodyTable) NextHandoff(n WebhookID) HandoffNumber {
	if r := k.records[n]; r != nil {
		return max(r.Handoff, r.RejectedUpTo) + 1
	}
	return 1
}

// OutstandingOffer is to whom a webhook is on its way, and by which hand.
func (k *CustodyTable) OutstandingOffer(n WebhookID) (Offer, HandoffNumber, bool) {
	if r := k.records[n]; r != nil && r.Offer.To != "" {
		return r.Offer, r.Handoff, true
	}
	return Offer{}, 0, false
}

// HandleReply is what came of an offer by a hand: whose the webhook is. Wait: it stays in doubt. An answer that is
// behind what has happened since says nothing.
func (k *CustodyTable) HandleReply(n WebhookID, hand HandoffNumber, reply CustodyReply) Resolution {
	r := k.records[n]
	if r == nil || r.Offer.To == "" || r.Handoff != hand {
		return StayInDoubt
	}
	switch {
	case reply == CustodyTaken:
		r.Present, r.Offer = false, Offer{}
		return DropCopy
	case reply == CustodyNever, reply == CustodyRejected && !r.Offer.Uncertain: // refused, an earlier try may still arrive
		r.Offer = Offer{}
		return KeepCopy
	}
	r.Offer.Uncertain = true
	return StayInDoubt
}

// Fork ends a doubt without knowing who has the webhook: it goes on from here too, by hands that are above
// all that the other branch can reach, so that whoever meets both keeps one.
func (k *CustodyTable) Fork(n WebhookID) {
	if r := k.records[n]; r != nil {
		r.Offer, r.Handoff = Offer{}, (r.Handoff/forkStride+1)*forkStride
	}
}

// CountOffersOfMove counts what is on its way by a move.
func (k *CustodyTable) CountOffersOfMove(move MoveID) (n int) {
	for _, r := range k.records {
		if r.Offer.To != "" && r.Offer.Move == move {
			n++
		}
	}
	return n
}
