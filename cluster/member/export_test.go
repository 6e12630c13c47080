package member

import (
	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// idle is a side with nothing of any range.
type idle struct{}

func (idle) CallsInFlight(shardmap.Range) int        { return 0 }
func (idle) CallsInFlightTo([]api.DestinationID) int { return 0 }
func (idle) PendingWebhooks(shardmap.Range) int      { return 0 }
func (idle) StateTransferred(shardmap.Range) bool    { return true }
func (idle) InDoubt(shardmap.MoveID) int             { return 0 }

// Looks is a member's look at its homes by a map, without anything out or owed.
func Looks(self cluster.MemberID, s *Session, chart *shardmap.Map) func() {
	h := &Ownership{self: self, leaseTTL: s.LeaseTTL, now: s.Clock, session: s, local: idle{}, onChange: func() {}}
	h.shardMap.Store(chart)
	return h.Reconcile
}
