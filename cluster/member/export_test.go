package member

import (
	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// idle is a side with nothing of any range.
type idle struct{}

func (idle) Out(shardmap.Range) int        { return 0 }
func (idle) OutOf([]api.DestinationID) int { return 0 }
func (idle) Owes(shardmap.Range) int       { return 0 }
func (idle) Told(shardmap.Range) bool      { return true }
func (idle) Undecided(shardmap.MoveID) int { return 0 }

// Looks is a member's look at its homes by a map, without anything out or owed.
func Looks(self cluster.MemberID, s *Session, chart *shardmap.Map) func() {
	h := &homes{self: self, term: s.Term, now: s.Clock, session: s, side: idle{}, changed: func() {}}
	h.chart.Store(chart)
	return h.Look
}
