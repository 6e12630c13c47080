package stream

import "rowanlink/webhook/api"

// Resolution is what an origin does with a delivery that the relay may have.
type Resolution uint8

// The resolutions.
const (
	// ResolveWait: the origin waits for the relay's result.
	ResolveWait Resolution = iota + 1
	// ResolveRetry: the origin retries the delivery itself, with the same token. It treats the delivery as one that may
	// have run at any time since it was sent.
	ResolveRetry
	// ResolveDeadLetter: the origin dead-letters the delivery. It may have run, but must not be retried.
	ResolveDeadLetter
)

// Resolve decides what the origin does with a delivery that was sent at sentAt and has no result. isLost says that the
// relay's folder no longer exists: the delivery can't run there any more, and its result can't be found out. No attempt
// may be made at lastAttemptAt or later. An ordered delivery is not retried while the relay may have it: the relay could
// run it again after later deliveries of its key have run.
func Resolve(i *Item, sentAt api.Micros, t api.EventType, isLost bool, lastAttemptAt, now api.Micros) Resolution {
	firstAttemptAt := sentAt
	if i.FirstAttemptAt != api.Never {
		firstAttemptAt = min(firstAttemptAt, i.FirstAttemptAt)
	}
	isAtMostOnce := t.Semantics == api.AtMostOnce
	switch {
	case now >= lastAttemptAt || isLost && isAtMostOnce:
		return ResolveDeadLetter
	case isAtMostOnce || i.Key != 0 && !isLost:
		return ResolveWait
	case t.Semantics == api.Deduplicated && (t.DedupByZone || now >= firstAttemptAt+t.DedupWindow):
		if isLost { // the token is forgotten, or remembered only in a zone that is unknown here
			return ResolveDeadLetter
		}
		return ResolveWait
	}
	return ResolveRetry
}

// ResolveLost decides what the origin does with deliveries that were lost with a relay's folder; lost and the result are
// in the order of the deliveries. It calls resolve for each. In addition, an ordered delivery is dead-lettered if a later
// one of its key is: that one may have run, and a retry would run after it.
func ResolveLost(lost []InDoubt, resolve func(InDoubt) Resolution) []Resolution {
	resolutions := make([]Resolution, len(lost))
	isLaterDeadLettered := map[orderingScope]bool{}
	for i := len(lost) - 1; i >= 0; i-- {
		scope := orderingScope{destination: lost[i].Destination, key: lost[i].Key}
		resolutions[i] = resolve(lost[i])
		if scope.key != 0 && isLaterDeadLettered[scope] {
			resolutions[i] = ResolveDeadLetter
		}
		if resolutions[i] == ResolveDeadLetter {
			isLaterDeadLettered[scope] = true
		}
	}
	return resolutions
}

// Location says who handles a delivery without a result, according to its origin: the relay or the origin itself.
type Location uint8

// The locations. The zero value stands for a delivery that has its result.
const (
	LocationRelay Location = iota + 1 // queued for the relay, or sent to it
	LocationLocal                     // handed to the origin's own delivery policy; the relay may have it as well
)

// ResultAction is what an origin does with a result that the relay reports.
type ResultAction uint8

// The actions.
const (
	IgnoreResult   ResultAction = iota + 1 // only acknowledge: the delivery already has its result, or continues locally
	FinishDelivery                         // journal the result, then acknowledge it
	// WithdrawDelivery does the same as FinishDelivery, and takes the delivery back from the local policy. If the journal
	// says that the delivery may have run locally, a Rejected result becomes DeadLettered.
	WithdrawDelivery
)

// ActionForResult decides what the origin does with the relay's result of a delivery. For an unordered delivery that
// continues locally only Delivered is final: after another result of the relay the local attempts may still succeed. For
// an ordered one every result is final, since later deliveries of its key may have run at the relay.
func ActionForResult(r Result, at Location, isOrdered bool) ResultAction {
	switch {
	case at == LocationRelay:
		return FinishDelivery
	case at == LocationLocal && (isOrdered || r.Outcome == Delivered):
		return WithdrawDelivery
	}
	return IgnoreResult
}
