package shardmap

import "rowanlink/webhook/api"

// Resolution is what a member does with a copy of a webhook that another member may have.
type Resolution uint8

// The resolutions.
const (
	StayInDoubt    Resolution = iota // it stays parked and journalled, and the other member is queried again
	DropCopy                         // the other member has it
	KeepCopy                         // this member has it, as it was
	ForkCopy                         // this member continues with it as one that may have run since it was sent
	DeadLetterCopy                   // it may have run and no member can tell: it is dead-lettered
)

// Resolve returns what the reply to a custody query makes of an offer without an answer. ended is whether by the log
// the right by which the other member could call is over. firstRunAt is when the webhook may have run first before it
// was offered, or api.Never; lastAttemptAt is when the last attempt can still be made.
//
// An owner that does not answer may have called. A webhook that may run twice is then sent to the next owner under the
// same id: if the first one returns with its copy, the id shows that one custodian is enough. One that may not run
// twice waits for the answer until it expires. So does one with an idempotency token: the first owner, if it serves
// again before the two copies meet, would count the token's window from its own first call.
func (o Offer) Resolve(
	reply CustodyReply, ended bool, eventType api.EventType, firstRunAt, lastAttemptAt, now api.Micros,
) Resolution {
	mayHaveRunAt := o.SentAt
	if firstRunAt != api.Never {
		mayHaveRunAt = firstRunAt
	}
	// Only the zone of the first call remembers a token by zone, and which zone that was is not known.
	tokenForgotten := eventType.DedupByZone || now >= mayHaveRunAt+eventType.DedupWindow
	mayNotRepeat := eventType.Semantics == api.AtMostOnce || eventType.Semantics == api.Deduplicated && tokenForgotten
	switch {
	case reply == CustodyTaken:
		return DropCopy
	case reply == CustodyNever:
		return KeepCopy
	case now >= lastAttemptAt, reply == CustodyStateLost && mayNotRepeat:
		return DeadLetterCopy
	case reply != CustodyStateLost && (!ended || eventType.Semantics != api.Idempotent):
		return StayInDoubt
	}
	return ForkCopy
}
