package engine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/sim/engine"
	"rowanlink/sim/event"
	"rowanlink/sim/invariant"
	"rowanlink/webhook/api"
)

// homesDay is six dispatchers of which each is home of some of twelve destinations.
func homesDay(troubles ...engine.Fault) *engine.Scenario {
	s := plain(troubles...)
	s.Dispatchers.Count, s.Clients.Rate, s.Duration = 6, 120, 16*sec
	s.Destinations.Count, s.Destinations.Active = 12, 12
	s.EventTypes = s.EventTypes[:3]
	s.Network.SameZoneDelay, s.Network.CrossZoneDelay = sec/100, sec/100
	s.Ownership = engine.Ownership{LeaseTTL: 3 * sec, HopFactor: 2, LossRate: 0.001, ClockDrift: 0.05}
	s.ApplyDefaults()
	return s
}

// drawn is a day on which dispatchers die, stand still and restart while destinations go out and messages
// between dispatchers are lost.
func drawn(seed uint64) *engine.Scenario {
	c := rand.New(rand.NewPCG(seed, 7))
	var all []engine.Fault
	for range 1 + c.IntN(5) {
		t := engine.Fault{Kind: []string{"kill", "kill", "freeze", "restart", "hang", "down"}[c.IntN(6)],
			At: engine.Duration(c.IntN(int(14 * sec))), Duration: engine.Duration(c.IntN(int(10 * sec))),
			KeepsState: c.IntN(4) > 0}
		if t.Kind == "hang" || t.Kind == "down" {
			t.Busiest = 2
		} else {
			t.Dispatchers, t.DuringIteration = []int{c.IntN(6), c.IntN(6)}, t.Kind == "kill" && c.IntN(2) == 0
		}
		all = append(all, t)
	}
	s := homesDay(all...)
	s.Seed, s.Ownership.LossRate = seed+1, []float64{0, 0.01, 0.3}[c.IntN(3)]
	return s
}

type homesRun struct {
	*invariant.Checker
	invariant.Summary
	invariant.ClusterSummary
	all []event.Event
}

func (r homesRun) of(what event.Kind) (all []event.Event) {
	for _, e := range r.all {
		if e.Kind == what {
			all = append(all, e)
		}
	}
	return all
}

func playHomes(t *testing.T, s *engine.Scenario, spoil func(*engine.Simulation)) homesRun {
	require.NoError(t, s.Validate())
	m := engine.New(s, module)
	spoil(m)
	terms := invariant.Thresholds{Settings: s.DispatcherSettings(0, 0), DrainGrace: api.Micros(s.Thresholds.DrainGrace),
		AnswerGrace: 3*api.Micros(s.Dispatchers.MinIterationInterval) + api.Second/20}
	w, r, f := invariant.NewChecker(terms), invariant.NewRecorder(terms), invariant.NewClusterRecorder(terms)
	l := &log{wants: []event.Kind{event.CallStarted, event.Finished}}
	w.Subscribe(&m.Bus)
	m.Bus.Subscribe(r, f, l)
	w.Finish(m.Run())
	return homesRun{w, r.Finish(), f.Finish(), l.all}
}

func sound(*engine.Simulation) {}

func TestAFleetWithHomesKeepsTheRulesWhateverDiesOrIsLost(t *testing.T) {
	// The first sixteen, and two on which one that goes on calling what is on its way would be found out.
	for _, seed := range []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 76, 101} {
		r := playHomes(t, drawn(seed), sound)
		assert.Empty(t, r.ViolationCount, "seed %d: %s", seed, texts(r.Violations))
		assert.Zero(t, r.Unfinished, "seed %d", seed)
		assert.Positive(t, r.Handoffs, "seed %d", seed)
	}
}

// Each fault in what dispatchers make of leases and map is seen by what it does; without it nothing is.
func TestSpoiltFleetsAreFoundOut(t *testing.T) {
	kill := engine.Fault{Kind: "kill", At: 5 * sec, Duration: 40 * sec, Dispatchers: []int{1}, KeepsState: true}
	killed := homesDay(kill)
	lossy := homesDay(kill, engine.Fault{Kind: "kill", At: 7 * sec, Duration: 40 * sec, Dispatchers: []int{2, 3},
		KeepsState: true})
	lossy.Ownership.LossRate, lossy.Clients.Rate = 0.4, 400
	lossy.EventTypes = lossy.EventTypes[2:]
	slow := homesDay() // turns are longer than hops
	slow.Dispatchers.MinIterationInterval, slow.Network.SameZoneDelay = sec/10, sec/1000
	many := homesDay()
	many.Dispatchers.Count = 12
	for _, c := range []struct {
		fault string
		day   *engine.Scenario
		well  func(homesRun) error
	}{
		{"a home has an even part only", many, func(r homesRun) error {
			return unless(r.Value > 0.97, "value %.3f", r.Value)
		}},
		{"forwarders call too", homesDay(), func(r homesRun) error {
			callers := map[api.DestinationID]int32{}
			for _, e := range r.of(event.CallStarted) {
				if by, ok := callers[e.Destination]; ok && by != e.Dispatcher {
					return fmt.Errorf("%d and %d call destination %d", by, e.Dispatcher, e.Destination)
				}
				callers[e.Destination] = e.Dispatcher
			}
			return unless(len(callers) == 12, "%d destinations called", len(callers))
		}},
		{"forwarders call too", homesDay(engine.Fault{Kind: "down", At: 5 * sec, Duration: 5 * sec, Busiest: 2}),
			func(r homesRun) error {
				return unless(r.Returns == 2 && r.CallersDuringOutage == 1, "canaries of %.1f dispatchers", r.CallersDuringOutage)
			}},
		{"a hop costs nothing", homesDay(), func(r homesRun) error {
			return unless(r.Handoffs > 1000 && r.HandoffP50 >= 0.019 && r.HandoffP99 < 0.2, "hops of %.4f s", r.HandoffP50)
		}},
		{"a lost home stays home", killed, func(r homesRun) error {
			lost, again := map[api.DestinationID]bool{}, map[api.DestinationID]bool{}
			for _, e := range r.all {
				lost[e.Destination] = lost[e.Destination] || e.Kind == event.CallStarted && e.Dispatcher == 1
				again[e.Destination] = again[e.Destination] || e.Final == event.Delivered && e.Kind == event.Finished &&
					e.At > api.Micros(kill.At+2*killed.Ownership.LeaseTTL)
			}
			for d, was := range lost {
				if was && !again[d] {
					return fmt.Errorf("nothing is delivered to destination %d", d)
				}
			}
			return unless(r.LongestGap > 2 && r.LongestGap < 5, "silent for %.1f s", r.LongestGap)
		}},
		{"told before it is in the journal", slow, func(r homesRun) error {
			return unless(r.ViolationCount["lost"] == 0, "lost")
		}},
		{"a silent home is taken for one that never had it", lossy, func(r homesRun) error {
			return unless(r.ViolationCount["twice"] == 0, "twice")
		}},
	} {
		t.Run(c.fault, func(t *testing.T) {
			r := playHomes(t, c.day, sound)
			assert.Empty(t, r.ViolationCount, texts(r.Violations))
			assert.NoError(t, c.well(r))
			assert.Error(t, c.well(playHomes(t, c.day, engine.Spoilt[c.fault])), "not found out")
		})
	}
}

func unless(ok bool, text string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(text, args...)
}
