package deliverycheck

import (
	"fmt"
	"slices"
	"strings"
)

// Describe returns all that is known of a webhook, for a reader of a violation.
func (c *Checker) Describe(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.webhooks[id]
	if w == nil {
		return id + " was never submitted"
	}
	out := &strings.Builder{}
	fmt.Fprintf(out, "%s, %s for %v, key %q, TTL %.3f s: submitted at %s %.3f s, response %d at %.3f s", id, w.Type,
		w.Destinations, w.Key, w.TTL.Seconds(), w.Member, w.At.Seconds(), w.status, w.respondedAt.Seconds())
	for _, call := range c.calls {
		if !slices.Contains(call.IDs, id) {
			continue
		}
		fmt.Fprintf(out, "; %.3f s called at %d by %s", call.At.Seconds(), call.Destination, call.Member)
		if at, hasEffect := call.effects[id]; hasEffect {
			fmt.Fprintf(out, ", took effect %.3f s", at.Seconds())
		}
		fmt.Fprintf(out, ", ended %.3f s, delivered %t", call.endedAt.Seconds(), call.delivered[id])
	}
	for _, n := range w.notices {
		fmt.Fprintf(out, "; %.3f s reported %s (all %t, destination %d)", n.at.Seconds(), n.outcome, n.all, n.destination)
	}
	return out.String()
}
