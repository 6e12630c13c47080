package deliverycheck

import (
	"fmt"

	"rowanlink/webhook/api"
)

// checkOverlaps allows one call at a time with a webhook at a destination.
func (c *Checker) checkOverlaps() (violations []Violation) {
	last := map[delivery]*Call{}
	for _, call := range c.calls {
		for _, id := range call.IDs {
			key := delivery{id, call.Destination}
			if earlier := last[key]; earlier != nil && earlier.isInFlight(call.At) {
				rule := c.overlapRule(id, earlier, call)
				violation := call.violation(rule, id, "a call by "+earlier.Member+" is in flight")
				violation.With = earlier.Member
				violations = append(violations, violation)
			}
			last[key] = call
		}
	}
	return violations
}

// overlapRule returns the rule that two overlapping calls violate. An idempotent webhook may have a copy at a member that
// was partitioned and one at the next owner.
func (c *Checker) overlapRule(id string, earlier, later *Call) Rule {
	w := c.webhooks[id]
	isIdempotent := w != nil && c.Requirements.EventTypes[w.Type].Semantics == api.Idempotent
	if isIdempotent && earlier.Member != later.Member {
		return ForkOverlap
	}
	return Overlap
}

// checkOrder checks the order of each key: if a webhook was accepted before another was submitted, at the same member
// (or at any, by the requirements), no call with the first begins after one with the second, and none with the second
// while one with the first is in flight.
func (c *Checker) checkOrder() (violations []Violation) {
	type orderedKey struct {
		destination api.DestinationID
		key         string
	}
	calls := c.callsByDelivery()
	submitted := map[orderedKey][]*webhook{}
	for _, w := range c.submissions {
		if !c.Requirements.EventTypes[w.Type].Ordered || w.Key == "" {
			continue
		}
		for _, d := range w.Destinations {
			key := orderedKey{d, w.Key}
			for _, earlier := range submitted[key] {
				if !c.mustPrecede(earlier, w) {
					continue
				}
				ownCalls := calls[delivery{w.ID, d}]
				if reason := orderViolation(calls[delivery{earlier.ID, d}], ownCalls); reason != "" {
					violations = append(violations, ownCalls[0].violation(Order, w.ID,
						fmt.Sprintf("%s, of key %s: %s", earlier.ID, w.Key, reason)))
				}
			}
			submitted[key] = append(submitted[key], w)
		}
	}
	return violations
}

func (c *Checker) callsByDelivery() map[delivery][]*Call {
	calls := map[delivery][]*Call{}
	for _, call := range c.calls {
		for _, id := range call.IDs {
			key := delivery{id, call.Destination}
			calls[key] = append(calls[key], call)
		}
	}
	return calls
}

// mustPrecede reports whether a webhook has to be delivered before a later one of its key.
func (c *Checker) mustPrecede(earlier, later *webhook) bool {
	return earlier.accepted() &&
		earlier.respondedAt < later.At &&
		(earlier.Member == later.Member || c.Requirements.OrderAcross)
}

// orderViolation returns how calls with a webhook are out of order with those of a later one, or "".
func orderViolation(earlierCalls, laterCalls []*Call) string {
	for _, later := range laterCalls {
		for _, earlier := range earlierCalls {
			switch {
			case earlier.At > later.At:
				return "the earlier webhook is called after the later one"
			case earlier.isInFlight(later.At):
				return "a call with the earlier webhook is in flight"
			}
		}
	}
	return ""
}
