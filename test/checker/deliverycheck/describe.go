package deliverycheck

import (
	"fmt"
	"slices"
	"strings"
)

// Describe is all that is known of one webhook, in the order of time: for whoever reads a breach.
func (l *Checker) Describe(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.webhooks[id]
	if w == nil {
		return id + " was never handed in"
	}
	out := &strings.Builder{}
	fmt.Fprintf(out, "%s, %s for %v, key %q, TTL %.3f s: handed in at %s %.3f s, answered %d at %.3f s", id,
		w.Type, w.Destinations,
		w.Key, w.TTL.Seconds(), w.Member, w.At.Seconds(), w.status, w.respondedAt.Seconds())
	for _, c := range l.calls {
		if !slices.Contains(c.IDs, id) {
			continue
		}
		fmt.Fprintf(out, "; %.3f s called at %d by %s", c.At.Seconds(), c.Destination, c.Member)
		if at, ran := c.effects[id]; ran {
			fmt.Fprintf(out, ", ran %.3f s", at.Seconds())
		}
		fmt.Fprintf(out, ", over %.3f s, delivered %t", c.endedAt.Seconds(), c.delivered[id])
	}
	for _, n := range w.notices {
		fmt.Fprintf(out, "; %.3f s told %s (all %t, destination %d)", n.at.Seconds(), n.outcome, n.all, n.dest)
	}
	return out.String()
}
