package member

import (
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// admission is what the decider asks.
type admission struct{ m *Member }

func (g admission) Calls(dest api.DestinationID, ordered bool) bool {
	may, asRelay := g.m.sites.MayCall(dest)
	return may && (asRelay || g.m.ownership.Verdict(dest).AllowsCall(ordered))
}

func (g admission) Part(dest api.DestinationID) float64 {
	return g.m.sites.RateShare(dest, g.m.ownership.Verdict(dest).RateShare(int(g.m.memberCount.Load())))
}

func (g admission) Doubts(of inflight.RequestID) bool { return g.m.custody.IsInDoubt(of) }

var _ eventloop.Fleet = admission{}
