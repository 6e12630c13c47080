package deliverycheck

import (
	"cmp"
	"fmt"
	"slices"

	"rowanlink/webhook/api"
)

// Rule is a rule that webhooks are checked by.
type Rule string

// The rules, by what violates them.
const (
	Lost            Rule = "lost"             // accepted, and neither delivered nor reported to have ended
	DuplicateEffect Rule = "duplicate effect" // more effects than the event type allows, or one after it was reported to have none
	Overlap         Rule = "overlap"          // called while another call with it is in flight
	ForkOverlap     Rule = "fork overlap"     // the same of an idempotent one, by another member than the first
	Order           Rule = "order"            // webhooks of one key out of order
	RetryAfter      Rule = "retry-after"      // called before a Retry-After has passed
	Draining        Rule = "draining"         // called after the notification that the endpoint drains
	SlowStart       Rule = "slow start"       // a recovered destination was overloaded
	Misrouted       Rule = "misrouted"        // never submitted, or not for this destination
)

// Violation is one violation of a rule.
type Violation struct {
	Rule        Rule
	At          api.Micros
	ID          string
	Destination api.DestinationID
	Member      string
	With        string // of an overlap: the member of the other call
	Reason      string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s at destination %d by %s, %.3f s: %s", v.Rule, v.ID, v.Destination, v.Member,
		v.At.Seconds(), v.Reason)
}

// violation returns a violation by the begin of a call.
func (c *Call) violation(rule Rule, id, reason string) Violation {
	return Violation{Rule: rule, At: c.At, ID: id, Destination: c.Destination, Member: c.Member, Reason: reason}
}

// Check returns the violations up to a time, in the order of time.
func (c *Checker) Check(at api.Micros) []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations := slices.Clone(c.immediate)
	violations = append(violations, c.checkLost(at)...)
	violations = append(violations, c.checkEffects()...)
	violations = append(violations, c.checkOverlaps()...)
	violations = append(violations, c.checkOrder()...)
	violations = append(violations, c.checkRetryAfter()...)
	violations = append(violations, c.checkDraining()...)
	violations = append(violations, c.checkSlowStart()...)
	slices.SortStableFunc(violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return violations
}

// delivery is a webhook at a destination.
type delivery struct {
	id          string
	destination api.DestinationID
}

// deliveries returns what was delivered.
func (c *Checker) deliveries() map[delivery]bool {
	delivered := map[delivery]bool{}
	for _, call := range c.calls {
		for id := range call.delivered {
			delivered[delivery{id, call.Destination}] = true
		}
	}
	return delivered
}

// missing returns the destinations at which the webhook has no outcome yet.
func (w *webhook) missing(delivered map[delivery]bool) (missing []api.DestinationID) {
	for _, d := range w.Destinations {
		isReported := slices.ContainsFunc(w.notices, func(n notice) bool { return n.isOf(d) })
		if !isReported && !delivered[delivery{w.ID, d}] {
			missing = append(missing, d)
		}
	}
	return missing
}

func (c *Checker) checkLost(now api.Micros) (violations []Violation) {
	delivered := c.deliveries()
	for _, w := range c.submissions {
		if !w.accepted() || c.forgiven[w.ID] {
			continue
		}
		missing := w.missing(delivered)
		if len(missing) == 0 {
			continue
		}
		deadline, isKnown := c.deadline(w)
		if !isKnown || now <= deadline {
			continue
		}
		for _, d := range missing {
			violations = append(violations, Violation{
				Rule:        Lost,
				At:          deadline,
				ID:          w.ID,
				Destination: d,
				Member:      w.Member,
				Reason:      "accepted, and neither delivered nor reported",
			})
		}
	}
	return violations
}

// deadline returns when a webhook's outcome is overdue. It is later if a member was down meanwhile, since that may be
// the one that has the webhook; it is not known while one is down.
func (c *Checker) deadline(w *webhook) (deadline api.Micros, isKnown bool) {
	deadline = w.At + w.TTL + c.Requirements.Slack
	for hasChanged := true; hasChanged; {
		hasChanged = false
		for _, m := range c.downMembers() {
			for _, down := range c.downtimes[m] {
				if down.from < w.At || down.from > deadline {
					continue
				}
				if down.until == api.Never {
					return 0, false
				}
				if later := down.until + c.Requirements.Slack; later > deadline {
					deadline, hasChanged = later, true
				}
			}
		}
	}
	return deadline, true
}

// effect is a webhook that took effect by a call.
type effect struct {
	at   api.Micros
	id   string
	call *Call
}

// effects returns all effects in the order of time.
func (c *Checker) effects() (effects []effect) {
	for _, call := range c.calls {
		for id, at := range call.effects {
			effects = append(effects, effect{at, id, call})
		}
	}
	slices.SortFunc(effects, func(a, b effect) int {
		return cmp.Or(cmp.Compare(a.at, b.at), a.call.sequence-b.call.sequence, cmp.Compare(a.id, b.id))
	})
	return effects
}

// checkEffects counts the effects of a webhook together with those of the submissions that it was a retry of.
func (c *Checker) checkEffects() (violations []Violation) {
	first := map[delivery]effect{}
	for _, e := range c.effects() {
		w := c.webhooks[e.id]
		if w == nil || c.Requirements.EventTypes[w.Type].Semantics == api.Idempotent {
			continue
		}
		reasons := w.reportedWithoutEffect(e.call.Destination)
		key := delivery{c.firstSubmission(w), e.call.Destination}
		earlier, hasEarlier := first[key]
		if !hasEarlier {
			first[key] = e
		} else if reason := c.duplicateEffect(w, earlier, e); reason != "" {
			reasons = append(reasons, reason)
		}
		for _, reason := range reasons {
			v := e.call.violation(DuplicateEffect, e.id, reason)
			v.At = e.at
			violations = append(violations, v)
		}
	}
	return violations
}

// reportedWithoutEffect returns the reports that a webhook, which took effect, had none.
func (w *webhook) reportedWithoutEffect(destination api.DestinationID) (reasons []string) {
	if w.rejected() {
		reasons = append(reasons, "took effect though it was rejected")
	}
	isReturned := func(n notice) bool { return n.outcome == outcomeReturned && n.isOf(destination) }
	if slices.ContainsFunc(w.notices, isReturned) {
		reasons = append(reasons, "took effect though it was returned as without effect")
	}
	return reasons
}

// duplicateEffect returns why the event type doesn't allow an effect after an earlier one, or "".
func (c *Checker) duplicateEffect(w *webhook, earlier, e effect) string {
	eventType := c.Requirements.EventTypes[w.Type]
	seconds := (e.at - earlier.at).Seconds()
	switch {
	case eventType.Semantics == api.AtMostOnce:
		return fmt.Sprintf("at-most-once, and took effect %.3f s before by %s", seconds, earlier.call.Member)
	case e.at > earlier.at+eventType.DedupWindow:
		return fmt.Sprintf("deduplicated, and took effect %.3f s before by %s, outside the window", seconds, earlier.call.Member)
	}
	return ""
}

// firstSubmission returns the ID of the first submission that a webhook is a retry of: as long as the one before was
// reported to have had no effect.
func (c *Checker) firstSubmission(w *webhook) string {
	for w.RetryOf != "" {
		before := c.webhooks[w.RetryOf]
		if before == nil || !before.mayBeRetried() {
			break
		}
		w = before
	}
	return w.ID
}
