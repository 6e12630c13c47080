package member

import (
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// gate is what the decider asks.
type gate struct{ m *Member }

func (g gate) Calls(dest api.DestinationID, ordered bool) bool {
	may, asRelay := g.m.sites.Calls(dest)
	return may && (asRelay || g.m.homes.Verdict(dest).Calls(ordered))
}

func (g gate) Part(dest api.DestinationID) float64 {
	return g.m.sites.Part(dest, g.m.homes.Verdict(dest).Part(int(g.m.many.Load())))
}

func (g gate) Doubts(of inflight.RequestID) bool { return g.m.names.Doubts(of) }

var _ eventloop.Fleet = gate{}
