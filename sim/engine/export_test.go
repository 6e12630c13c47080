package engine

import (
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// Spoilt are faults in what dispatchers make of leases and map, by name.
var Spoilt = map[string]func(*Model){
	"a home has an even part only": func(m *Model) {
		m.homes.deeds.part = func(v shardmap.Decision, n int) float64 { return v.RateShare(n) / float64(n) }
	},
	"forwarders call too": func(m *Model) {
		m.homes.deeds.calls = func(v shardmap.Decision) bool { return v.AllowsCall(false) || v.Action == shardmap.Forward }
	},
	"a hop costs nothing": func(m *Model) {
		m.homes.deeds.way = func(api.Micros) api.Micros { return 0 }
	},
	"a lost home stays home": func(m *Model) {
		m.homes.deeds.takes = func([]shardmap.Takeover) []shardmap.Takeover { return nil }
	},
	"told before it is in the journal": func(m *Model) { m.homes.deeds.early = true },
	"a silent home is taken for one that never had it": func(m *Model) {
		m.homes.deeds.settles = func(w *held, _ *EventType, ended bool, _ api.Micros) bool {
			w.mayRun = never
			return ended
		}
	},
}
