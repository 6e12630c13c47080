package engine

import (
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// FaultyBehaviors are mutants of what dispatchers do with leases and the shard map, by name.
var FaultyBehaviors = map[string]func(*Simulation){
	"an owner has an even share only": func(m *Simulation) {
		m.cluster.behavior.rateShare = func(v shardmap.Decision, n int) float64 { return v.RateShare(n) / float64(n) }
	},
	"forwarders call": func(m *Simulation) {
		m.cluster.behavior.mayCall = func(v shardmap.Decision) bool { return v.AllowsCall(false) || v.Action == shardmap.Forward }
	},
	"messages take no time": func(m *Simulation) {
		m.cluster.behavior.messageDelay = func(api.Micros) api.Micros { return 0 }
	},
	"a lost owner stays owner": func(m *Simulation) {
		m.cluster.behavior.takeovers = func([]shardmap.Takeover) []shardmap.Takeover { return nil }
	},
	"acknowledged before it is persisted": func(m *Simulation) { m.cluster.behavior.acknowledgesEarly = true },
	"a silent owner counts as one that never accepted": func(m *Simulation) {
		m.cluster.behavior.mayReclaim = func(w *webhook, _ *EventType, ended bool, _ api.Micros) bool {
			w.mayHaveRunAt = never
			return ended
		}
	},
}
