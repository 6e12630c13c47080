package placement

import (
	"math"
	"slices"
)

// In large regions, short prompts and long ones go to different endpoints (size interval task assignment): an engine
// reads prompts in chunks between the decode steps of all its streams, so that a few long prompts in a row make streams
// pause for longer than their clients expect, and the first bytes of short prompts late. How many endpoints are for short
// prompts follows from the share of the prefill work that they are, as each proxy measures it by route. Routes are
// attributed to their home regions, so that all proxies find about the same share for a region. Shares are counted in
// steps, so that most find the same.

const (
	// partitionSteps is the number of steps in which the share of a partition is counted.
	partitionSteps = 16
	// maxShortSteps bounds the share for short prompts.
	maxShortSteps = partitionSteps / 2
	// workSmoothing is the least weight of a new request in the measured work. The first ones weigh the same.
	workSmoothing = 1.0 / 256
	// minMeasuredRequests is how many requests have to be measured before regions are partitioned.
	minMeasuredRequests = 16
)

// partition identifies the endpoints of a region for one class of prompts. The zero value is all of them.
type partition struct {
	shortSteps uint8 // share of the endpoints for short prompts; zero: the region is not partitioned
	short      bool  // those for short prompts, otherwise for the others
}

// contains reports whether an endpoint is in the partition.
func (c partition) contains(e *endpoint) bool {
	if c.shortSteps == 0 {
		return true
	}
	step := uint8(mixHashes(fnvOffset, e.hash) % partitionSteps)
	return (step < c.shortSteps) == c.short
}

// routeWork is the prefill work of a route's requests, as a smoothed number of tokens for each request of the service.
type routeWork struct {
	homes       []string
	short, long float64
}

// promptWork measures the prefill work of a service by route.
type promptWork struct {
	routes   map[string]*routeWork
	requests int
}

// record adds a request.
func (w *promptWork) record(s *candidateSearch, tokens int) {
	if w.routes == nil {
		w.routes = map[string]*routeWork{}
	}
	w.requests++
	weight := max(workSmoothing, 1/float64(w.requests))
	for _, known := range w.routes {
		known.short -= weight * known.short
		known.long -= weight * known.long
	}
	route := s.request.Route
	known := w.routes[route.Name]
	if known == nil {
		known = &routeWork{}
		w.routes[route.Name] = known
	}
	known.homes = route.HomeRegions
	if s.shortPrompt {
		known.short += weight * float64(tokens)
	} else {
		known.long += weight * float64(tokens)
	}
}

// shortSteps returns the share of a region's endpoints that is for short prompts.
func (w *promptWork) shortSteps(region string, regions int) uint8 {
	if w.requests < minMeasuredRequests {
		return 0
	}
	short, long := 0.0, 0.0
	for _, known := range w.routes {
		share := 1 / float64(max(regions, 1))
		if len(known.homes) > 0 {
			share = 0
			if slices.Contains(known.homes, region) {
				share = 1 / float64(len(known.homes))
			}
		}
		short += share * known.short
		long += share * known.long
	}
	if short == 0 || long == 0 {
		return 0
	}
	steps := math.Ceil(partitionSteps * short / (short + long))
	return uint8(min(steps, maxShortSteps))
}

// partitionOf returns the endpoints of a region that a request is for. Regions of which all endpoints are compared
// aren't partitioned.
func (s *candidateSearch) partitionOf(r *region) partition {
	if !s.service.hasEngine() || len(r.endpoints) <= maxFullScan {
		return partition{}
	}
	steps := s.service.work.shortSteps(r.name, len(s.service.regions))
	return partition{shortSteps: steps, short: steps > 0 && s.shortPrompt}
}
