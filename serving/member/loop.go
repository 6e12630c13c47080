package member

import (
	"context"
	"time"

	"rowanlink/serving/actor"
	"rowanlink/serving/gossip"
)

// loop ticks the node when the timer fires or wakeIfDue wakes the loop, and starts the calls that the tick returns. It runs
// until ctx ends.
func (s *Service) loop(ctx context.Context) {
	defer close(s.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wake:
		}
		calls, ok := actor.Call(s.actor, func(n *node) pendingCalls {
			due := n.tick(time.Now())
			n.wakeAt = due.next
			return due
		})
		if !ok {
			return
		}
		s.caller.start(ctx, calls)
		timer.Reset(time.Until(calls.next))
	}
}

// tableEntries returns the entries of a table, in no order.
func (n *node) tableEntries(table gossip.TableID) []gossip.Entry {
	entries := make([]gossip.Entry, 0, n.engine.Len(table))
	n.engine.All(table, func(entry gossip.Entry) bool {
		entries = append(entries, entry)
		return true
	})
	return entries
}
