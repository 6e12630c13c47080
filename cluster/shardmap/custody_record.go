package shardmap

import (
	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// HandoffNumber counts the hand-offs of one webhook between members: each offer of the webhook has a higher number
// than all offers before, whichever member made them. The upper 32 bits count forks; see CustodyTable.Fork.
type HandoffNumber uint64

// forkStride is the distance between the numbers of two forks. It is more than the hand-offs that any branch makes.
const forkStride HandoffNumber = 1 << 32

// CustodyRecord is the entry of one webhook in a CustodyTable. It is journalled before any message that depends on it
// is sent.
type CustodyRecord struct {
	ID           WebhookID     `cbor:"1,keyasint"`
	Handoff      HandoffNumber `cbor:"2,keyasint,omitempty"` // the highest by which the webhook was taken or offered here
	RejectedUpTo HandoffNumber `cbor:"3,keyasint,omitempty"` // no hand-off up to this number is taken any more
	Present      bool          `cbor:"4,keyasint,omitempty"` // in custody or in doubt here, or ended here; not handed off
	Deadline     api.Micros    `cbor:"5,keyasint"`           // when the webhook expires
	Offer        Offer         `cbor:"6,keyasint"`           // if To is empty, no other member can have the webhook
	Arriving     bool          `cbor:"7,keyasint,omitempty"` // the webhook is possibly not in the webhook journal yet
}

// isInDoubt reports whether the webhook is here, while another member may have taken it by the offer with the number
// Handoff. In doubt, this member answers CustodyTaken to lower hand-off numbers only: otherwise two members could
// give that answer to each other, and both would drop the webhook.
func (r *CustodyRecord) isInDoubt() bool { return r.Present && r.hasOffer() }

// hasOffer reports whether the webhook was offered to another member and the outcome is unknown.
func (r *CustodyRecord) hasOffer() bool { return r.Offer.To != "" }

// Offer is an offer of a webhook to another member, which may have taken it by now.
type Offer struct {
	To          cluster.MemberID `cbor:"1,keyasint,omitempty"`
	Incarnation uint64           `cbor:"2,keyasint,omitempty"` // of that member's folder
	Move        MoveID           `cbor:"3,keyasint,omitempty"` // the move that transfers it; 0: forwarded to the owner
	Range       cluster.RangeID  `cbor:"4,keyasint,omitempty"`
	Epoch       cluster.Epoch    `cbor:"5,keyasint,omitempty"` // under which the range was served when the offer was made
	SentAt      api.Micros       `cbor:"6,keyasint,omitempty"` // just before the offer was sent
	Uncertain   bool             `cbor:"7,keyasint,omitempty"` // an attempt was not answered, or is of an earlier process
}
