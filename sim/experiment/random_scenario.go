package experiment

import (
	"math/rand/v2"

	"rowanlink/sim/engine"
)

// randomScenario varies the load and the number of dispatchers of a scenario, and gives it one to three random faults.
func randomScenario(base *engine.Scenario, random *rand.Rand) *engine.Scenario {
	s := *base
	s.Seed = 1 + random.Uint64N(1<<31)
	s.Faults = nil
	s.Dispatchers.Count = max(int(float64(base.Dispatchers.Count)*(0.5+random.Float64())), 1)
	perDispatcher := base.Clients.Rate / float64(base.Dispatchers.Count) // never more: an overload is no fault
	s.Clients.Rate = roundToHundredth(perDispatcher * float64(s.Dispatchers.Count) * (0.5 + random.Float64()/2))
	kinds := engine.FaultKinds()
	for range 1 + random.IntN(3) {
		s.Faults = append(s.Faults, randomFault(&s, kinds[random.IntN(len(kinds))], random))
	}
	return &s
}

// randomFault makes a fault of a kind. The order in which it draws random numbers is part of what a seed means.
func randomFault(s *engine.Scenario, kind string, random *rand.Rand) engine.Fault {
	length := float64(s.Duration)
	fault := engine.Fault{
		Kind:     kind,
		At:       roundDuration(length * (0.1 + 0.5*random.Float64())),
		Duration: roundDuration(length * (0.05 + 0.3*random.Float64())),
	}
	needs := engine.NeedsOf(kind)
	setRandomTimes(&fault, length, random)
	if needs.Endpoints {
		setRandomDestinations(&fault, s, random)
	}
	if needs.Dispatchers {
		setRandomDispatchers(&fault, s, random)
	}
	switch {
	case needs.Share:
		fault.Magnitude = roundToHundredth(0.1 + 0.9*random.Float64())
	case needs.Magnitude:
		fault.Magnitude = roundToHundredth(1.5 + 3*random.Float64())
	}
	fault.Unresponsive = kind == engine.FaultDown && random.IntN(2) == 0
	return fault
}

func setRandomTimes(fault *engine.Fault, length float64, random *rand.Rand) {
	switch fault.Kind {
	case engine.FaultReplace:
		fault.Address = []string{"new", "same"}[random.IntN(2)]
		fault.DrainTime = roundDuration(length * (0.02 + 0.1*random.Float64()))
	case engine.FaultRestart:
		fault.DrainTime = roundDuration(length * (0.02 + 0.1*random.Float64()))
	case engine.FaultFlap:
		fault.Period = roundDuration(length * (0.02 + 0.1*random.Float64()))
	}
}

func setRandomDestinations(fault *engine.Fault, s *engine.Scenario, random *rand.Rand) {
	fault.Busiest = 1 + random.IntN(min(5, s.Destinations.Active))
	if random.IntN(2) == 0 {
		fault.Busiest = 0
		fault.Destinations = []int{random.IntN(s.Destinations.Active)}
	}
	fault.SingleEndpoint = random.IntN(3) == 0
}

func setRandomDispatchers(fault *engine.Fault, s *engine.Scenario, random *rand.Rand) {
	length := float64(s.Duration)
	for i := range s.Dispatchers.Count {
		if random.IntN(2) == 0 || i == 0 {
			fault.Dispatchers = append(fault.Dispatchers, i)
		}
	}
	switch fault.Kind {
	case engine.FaultKill:
		fault.KeepsState = random.IntN(3) > 0
		fault.DuringIteration = random.IntN(2) == 0
		fault.StartupListAge = roundDuration(length * 0.1 * random.Float64())
	case engine.FaultRestart:
		fault.StartupListAge = roundDuration(length * 0.1 * random.Float64())
	case engine.FaultLateUpdates:
		fault.UpdateDelay = roundDuration(length * 0.2 * random.Float64())
	}
}

// durationStep is the resolution of random durations: a tenth of a second, which is short to read.
const durationStep = engine.Duration(100_000)

func roundDuration(micros float64) engine.Duration {
	return engine.Duration(max(micros/float64(durationStep), 1)) * durationStep
}

func roundToHundredth(x float64) float64 { return float64(int(x*100)) / 100 }
