package shardmap

import "rowanlink/webhook/api"

// Resolution is what a member does with its copy of a webhook that another member may have.
type Resolution uint8

// The resolutions.
const (
	StayInDoubt    Resolution = iota // the copy stays parked and journalled, and the other member is queried again
	DropCopy                         // the other member has the webhook
	KeepCopy                         // this member has the webhook, unchanged
	ForkCopy                         // this member continues with the webhook as one that may have run since it was sent
	DeadLetterCopy                   // the webhook may have run and no member can tell: it is dead-lettered
)

// Resolve returns what to do with the copy of a webhook whose offer was not answered, after a custody query got the
// reply. ended states whether, according to the log, the right under which the other member could call has ended.
// firstRunAt is when the webhook may have run first before it was offered, or api.Never; lastAttemptAt is until when
// the last attempt can be made.
//
// An owner that does not answer may have called. A webhook that may run twice is then sent to the next owner under
// the same id: if the first owner returns with its copy, the id shows that only one custodian is needed. A webhook
// that may not run twice waits for the answer until it expires. So does one with an idempotency token: if the first
// owner serves again before the two copies meet, it would count the token's window from its own first call.
func (o Offer) Resolve(
	reply CustodyReply, ended bool, eventType api.EventType, firstRunAt, lastAttemptAt, now api.Micros,
) Resolution {
	mayHaveRunAt := o.SentAt
	if firstRunAt != api.Never {
		mayHaveRunAt = firstRunAt
	}
	// With DedupByZone, only the zone of the first call remembers the token, and it is unknown which zone that was.
	tokenForgotten := eventType.DedupByZone || now >= mayHaveRunAt+eventType.DedupWindow
	mayNotRepeat := eventType.Semantics == api.AtMostOnce || eventType.Semantics == api.Deduplicated && tokenForgotten
	switch {
	case reply == CustodyTaken:
		return DropCopy
	case reply == CustodyNeverTaken:
		return KeepCopy
	case now >= lastAttemptAt, reply == CustodyStateLost && mayNotRepeat:
		return DeadLetterCopy
	case reply != CustodyStateLost && (!ended || eventType.Semantics != api.Idempotent):
		return StayInDoubt
	}
	return ForkCopy
}
