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

// clusterScenario has six dispatchers, each the owner of some of twelve destinations.
func clusterScenario(faults ...engine.Fault) *engine.Scenario {
	s := newScenario(faults...)
	s.Dispatchers.Count, s.Clients.Rate, s.Duration = 6, 120, 16*sec
	s.Destinations.Count, s.Destinations.Active = 12, 12
	s.EventTypes = s.EventTypes[:3]
	s.Network.SameZoneDelay, s.Network.CrossZoneDelay = sec/100, sec/100
	s.Ownership = engine.Ownership{LeaseTTL: 3 * sec, HopFactor: 2, LossRate: 0.001, ClockDrift: 0.05}
	s.ApplyDefaults()
	return s
}

// randomScenario has dispatchers that are killed, paused and restarted, destinations with outages, and lost messages
// between dispatchers.
func randomScenario(seed uint64) *engine.Scenario {
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
	s := clusterScenario(all...)
	s.Seed, s.Ownership.LossRate = seed+1, []float64{0, 0.01, 0.3}[c.IntN(3)]
	return s
}

type clusterRun struct {
	*invariant.Checker
	invariant.Summary
	invariant.ClusterSummary
	all []event.Event
}

func (r clusterRun) of(what event.Kind) (all []event.Event) {
	for _, e := range r.all {
		if e.Kind == what {
			all = append(all, e)
		}
	}
	return all
}

func runCluster(t *testing.T, s *engine.Scenario, change func(*engine.Simulation)) clusterRun {
	t.Helper()
	require.NoError(t, s.Validate())
	m := engine.New(s, newPolicy)
	change(m)
	thresholds := thresholdsOf(s)
	checker := invariant.NewChecker(thresholds)
	recorder := invariant.NewRecorder(thresholds)
	clusterRecorder := invariant.NewClusterRecorder(thresholds)
	log := &eventLog{kinds: []event.Kind{event.CallStarted, event.Finished}}
	checker.Subscribe(&m.Bus)
	m.Bus.Subscribe(recorder, clusterRecorder, log)
	checker.Finish(m.Run())
	return clusterRun{checker, recorder.Finish(), clusterRecorder.Finish(), log.events}
}

func unchanged(*engine.Simulation) {}

func TestCluster_KeepsInvariantsUnderRandomFaults(t *testing.T) {
	// The last two find a dispatcher that calls with webhooks while it hands them off.
	for _, seed := range []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 76, 101} {
		r := runCluster(t, randomScenario(seed), unchanged)
		assert.Empty(t, r.ViolationCount, "seed %d: %s", seed, describe(r.Violations))
		assert.Zero(t, r.Unfinished, "seed %d", seed)
		assert.Positive(t, r.Handoffs, "seed %d", seed)
	}
}

// Each faulty behavior has an observable effect, which is absent without it.
func TestCluster_FaultyBehaviorIsDetected(t *testing.T) {
	kill := engine.Fault{Kind: "kill", At: 5 * sec, Duration: 40 * sec, Dispatchers: []int{1}, KeepsState: true}
	killed := clusterScenario(kill)
	lossy := clusterScenario(kill, engine.Fault{Kind: "kill", At: 7 * sec, Duration: 40 * sec, Dispatchers: []int{2, 3},
		KeepsState: true})
	lossy.Ownership.LossRate, lossy.Clients.Rate = 0.4, 400
	lossy.EventTypes = lossy.EventTypes[2:]
	slow := clusterScenario() // turns are longer than hops
	slow.Dispatchers.MinIterationInterval, slow.Network.SameZoneDelay = sec/10, sec/1000
	many := clusterScenario()
	many.Dispatchers.Count = 12
	for _, c := range []struct {
		fault string
		day   *engine.Scenario
		well  func(clusterRun) error
	}{
		{"an owner has an even share only", many, func(r clusterRun) error {
			return unless(r.Value > 0.97, "value %.3f", r.Value)
		}},
		{"forwarders call", clusterScenario(), func(r clusterRun) error {
			callers := map[api.DestinationID]int32{}
			for _, e := range r.of(event.CallStarted) {
				if by, ok := callers[e.Destination]; ok && by != e.Dispatcher {
					return fmt.Errorf("%d and %d call destination %d", by, e.Dispatcher, e.Destination)
				}
				callers[e.Destination] = e.Dispatcher
			}
			return unless(len(callers) == 12, "%d destinations called", len(callers))
		}},
		{"forwarders call", clusterScenario(engine.Fault{Kind: "down", At: 5 * sec, Duration: 5 * sec, Busiest: 2}),
			func(r clusterRun) error {
				return unless(r.Returns == 2 && r.CallersDuringOutage == 1, "canaries of %.1f dispatchers", r.CallersDuringOutage)
			}},
		{"messages take no time", clusterScenario(), func(r clusterRun) error {
			return unless(r.Handoffs > 1000 && r.HandoffP50 >= 0.019 && r.HandoffP99 < 0.2, "hops of %.4f s", r.HandoffP50)
		}},
		{"a lost owner stays owner", killed, func(r clusterRun) error {
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
		{"acknowledged before it is persisted", slow, func(r clusterRun) error {
			return unless(r.ViolationCount["lost"] == 0, "lost")
		}},
		{"a silent owner counts as one that never accepted", lossy, func(r clusterRun) error {
			return unless(r.ViolationCount["twice"] == 0, "twice")
		}},
	} {
		t.Run(c.fault, func(t *testing.T) {
			r := runCluster(t, c.day, unchanged)
			assert.Empty(t, r.ViolationCount, describe(r.Violations))
			assert.NoError(t, c.well(r))
			assert.Error(t, c.well(runCluster(t, c.day, engine.FaultyBehaviors[c.fault])), "not detected")
		})
	}
}

func unless(ok bool, text string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(text, args...)
}
