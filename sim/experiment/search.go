package experiment

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"

	"rowanlink/sim/engine"
)

// Search searches round a scenario for the run that breaks a rule, or else loses most, and makes it small.
type Search struct {
	NewPolicy engine.PolicyFactory
	Runs      int // at most, for the search; as many again for the shrinking
	Seed      uint64
	OnRun     func()
}

// WorstCase is the worst run of a hunt, as a scenario that plays it again.
type WorstCase struct {
	Scenario    *engine.Scenario
	Invariant   string // that it breaks, or none
	Loss        float64
	Runs        int // runs in all
	ShrinkSteps int // steps of shrinking that held
}

// keptLoss is the part of a found loss that a smaller scenario must still show.
const keptLoss = 0.9

// FindWorst hunts. The same scenario, seed and module give the same find.
func (h *Search) FindWorst(base *engine.Scenario) *WorstCase {
	chance := rand.New(rand.NewPCG(h.Seed, 0))
	tries := make([]*engine.Scenario, h.Runs)
	for i := range tries {
		tries[i] = randomScenario(base, chance)
	}
	results := make([]*Result, len(tries))
	Parallel(runtime.GOMAXPROCS(0), len(tries), func(i int) {
		results[i] = RunWith(tries[i], h.NewPolicy, false)
		h.OnRun()
	})
	worst := 0
	for i, r := range results {
		if isWorse(r, results[worst]) {
			worst = i
		}
	}
	f := &WorstCase{Scenario: tries[worst], Loss: 1 - results[worst].Value, Runs: h.Runs}
	if rules := violatedInvariants(results[worst]); len(rules) > 0 {
		f.Invariant = rules[0]
	}
	h.shrink(f)
	f.Scenario.Name = base.Name + "-found"
	f.Scenario.About = fmt.Sprintf(
		"Found by hunt in %d runs: loss %.3f, rule broken: %q.",
		f.Runs,
		f.Loss,
		f.Invariant,
	)
	return f
}

// isWorse ranks broken rules before losses.
func isWorse(a, b *Result) bool {
	if a.Violated() != b.Violated() {
		return a.Violated()
	}
	return a.Value < b.Value
}

// randomScenario draws one to three troubles, their sizes and timings, and a load.
func randomScenario(base *engine.Scenario, chance *rand.Rand) *engine.Scenario {
	s := *base
	s.Seed = 1 + chance.Uint64N(1<<31)
	s.Faults = nil
	s.Dispatchers.Count = max(int(float64(base.Dispatchers.Count)*(0.5+chance.Float64())), 1)
	each := base.Clients.Rate / float64(base.Dispatchers.Count) // an overload is no find
	s.Clients.Rate = roundToHundredth(each * float64(s.Dispatchers.Count) * (0.5 + chance.Float64()/2))
	kinds := engine.FaultKinds()
	for range 1 + chance.IntN(3) {
		s.Faults = append(s.Faults, randomFault(&s, kinds[chance.IntN(len(kinds))], chance))
	}
	return &s
}

func randomFault(s *engine.Scenario, kind string, chance *rand.Rand) engine.Fault {
	length := float64(s.Duration)
	t := engine.Fault{Kind: kind, At: roundDuration(length * (0.1 + 0.5*chance.Float64())),
		Duration: roundDuration(length * (0.05 + 0.3*chance.Float64()))}
	n := engine.NeedsOf(kind)
	switch kind {
	case "replace":
		t.Address = []string{"new", "same"}[chance.IntN(2)]
		fallthrough
	case "restart":
		t.DrainTime = roundDuration(length * (0.02 + 0.1*chance.Float64()))
	case "flap":
		t.Period = roundDuration(length * (0.02 + 0.1*chance.Float64()))
	}
	if n.Endpoints {
		if t.Busiest = 1 + chance.IntN(min(5, s.Destinations.Active)); chance.IntN(2) == 0 {
			t.Busiest, t.Destinations = 0, []int{chance.IntN(s.Destinations.Active)}
		}
		t.SingleEndpoint = chance.IntN(3) == 0
	}
	if n.Dispatchers {
		for i := range s.Dispatchers.Count {
			if chance.IntN(2) == 0 || i == 0 {
				t.Dispatchers = append(t.Dispatchers, i)
			}
		}
		switch kind {
		case "kill":
			t.KeepsState, t.DuringIteration = chance.IntN(3) > 0, chance.IntN(2) == 0
			fallthrough
		case "restart":
			t.StartupListAge = roundDuration(length * 0.1 * chance.Float64())
		case "list_late":
			t.UpdateDelay = roundDuration(length * 0.2 * chance.Float64())
		}
	}
	if n.Share {
		t.Magnitude = roundToHundredth(0.1 + 0.9*chance.Float64())
	} else if n.Magnitude {
		t.Magnitude = roundToHundredth(1.5 + 3*chance.Float64())
	}
	t.Unresponsive = kind == "down" && chance.IntN(2) == 0
	return t
}

