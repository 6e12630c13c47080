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
	Lost    Rule = "lost"          // taken on, and neither delivered nor told to have ended
	Effect  Rule = "second effect" // more effects than the event type allows, or said to be harmless after one
	Overlap Rule = "overlap"       // called again while a call with it is out
	Order   Rule = "order"         // webhooks of one key, out of turn
	Waits   Rule = "wait"          // called while a told wait binds
	Drains  Rule = "drain"         // called after it was told that the endpoint drains
	Cold    Rule = "cold budget"   // a returned destination was pushed over
	Astray  Rule = "astray"        // never handed in, or not for this destination
)

// Breach is one case of a broken rule.
type Breach struct {
	Rule   Rule
	At     api.Micros
	ID     string
	Dest   api.DestinationID
	Member string
	Why    string
}

func (b Breach) String() string {
	return fmt.Sprintf("%s: %s at destination %d by %s, %.3f s: %s", b.Rule, b.ID, b.Dest, b.Member,
		b.At.Seconds(), b.Why)
}

// Judge returns what broke a rule up to a time, in the order of time.
func (l *Ledger) Judge(at api.Micros) []Breach {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Clone(l.odd)
	for _, rule := range []func(api.Micros) []Breach{l.lost, l.effects, l.overlaps, l.orders, l.waits,
		l.drained,
		l.pushed} {
		all = append(all, rule(at)...)
	}
	slices.SortStableFunc(all, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return all
}

func (w *webhook) taken() bool { return w.code == 200 || w.code == 202 }

// harmless tells whether the member said that the webhook may be handed in again.
func (w *webhook) harmless() bool {
	return w.code == 429 || w.code == 503 ||
		slices.ContainsFunc(w.notices, func(n notice) bool { return n.outcome == "handed_back" })
}

type at struct {
	id   string
	dest api.DestinationID
}

// ends are the deliveries, by webhook and destination.
func (l *Ledger) ends() map[at]bool {
	ends := map[at]bool{}
	for _, c := range l.calls {
		for id := range c.delivered {
			ends[at{id, c.Dest}] = true
		}
	}
	return ends
}

// missing are the destinations at which the webhook has no end yet.
func (w *webhook) missing(ends map[at]bool) (left []api.DestinationID) {
	for _, d := range w.Dests {
		told := slices.ContainsFunc(w.notices, func(n notice) bool { return n.all || n.dest == d })
		if !told && !ends[at{w.ID, d}] {
			left = append(left, d)
		}
	}
	return left
}

func (l *Ledger) lost(now api.Micros) (all []Breach) {
	ends := l.ends()
	for _, w := range l.order {
		if !w.taken() || l.forgiven[w.ID] {
			continue
		}
		left := w.missing(ends)
		if due, known := l.due(w); len(left) > 0 && known && now > due {
			for _, d := range left {
				all = append(all, Breach{Lost, due, w.ID, d, w.Member, "taken on, neither delivered nor told"})
			}
		}
	}
	return all
}

// due is when a webhook's end is overdue. Each member that was down meanwhile may be the one that has it.
func (l *Ledger) due(w *webhook) (by api.Micros, known bool) {
	by = w.At + w.TTL + l.Terms.Slack
	for again := true; again; {
		again = false
		for _, m := range l.members() {
			for _, s := range l.down[m] {
				if s.from < w.At || s.from > by {
					continue
				}
				if s.until == api.Never {
					return 0, false
				}
				if later := s.until + l.Terms.Slack; later > by {
					by, again = later, true
				}
			}
		}
	}
	return by, true
}

// effects: those of one webhook count together with those of the ones that it was handed in again after.
func (l *Ledger) effects(api.Micros) (all []Breach) {
	type run struct {
		at api.Micros
		id string
		c  *Call
	}
	var runs []run
	first := map[at]run{}
	for _, c := range l.calls {
		for id, t := range c.ran {
			runs = append(runs, run{t, id, c})
		}
	}
	slices.SortFunc(runs, func(a, b run) int {
		return cmp.Or(cmp.Compare(a.at, b.at), a.c.n-b.c.n,
			cmp.Compare(a.id, b.id))
	})
	for _, r := range runs {
		w := l.webhooks[r.id]
		if w == nil {
			continue
		}
		t := l.Terms.Types[w.Type]
		if t.Semantics == api.Idempotent {
			continue
		}
		breach := func(why string) {
			all = append(all, Breach{Effect, r.at, r.id, r.c.Dest, r.c.Member, why})
		}
		if w.code == 429 || w.code == 503 {
			breach("took effect though it was refused")
		}
		for _, n := range w.notices {
			if n.outcome == "handed_back" && (n.all || n.dest == r.c.Dest) {
				breach("handed back as harmless, and it took effect")
				break
			}
		}
		k := at{l.root(w), r.c.Dest}
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

// root is the first id of those that were said to be harmless to hand in again.
func (l *Ledger) root(w *webhook) string {
	for w.After != "" {
		before := l.webhooks[w.After]
		if before == nil || !before.harmless() {
			break
		}
		w = before
	}
	return w.ID
}

// LongestGap is the longest time between two deliveries at a destination that follow each other.
func (l *Ledger) LongestGap(dest api.DestinationID) (longest api.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ends []api.Micros
	for _, c := range l.calls {
		if c.Dest == dest && len(c.delivered) > 0 {
			ends = append(ends, c.over)
		}
	}
	slices.Sort(ends)
	for i := 1; i < len(ends); i++ {
		longest = max(longest, ends[i]-ends[i-1])
	}
	return longest
}
