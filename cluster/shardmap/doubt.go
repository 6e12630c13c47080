package shardmap

import "rowanlink/webhook/api"

// CustodyReply is what a member says of a webhook by its name.
type CustodyReply uint8

const (
	CustodyUnknown   CustodyReply = iota // it can't be reached, or can't tell yet
	CustodyTaken                         // it has taken it: held, ended or sent on
	CustodyNever                         // it has not, and is bound never to
	CustodyStateLost                     // its folder is not the one it had then: it can't tell
	CustodyRejected                      // not by this try
)

// Resolution is what a member does with a copy that may not be its own.
type Resolution uint8

const (
	StayInDoubt    Resolution = iota // parked, journalled, asked for again
	DropCopy                         // it is the other's
	KeepCopy                         // it is this member's, as it was
	ForkCopy                         // this member's, as one that may have run since it was sent
	DeadLetterCopy                   // dead-lettered, as it may have run and nobody will tell
)

// Resolve is what a reply to the question who has it makes of an offer without an answer. ended: by the log
// the right by which the other could call is over. ran: when it may have run first before it was offered, or
// Never; last: when the last attempt can still be made.
//
// A home that stays silent may have called. What may run twice is then sent to the next home under the same
// name: should the first come back with its copy, the name tells that one owner is enough. What may not waits
// for the answer until its time is up; so does what is tokened: the first, back as home before they meet,
// would count its token's window from its own first call.
func (o Offer) Resolve(r CustodyReply, ended bool, t api.EventType, ran, last, now api.Micros) Resolution {
	since := o.SentAt
	if ran != api.Never {
		since = ran
	}
	forgotten := t.TokenByZone || now >= since+t.TokenWindow
	once := t.Repeat == api.AtMostOnce || t.Repeat == api.Tokened && forgotten
	switch {
	case r == CustodyTaken:
		return DropCopy
	case r == CustodyNever:
		return KeepCopy
	case now >= last, r == CustodyStateLost && once:
		return DeadLetterCopy // only the first call's zone remembers a token by zone, and which that was is not known
	case r != CustodyStateLost && (!ended || t.Repeat != api.Idempotent):
		return StayInDoubt
	}
	return ForkCopy
}
