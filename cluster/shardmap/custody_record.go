package shardmap

import (
	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// HandoffNumber counts the hand-offs of one webhook from member to member: each offer of it to another member carries
// a higher number than all before, whoever made them. The upper 32 bits count forks, see CustodyTable.Fork.
type HandoffNumber uint64

// forkStride is the distance of the numbers of two forks: no branch makes as many hand-offs.
const forkStride HandoffNumber = 1 << 32

// CustodyRecord is the entry of one webhook in a CustodyTable. It is journalled before what it decides is sent.
type CustodyRecord struct {
	ID           WebhookID     `cbor:"1,keyasint"`
	Handoff      HandoffNumber `cbor:"2,keyasint,omitempty"` // the highest by which the webhook was taken or offered here
	RejectedUpTo HandoffNumber `cbor:"3,keyasint,omitempty"` // no hand-off up to this number is taken any more
	Present      bool          `cbor:"4,keyasint,omitempty"` // it was not handed off: in custody, in doubt, or ended here
	TTL          api.Micros    `cbor:"5,keyasint"`
	Offer        Offer         `cbor:"6,keyasint"`           // without To: no other member can have it
	Arriving     bool          `cbor:"7,keyasint,omitempty"` // the webhook is not in the webhook journal yet, or not surely
}

// isInDoubt reports whether the webhook is here, and another member may have it by the offer that used Handoff. In
// doubt, CustodyTaken is answered to lower hand-offs only: otherwise two members could answer it to each other and both
// drop the webhook.
func (r *CustodyRecord) isInDoubt() bool { return r.Present && r.hasOffer() }

// hasOffer reports whether the webhook was offered to another member and the outcome is not known.
func (r *CustodyRecord) hasOffer() bool { return r.Offer.To != "" }

// Offer is an offer of a webhook to another member, which may have it by now.
type Offer struct {
	To          cluster.MemberID `cbor:"1,keyasint,omitempty"`
	Incarnation uint64           `cbor:"2,keyasint,omitempty"` // of that member's folder
	Move        MoveID           `cbor:"3,keyasint,omitempty"` // by which it is transferred; 0: that member owns the range
	Range       cluster.RangeID  `cbor:"4,keyasint,omitempty"`
	Epoch       cluster.Epoch    `cbor:"5,keyasint,omitempty"` // by which the range was served when it was offered
	SentAt      api.Micros       `cbor:"6,keyasint,omitempty"` // just before it was sent
	Uncertain   bool             `cbor:"7,keyasint,omitempty"` // an attempt was not answered, or an earlier process made it
}
