package member

import (
	"time"

	"rowanlink/serving/event"
	"rowanlink/serving/singleton"
)

// acquireRole returns the holder of a singleton role among the live members of the scope. If the local member takes the
// role, its claim is gossiped.
func (n *node) acquireRole(now time.Time, role string, scope singleton.Scope) (assignment singleton.Assignment) {
	n.step(now, func() {
		var claim *singleton.Claim
		assignment, claim = n.roles.Acquire(now, role, scope, n.members.LiveMembers())
		if claim == nil {
			return
		}
		entry, err := claimEntry(*claim)
		if err != nil {
			event.GossipEntryUnreadable.Log(n.log).Err(err).Send()
			return
		}
		n.engine.PutLocal(now, entry)
		event.SingletonRoleTaken.Log(n.log).Str("role", role).Uint64("epoch", claim.Epoch).Send()
	})
	return assignment
}
