package engine

import (
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// Spoilt are faults in what dispatchers make of leases and map, by name.
var Spoilt = map[string]func(*Simulation){
	"a home has an even part only": func(m *Simulation) {
		m.cluster.behavior.rateShare = func(v shardmap.Decision, n int) float64 { return v.RateShare(n) / float64(n) }
	},
	"forwarders call too": func(m *Simulation) {
		m.cluster.behavior.mayCall = func(v shardmap.Decision) bool { return v.AllowsCall(false) || v.Action == shardmap.Forward }
	},
	"a hop costs nothing": func(m *Simulation) {
		m.cluster.behavior.messageDelay = func(api.Micros) api.Micros { return 0 }
	},
	"a lost home stays home": func(m *Simulation) {
		m.cluster.behavior.takeovers = func([]shardmap.Takeover) []shardmap.Takeover { return nil }
	},
	"told before it is in the journal": func(m *Simulation) { m.cluster.behavior.acknowledgesEarly = true },
	"a silent home is taken for one that never had it": func(m *Simulation) {
		m.cluster.behavior.mayReclaim = func(w *webhook, _ *EventType, ended bool, _ api.Micros) bool {
			w.mayHaveRunAt = never
			return ended
		}
	},
}
