package experiment

import (
	"slices"

	"rowanlink/sim/engine"
)

// shrinkStep makes a scenario smaller in place. It returns false if that isn't possible.
type shrinkStep func(*engine.Scenario) bool

// smallerScenarios returns the scenarios that are smaller than one by a single step.
func smallerScenarios(s *engine.Scenario) []*engine.Scenario {
	var steps []shrinkStep
	for i := range s.Faults {
		steps = append(steps, faultSteps(i)...)
	}
	steps = append(steps, shortenScenario, reduceRate, reduceDispatchers, reduceIdleDestinations,
		reduceActiveDestinations, removeTenants)
	var smaller []*engine.Scenario
	for _, step := range steps {
		c := cloneScenario(s)
		if step(c) {
			smaller = append(smaller, c)
		}
	}
	return smaller
}

// cloneScenario copies what shrink steps change.
func cloneScenario(s *engine.Scenario) *engine.Scenario {
	c := *s
	c.Faults = slices.Clone(s.Faults)
	for i := range c.Faults {
		c.Faults[i].Dispatchers = slices.Clone(c.Faults[i].Dispatchers)
	}
	return &c
}

// faultSteps remove a fault, shorten it, or let it hit fewer destinations or dispatchers.
func faultSteps(i int) []shrinkStep {
	remove := func(s *engine.Scenario) bool {
		s.Faults = slices.Delete(s.Faults, i, i+1)
		return true
	}
	shorten := func(s *engine.Scenario) bool {
		s.Faults[i].Duration = s.Faults[i].Duration / 2 / durationStep * durationStep
		return s.Faults[i].Duration > 0
	}
	halveBusiest := func(s *engine.Scenario) bool {
		s.Faults[i].Busiest /= 2
		return s.Faults[i].Busiest > 0
	}
	halveDispatchers := func(s *engine.Scenario) bool {
		f := &s.Faults[i]
		f.Dispatchers = f.Dispatchers[:len(f.Dispatchers)/2]
		return len(f.Dispatchers) > 0
	}
	return []shrinkStep{remove, shorten, halveBusiest, halveDispatchers}
}

func shortenScenario(s *engine.Scenario) bool {
	before := s.Duration
	lastFaultEnd := engine.Duration(0)
	for _, f := range s.Faults {
		lastFaultEnd = max(lastFaultEnd, f.At+f.Duration)
	}
	s.Duration = max(s.Duration*3/4, lastFaultEnd) / durationStep * durationStep
	return s.Duration < before
}

func reduceRate(s *engine.Scenario) bool {
	s.Clients.Rate = roundToHundredth(s.Clients.Rate * 0.7)
	return s.Clients.Rate >= 1
}

func reduceDispatchers(s *engine.Scenario) bool {
	before := s.Dispatchers.Count
	s.Dispatchers.Count = before * 2 / 3
	s.Clients.Rate = roundToHundredth(s.Clients.Rate * float64(s.Dispatchers.Count) / float64(before))
	for i := range s.Faults {
		f := &s.Faults[i]
		hadDispatchers := len(f.Dispatchers) > 0
		f.Dispatchers = slices.DeleteFunc(f.Dispatchers, func(d int) bool { return d >= s.Dispatchers.Count })
		if hadDispatchers && len(f.Dispatchers) == 0 {
			return false
		}
	}
	return s.Dispatchers.Count > 0
}

// reduceIdleDestinations keeps the active ones: fewer of them would have more traffic each.
func reduceIdleDestinations(s *engine.Scenario) bool {
	before := s.Destinations.Count
	s.Destinations.Count = max(before*2/3, s.Destinations.Active)
	return s.Destinations.Count < before
}

func reduceActiveDestinations(s *engine.Scenario) bool {
	s.Destinations.Active = s.Destinations.Active * 2 / 3
	s.Clients.Rate = roundToHundredth(s.Clients.Rate * 2 / 3)
	return s.Destinations.Active > 0 && s.Clients.Rate >= 1
}

func removeTenants(s *engine.Scenario) bool {
	hadTenants := len(s.Tenants) > 0
	s.Tenants = nil
	return hadTenants
}