// roundDuration keeps drawn times short to read: whole tenths of a second.
func roundDuration(us float64) engine.Duration { return engine.Duration(max(us/1e5, 1)) * 100_000 }

func roundToHundredth(x float64) float64 { return float64(int(x*100)) / 100 }

// shrink takes away whatever the find does not need: troubles, their length and breadth, time, load,
// machines.
func (h *Search) shrink(f *WorstCase) {
	left := h.Runs
	for again := true; again; {
		again = false
		for _, smaller := range smallerScenarios(f.Scenario) {
			if left--; left < 0 {
				return
			}
			if smaller.ApplyDefaults(); smaller.Validate() != nil {
				continue
			}
			r := RunWith(smaller, h.NewPolicy, false)
			f.Runs++
			h.OnRun()
			holds := f.Invariant == "" && !r.Violated() && 1-r.Value >= keptLoss*f.Loss ||
				f.Invariant != "" && r.Violations[f.Invariant] > 0
			if holds {
				f.Scenario, f.ShrinkSteps, again = smaller, f.ShrinkSteps+1, true
				if f.Invariant == "" {
					f.Loss = max(f.Loss, 1-r.Value)
				} else {
					f.Loss = 1 - r.Value
				}
				break
			}
		}
	}
}

// smallerScenarios are the ways in which a scenario may get smaller by one step.
func smallerScenarios(s *engine.Scenario) (all []*engine.Scenario) {
	with := func(change func(*engine.Scenario) bool) {
		c := *s
		c.Faults = slices.Clone(s.Faults)
		for i := range c.Faults {
			c.Faults[i].Dispatchers = slices.Clone(c.Faults[i].Dispatchers)
		}
		if change(&c) {
			all = append(all, &c)
		}
	}
	for i := range s.Faults {
		with(func(c *engine.Scenario) bool {
			c.Faults = slices.Delete(c.Faults, i, i+1)
			return true
		})
		with(func(c *engine.Scenario) bool {
			t := &c.Faults[i]
			t.Duration = t.Duration / 2 / 100_000 * 100_000
			return t.Duration > 0
		})
		with(func(c *engine.Scenario) bool {
			t := &c.Faults[i]
			t.Busiest /= 2
			return t.Busiest > 0
		})
		with(func(c *engine.Scenario) bool {
			t := &c.Faults[i]
			t.Dispatchers = t.Dispatchers[:len(t.Dispatchers)/2]
			return len(t.Dispatchers) > 0
		})
	}
	with(func(c *engine.Scenario) bool {
		last := engine.Duration(0)
		for _, t := range c.Faults {
			last = max(last, t.At+t.Duration)
		}
		c.Duration = max(c.Duration*3/4, last) / 100_000 * 100_000
		return c.Duration < s.Duration
	})
	with(func(c *engine.Scenario) bool {
		c.Clients.Rate = roundToHundredth(c.Clients.Rate * 0.7)
		return c.Clients.Rate >= 1
	})
	with(func(c *engine.Scenario) bool {
		c.Dispatchers.Count = c.Dispatchers.Count * 2 / 3
		c.Clients.Rate = roundToHundredth(c.Clients.Rate * float64(c.Dispatchers.Count) / float64(s.Dispatchers.Count))
		for i := range c.Faults {
			t := &c.Faults[i]
			before := len(t.Dispatchers)
			t.Dispatchers = slices.DeleteFunc(t.Dispatchers, func(d int) bool { return d >= c.Dispatchers.Count })
			if before > 0 && len(t.Dispatchers) == 0 {
				return false
			}
		}
		return c.Dispatchers.Count > 0
	})
	with(func(c *engine.Scenario) bool { // the idle ones; fewer busy ones are busier
		c.Destinations.Count = max(c.Destinations.Count*2/3, c.Destinations.Active)
		return c.Destinations.Count < s.Destinations.Count
	})
	with(func(c *engine.Scenario) bool {
		c.Destinations.Active = c.Destinations.Active * 2 / 3
		c.Clients.Rate = roundToHundredth(c.Clients.Rate * 2 / 3)
		return c.Destinations.Active > 0 && c.Clients.Rate >= 1
	})
	with(func(c *engine.Scenario) bool {
		c.Tenants = nil
		return len(s.Tenants) > 0
	})
	return all
}
