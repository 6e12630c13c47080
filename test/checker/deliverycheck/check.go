package deliverycheck

import (
	"cmp"
	"fmt"
	"slices"

	"rowanlink/webhook/api"
)

// Rule is one of those that are judged by.
type Rule string

const (
	Lost            Rule = "lost"          // taken on, and neither delivered nor told to have ended
	DuplicateEffect Rule = "second effect" // more effects than the event type allows, or said to be harmless after one
	Overlap         Rule = "overlap"       // called again while a call with it is out
	Order           Rule = "order"         // webhooks of one key, out of turn
	RetryAfter      Rule = "wait"          // called while a told wait binds
	Draining        Rule = "drain"         // called after it was told that the endpoint drains
	SlowStart       Rule = "cold budget"   // a returned destination was pushed over
	Misrouted       Rule = "astray"        // never handed in, or not for this destination
)

// Violation is one case of a broken rule.
type Violation struct {
	Rule        Rule
	At          api.Micros
	ID          string
	Destination api.DestinationID
	Member      string
	Reason      string
}

func (b Violation) String() string {
	return fmt.Sprintf("%s: %s at destination %d by %s, %.3f s: %s", b.Rule, b.ID, b.Destination, b.Member,
		b.At.Seconds(), b.Reason)
}

// Check returns what broke a rule up to a time, in the order of time.
func (l *Checker) Check(at api.Micros) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Clone(l.immediate)
	for _, rule := range []func(api.Micros) []Violation{l.checkLost, l.checkEffects, l.checkOverlaps, l.checkOrder, l.checkRetryAfter,
		l.checkDraining,
		l.checkSlowStart} {
		all = append(all, rule(at)...)
	}
	slices.SortStableFunc(all, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return all
}

func (w *webhook) accepted() bool { return w.status == 200 || w.status == 202 }

// harmless tells whether the member said that the webhook may be handed in again.
func (w *webhook) harmless() bool {
	return w.status == 429 || w.status == 503 ||
		slices.ContainsFunc(w.notices, func(n notice) bool { return n.outcome == "handed_back" })
}

type delivery struct {
	id          string
	destination api.DestinationID
}

// deliveries are the deliveries, by webhook and destination.
func (l *Checker) deliveries() map[delivery]bool {
	ends := map[delivery]bool{}
	for _, c := range l.calls {
		for id := range c.delivered {
			ends[delivery{id, c.Destination}] = true
		}
	}
	return ends
}

// missing are the destinations at which the webhook has no end yet.
func (w *webhook) missing(ends map[delivery]bool) (left []api.DestinationID) {
	for _, d := range w.Destinations {
		told := slices.ContainsFunc(w.notices, func(n notice) bool { return n.all || n.dest == d })
		if !told && !ends[delivery{w.ID, d}] {
			left = append(left, d)
		}
	}
	return left
}

func (l *Checker) checkLost(now api.Micros) (all []Violation) {
	ends := l.deliveries()
	for _, w := range l.submissions {
		if !w.accepted() || l.forgiven[w.ID] {
			continue
		}
		left := w.missing(ends)
		if due, known := l.deadline(w); len(left) > 0 && known && now > due {
			for _, d := range left {
				all = append(all, Violation{Lost, due, w.ID, d, w.Member, "taken on, neither delivered nor told"})
			}
		}
	}
	return all
}

// deadline is when a webhook's end is overdue. Each member that was down meanwhile may be the one that has it.
func (l *Checker) deadline(w *webhook) (by api.Micros, known bool) {
	by = w.At + w.TTL + l.Requirements.Slack
	for again := true; again; {
		again = false
		for _, m := range l.downMembers() {
			for _, s := range l.downtimes[m] {
				if s.from < w.At || s.from > by {
					continue
				}
				if s.until == api.Never {
					return 0, false
				}
				if later := s.until + l.Requirements.Slack; later > by {
					by, again = later, true
				}
			}
		}
	}
	return by, true
}

// effects: those of one webhook count together with those of the ones that it was handed in again after.
func (l *Checker) checkEffects(api.Micros) (all []Violation) {
	type run struct {
		at api.Micros
		id string
		c  *Call
	}
	var runs []run
	first := map[delivery]run{}
	for _, c := range l.calls {
		for id, t := range c.effects {
			runs = append(runs, run{t, id, c})
		}
	}
	slices.SortFunc(runs, func(a, b run) int {
		return cmp.Or(cmp.Compare(a.at, b.at), a.c.sequence-b.c.sequence,
			cmp.Compare(a.id, b.id))
	})
	for _, r := range runs {
		w := l.webhooks[r.id]
		if w == nil {
			continue
		}
		t := l.Requirements.EventTypes[w.Type]
		if t.Semantics == api.Idempotent {
			continue
		}
		breach := func(why string) {
			all = append(all, Violation{DuplicateEffect, r.at, r.id, r.c.Destination, r.c.Member, why})
		}
		if w.status == 429 || w.status == 503 {
			breach("took effect though it was refused")
		}
		for _, n := range w.notices {
			if n.outcome == "handed_back" && (n.all || n.dest == r.c.Destination) {
				breach("handed back as harmless, and it took effect")
				break
			}
		}
		k := delivery{l.firstSubmission(w), r.c.Destination}
		was, before := first[k]
		switch {
		case !before:
			first[k] = r
		case t.Semantics == api.AtMostOnce:
			breach(fmt.Sprintf("at-most-once, took effect %.3f s before by %s", (r.at - was.at).Seconds(),
				was.c.Member))
		case r.at > was.at+t.DedupWindow:
			breach(fmt.Sprintf("tokened, took effect %.3f s before by %s, outside its window",
				(r.at - was.at).Seconds(), was.c.Member))
		}
	}
	return all
}

// firstSubmission is the first id of those that were said to be harmless to hand in again.
func (l *Checker) firstSubmission(w *webhook) string {
	for w.RetryOf != "" {
		before := l.webhooks[w.RetryOf]
		if before == nil || !before.harmless() {
			break
		}
		w = before
	}
	return w.ID
}

// LongestGap is the longest time between two deliveries at a destination that follow each other.
func (l *Checker) LongestGap(dest api.DestinationID) (longest api.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ends []api.Micros
	for _, c := range l.calls {
		if c.Destination == dest && len(c.delivered) > 0 {
			ends = append(ends, c.endedAt)
		}
	}
	slices.Sort(ends)
	for i := 1; i < len(ends); i++ {
		longest = max(longest, ends[i]-ends[i-1])
	}
	return longest
}
