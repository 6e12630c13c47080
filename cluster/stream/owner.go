package stream

import (
	"rowanlink/webhook/api"
)

// Course is what an owner does with a delivery that the relay may have.
type Course uint8

const (
	Waits Course = iota + 1 // for the relay's word
	Goes                    // by itself, as one that may have run since it was sent, with the same token
	Ends                    // time is up: dead-lettered, as it may have run
)

// Rule is the course of what was sent and has no end. lost: the relay's folder is no more, so that it won't
// run there any more, nor will anyone ever tell. last: when the last attempt can still be made. An ordered
// one does not go while the relay may have it: it could run there once more after those behind it.
func Rule(i *Item, sentAt api.Micros, t api.EventType, lost bool, last, now api.Micros) Course {
	since := sentAt
	if i.MayRun != api.Never {
		since = min(since, i.MayRun)
	}
	switch {
	case now >= last || lost && t.Semantics == api.AtMostOnce:
		return Ends
	case t.Semantics == api.AtMostOnce || i.Key != 0 && !lost:
		return Waits
	case t.Semantics == api.Deduplicated && (t.DedupByZone || now >= since+t.DedupWindow):
		if lost { // only the first call's zone remembers it, and that is not known; or none does any more
			return Ends
		}
		return Waits
	}
	return Goes
}

// Courses is what becomes of those that were lost with a folder, in their order, by rule. An ordered one that
// may have run, as may one behind it that can't go again, doesn't either: it would come last.
func Courses(lost []Sent, rule func(Sent) Course) []Course {
	all, last := make([]Course, len(lost)), map[keyed]bool{}
	for i := len(lost) - 1; i >= 0; i-- {
		k := keyed{lost[i].To, lost[i].Key}
		if all[i] = rule(lost[i]); k.key != 0 && last[k] {
			all[i] = Ends
		}
		last[k] = last[k] || all[i] == Ends
	}
	return all
}

// Standing is where an owner has a delivery that has not ended.
type Standing uint8

const (
	AtRelay Standing = iota + 1 // queued for it or sent
	Beside                      // this dispatcher's module has it, as the relay may have had
)

// Heard is what an owner does with an end that the relay tells.
type Heard uint8

const (
	Known Heard = iota + 1 // it has ended, or goes on here: acknowledged, no more
	Over                   // it ends so: journalled, then acknowledged
	// The same, and the module here is told that it is withdrawn. Where its journal says that it may have run
	// here meanwhile, rejected becomes dead-lettered.
	Recalled
)

// Hear is for an end of a delivery that stands so, or has ended: 0. Of what goes on beside it only a relay's
// success is an end: this dispatcher has yet to come to its own. Of ordered ones each is: those behind it may
// have run there since.
func Hear(e End, at Standing, ordered bool) Heard {
	switch {
	case at == AtRelay:
		return Over
	case at == Beside && (ordered || e.How == Delivered):
		return Recalled
	}
	return Known
}
