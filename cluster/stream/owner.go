package stream

import (
	"rowanlink/webhook/api"
)

// Resolution is what an owner does with a delivery that the relay may have.
type Resolution uint8

const (
	ResolveWait       Resolution = iota + 1 // for the relay's word
	ResolveRetry                            // by itself, as one that may have run since it was sent, with the same token
	ResolveDeadLetter                       // time is up: dead-lettered, as it may have run
)

// Resolve is the course of what was sent and has no end. lost: the relay's folder is no more, so that it won't
// run there any more, nor will anyone ever tell. last: when the last attempt can still be made. An ordered
// one does not go while the relay may have it: it could run there once more after those behind it.
func Resolve(i *Item, sentAt api.Micros, t api.EventType, lost bool, last, now api.Micros) Resolution {
	since := sentAt
	if i.FirstAttemptAt != api.Never {
		since = min(since, i.FirstAttemptAt)
	}
	switch {
	case now >= last || lost && t.Semantics == api.AtMostOnce:
		return ResolveDeadLetter
	case t.Semantics == api.AtMostOnce || i.Key != 0 && !lost:
		return ResolveWait
	case t.Semantics == api.Deduplicated && (t.DedupByZone || now >= since+t.DedupWindow):
		if lost { // only the first call's zone remembers it, and that is not known; or none does any more
			return ResolveDeadLetter
		}
		return ResolveWait
	}
	return ResolveRetry
}

// ResolveLost is what becomes of those that were lost with a folder, in their order, by rule. An ordered one that
// may have run, as may one behind it that can't go again, doesn't either: it would come last.
func ResolveLost(lost []InDoubt, rule func(InDoubt) Resolution) []Resolution {
	all, last := make([]Resolution, len(lost)), map[keyed]bool{}
	for i := len(lost) - 1; i >= 0; i-- {
		k := keyed{lost[i].Destination, lost[i].Key}
		if all[i] = rule(lost[i]); k.key != 0 && last[k] {
			all[i] = ResolveDeadLetter
		}
		last[k] = last[k] || all[i] == ResolveDeadLetter
	}
	return all
}

// Location is where an owner has a delivery that has not ended.
type Location uint8

const (
	LocationRelay Location = iota + 1 // queued for it or sent
	LocationLocal                     // this dispatcher's module has it, as the relay may have had
)

// ResultAction is what an owner does with an end that the relay tells.
type ResultAction uint8

const (
	IgnoreResult   ResultAction = iota + 1 // it has ended, or goes on here: acknowledged, no more
	FinishDelivery                         // it ends so: journalled, then acknowledged
	// The same, and the module here is told that it is withdrawn. Where its journal says that it may have run
	// here meanwhile, rejected becomes dead-lettered.
	WithdrawDelivery
)

// ActionForResult is for an end of a delivery that stands so, or has ended: 0. Of what goes on beside it only a relay's
// success is an end: this dispatcher has yet to come to its own. Of ordered ones each is: those behind it may
// have run there since.
func ActionForResult(e Result, at Location, ordered bool) ResultAction {
	switch {
	case at == LocationRelay:
		return FinishDelivery
	case at == LocationLocal && (ordered || e.Outcome == Delivered):
		return WithdrawDelivery
	}
	return IgnoreResult
}
