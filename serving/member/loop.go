package member

import (
	"context"
	"time"

	"rowanlink/serving/actor"
	"rowanlink/serving/event"
	"rowanlink/serving/gossip"
	"rowanlink/serving/singleton"
)

// loop asks the node what is due whenever its timer or a poke says so.
func (m *Service) loop(ctx context.Context) {
	defer close(m.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-m.wake:
		}
		todo, ok := actor.Call(m.actor, func(n *node) pendingCalls {
			now := time.Now()
			todo := n.tick(now)
			n.wakeAt = todo.next
			return todo
		})
		if !ok {
			return
		}
		m.caller.start(todo)
		timer.Reset(time.Until(todo.next))
	}
}

// all returns the entries of a table.
func (n *node) all(table gossip.TableID) []gossip.Entry {
	entries := make([]gossip.Entry, 0, n.engine.Len(table))
	n.engine.All(table, func(entry gossip.Entry) bool {
		entries = append(entries, entry)
		return true
	})
	return entries
}

// acquireRole looks up a duty and spreads the own claim where one is made.
func (n *node) acquireRole(now time.Time, name string, scope singleton.Scope) (holding singleton.Assignment) {
	n.step(now, func() {
		var claim *singleton.Claim
		holding, claim = n.roles.Acquire(now, name, scope, n.members.LiveMembers())
		if claim == nil {
			return
		}
		entry, err := claimEntry(*claim)
		if err != nil {
			event.GossipEntryUnreadable.Log(n.log).Err(err).Send()
			return
		}
		n.engine.PutLocal(now, entry)
		event.SingletonRoleTaken.Log(n.log).Str("duty", name).Uint64("epoch", claim.Epoch).Send()
	})
	return holding
}
