package shardmap

import (
	"rowanlink/internal/timerqueue"
	"rowanlink/webhook/api"
)

// CustodyTable records, for one member, who has custody of each webhook that came from or was offered to another
// member, as far as this member can tell. A record outlives its webhook until no message about the webhook can be in
// flight.
//
// The protocol is a custody transfer with an in-doubt state, as in two-phase commit. A webhook is in the custody of
// one member. This custodian offers it to another member, and makes no call for it until it knows which of the two
// has it. The answer CustodyTaken ends the custodian's right to call; the answer CustodyNeverTaken binds the member
// that gives it. So no two members have custody at once, whatever messages are lost, late or duplicated. A member
// that takes an offered webhook has custody as soon as its own record says so.
//
// The methods change the table in memory. Before the caller sends a message that depends on a record, it journals the
// record; see Lookup. A deadline is the time at which a webhook expires.
type CustodyTable struct {
	records  map[WebhookID]*CustodyRecord
	expiries timerqueue.Queue[WebhookID]
}

// NewCustodyTable returns a table with the records that an earlier process journalled; earlier has the last record of
// each webhook. isOutstanding reports whether that process still had the webhook.
func NewCustodyTable(earlier []CustodyRecord, isOutstanding func(WebhookID) bool) *CustodyTable {
	t := &CustodyTable{records: map[WebhookID]*CustodyRecord{}}
	for _, r := range earlier {
		if r.hasOffer() {
			r.Offer.Uncertain = true
			if !isOutstanding(r.ID) { // handed off or ended: that was journalled, but not the record after it
				r.Offer, r.Present = Offer{}, false
			}
		}
		if r.Arriving {
			r.Arriving = false
			if !isOutstanding(r.ID) { // the webhook was never stored: see ConfirmStored
				r.Present = false
				r.Handoff = max(r.Handoff, 1) - 1 // the hand-off with this number did not take place
			}
		}
		*t.recordOf(r.ID, r.Deadline) = r
	}
	return t
}

// recordOf returns the record of a webhook, and creates it if there is none.
func (t *CustodyTable) recordOf(id WebhookID, deadline api.Micros) *CustodyRecord {
	r := t.records[id]
	if r == nil {
		r = &CustodyRecord{ID: id, Deadline: deadline}
		t.records[id] = r
		t.expiries.Add(int64(deadline), id)
	}
	return r
}

// Lookup returns the record of a webhook, which the caller journals.
func (t *CustodyTable) Lookup(id WebhookID) (CustodyRecord, bool) {
	if r := t.records[id]; r != nil {
		return *r, true
	}
	return CustodyRecord{}, false
}

// Rollback restores the record that a webhook had before, because the new one could not be journalled or the action
// that it was made for did not happen. RejectedUpTo is not lowered, since an answer that promised it may have been
// sent.
func (t *CustodyTable) Rollback(id WebhookID, before CustodyRecord, existed bool) {
	r := t.records[id]
	if !existed {
		delete(t.records, id)
		return
	}
	if r != nil {
		before.RejectedUpTo = max(before.RejectedUpTo, r.RejectedUpTo)
		*r = before
	}
}

// Expire removes the records of webhooks that expired more than slack ago. slack allows for differences between
// clocks and for late messages.
func (t *CustodyTable) Expire(now, slack api.Micros) {
	cutoff := int64(now - slack)
	for id, ok := t.expiries.PopDue(cutoff); ok; id, ok = t.expiries.PopDue(cutoff) {
		delete(t.records, id)
	}
}

// Len returns the number of records.
func (t *CustodyTable) Len() int { return len(t.records) }

// CountOffersOfMove returns the number of offers that belong to a move and whose outcome is unknown.
func (t *CustodyTable) CountOffersOfMove(move MoveID) int {
	n := 0
	for _, r := range t.records {
		if r.hasOffer() && r.Offer.Move == move {
			n++
		}
	}
	return n
}
