package stream

import "rowanlink/webhook/api"

// Resolution is what an origin does with a delivery that the relay may have.
type Resolution uint8

// The resolutions.
const (
	// ResolveWait: the origin waits for the relay's result.
	ResolveWait Resolution = iota + 1
	// ResolveRetry: the origin retries it itself, with the same token, as one that may have run since it was sent.
	ResolveRetry
	// ResolveDeadLetter: it may have run, and nothing more can be done.
	ResolveDeadLetter
)

// Resolve decides about a delivery that was sent at sentAt and has no result. isLost: the relay's folder no longer
// exists, so that the delivery won't run there any more, and its result can't be found out. lastAttemptAt is until
// when an attempt may be made. An ordered delivery is not retried while the relay may have it: it could run there
// again after later ones of its key.
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
		if isLost { // no zone remembers the token any more, or only an unknown one does
			return ResolveDeadLetter
		}
		return ResolveWait
	}
	return ResolveRetry
}

// ResolveLost decides about the deliveries that were lost with a relay's folder, in their order, by resolve. An
// ordered one is dead-lettered if a later one of its key is: it would run after that one.
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

// Location is where an origin has a delivery without a result.
type Location uint8

// The locations. The zero value is that of a delivery that has its result.
const (
	LocationRelay Location = iota + 1 // queued for the relay or sent
	LocationLocal                     // with this dispatcher's policy, and the relay may have it, too
)

// ResultAction is what an origin does with a result that the relay reports.
type ResultAction uint8

// The actions.
const (
	IgnoreResult   ResultAction = iota + 1 // acknowledge only: the delivery has its result, or continues here
	FinishDelivery                         // journal the result, then acknowledge it
	// WithdrawDelivery is FinishDelivery, and the local policy withdraws the delivery. If it may have run here
	// according to the journal, a rejection becomes a dead letter.
	WithdrawDelivery
)

// ActionForResult decides about the result of a delivery. For one that continues locally only the relay's success is
// final, as this dispatcher has yet to come to a result of its own; for an ordered one each result is, since later
// ones of its key may have run at the relay.
func ActionForResult(r Result, at Location, isOrdered bool) ResultAction {
	switch {
	case at == LocationRelay:
		return FinishDelivery
	case at == LocationLocal && (isOrdered || r.Outcome == Delivered):
		return WithdrawDelivery
	}
	return IgnoreResult
}
