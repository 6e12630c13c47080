package shardmap

import (
	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// CustodyRecord is one name's entry, as it is journalled before what it decides is told.
type CustodyRecord struct {
	ID           WebhookID     `cbor:"1,keyasint"`
	Handoff      HandoffNumber `cbor:"2,keyasint,omitempty"` // the highest by which it was taken or offered here
	RejectedUpTo HandoffNumber `cbor:"3,keyasint,omitempty"` // no hand up to this one is taken any more
	Present      bool          `cbor:"4,keyasint,omitempty"` // it has not gone on: held, in doubt, or ended here
	TTL          api.Micros    `cbor:"5,keyasint"`
	Offer        Offer         `cbor:"6,keyasint"`           // To is empty: it is with nobody else
	Arriving     bool          `cbor:"7,keyasint,omitempty"` // not yet in the journal of webhooks, or not surely
}

// Offer is a webhook on its way to another member that may have it by now.
type Offer struct {
	To          cluster.MemberID `cbor:"1,keyasint,omitempty"`
	Incarnation uint64           `cbor:"2,keyasint,omitempty"` // of that member's folder
	Move        MoveID           `cbor:"3,keyasint,omitempty"` // by which it goes over; 0: that member is its home
	Range       cluster.RangeID  `cbor:"4,keyasint,omitempty"`
	Epoch       cluster.Epoch    `cbor:"5,keyasint,omitempty"` // by which the range was homed then
	SentAt      api.Micros       `cbor:"6,keyasint,omitempty"` // just before
	Uncertain   bool             `cbor:"7,keyasint,omitempty"` // a try had no answer, or this process did not see it
}

// isInDoubt tells that it is held in doubt: its hand was spent by an offer from here. Guards against two that
// say Has to each other and both drop it: in doubt Has is said to lower hands only.
func (r *CustodyRecord) isInDoubt() bool { return r.Present && r.Offer.To != "" }

// Lookup is a name's, to be journalled; false where it is not known.
func (k *CustodyTable) Lookup(n WebhookID) (CustodyRecord, bool) {
	if r := k.records[n]; r != nil {
		return *r, true
	}
	return CustodyRecord{}, false
}

// Rollback puts back what a name's record was before: the new one could not be written, or what it was for did
// not come about. A hand that was spent stays so.
func (k *CustodyTable) Rollback(n WebhookID, before CustodyRecord, known bool) {
	if r := k.records[n]; !known {
		delete(k.records, n)
	} else if r != nil {
		before.RejectedUpTo = max(before.RejectedUpTo, r.RejectedUpTo)
		*r = before
	}
}

// Expire forgets names whose time is up by more than slack: by so much clocks differ and messages are late.
func (k *CustodyTable) Expire(now, slack api.Micros) {
	for n, ok := k.expiries.PopDue(int64(now - slack)); ok; n, ok = k.expiries.PopDue(int64(now - slack)) {
		delete(k.records, n)
	}
}

// Len is how many names are known.
func (k *CustodyTable) Len() int { return len(k.records) }
