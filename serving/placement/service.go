package placement

import (
	"slices"
	"time"

	"rowanlink/serving/routing"
)

// What is assumed of a language model's endpoints until calls have taught better.
const (
	startRate = 30.0 // prompt tokens read a millisecond
	startBase = 60 * time.Millisecond
	// startTook is the assumed length in milliseconds of a call to a service without engine.
	startTook = 30.0
)

// service is what a placer knows of one service.
type service struct {
	name      string
	config    *routing.Service // nil: no configuration names it
	endpoints []*endpoint      // those of the last view
	regions   []*region        // the same by region, in the order in which they were met

	// mostSilent: most of its endpoints are said to be silent, which tells of the heartbeats' way, not of them.
	mostSilent bool

	// connections is how many this process may have to one endpoint, with its part of the cap over all proxies.
	connections int

	crowdEjected bool // so many are put aside that none is held long

	rate float64       // prompt tokens read a millisecond
	base time.Duration // from a send to the first byte beyond reading and the way
	took float64       // usual length of a call in milliseconds

	prompt float64 // usual prompt tokens that a call has to read

	ways ways // to other regions, for shared parts that an endpoint there keeps

	urgentUntil [ranks]time.Time // a request of the rank waits for room until then
}

// region is a service's endpoints in one region.
type region struct {
	name      string
	endpoints []*endpoint
	subset    []*endpoint  // those of them that this proxy prefers
	delays    [ranks]decay // of all its endpoints together
}

func newService(name string) *service {
	return &service{name: name, rate: startRate, base: startBase, took: startTook}
}

// shareConnections divides the cap on connections among the proxies that may run.
func (s *service) shareConnections(proxies int) {
	s.connections = ConnectionShare(s.config, proxies)
}

// ConnectionShare is how many connections one of so many proxies may have to an endpoint of the service, so that all
// of them, and a few that nobody has heard of, stay under its cap. Zero proxies stands for an unknown number.
func ConnectionShare(config *routing.Service, proxies int) int {
	if config == nil || config.ConnectionCap <= 0 {
		return unboundedConnections
	}
	if proxies <= 0 {
		proxies = assumedProxies
	}
	return max(config.ConnectionCap/(proxies+uncounted), 1)
}

const (
	unboundedConnections = 1 << 20
	assumedProxies       = 16 // until the feed has told
)

// engine tells whether the service runs a language model.
func (s *service) engine() bool { return s.config != nil && s.config.Engine != nil }

func (s *service) cacheTokens() int {
	if !s.engine() {
		return 0
	}
	return s.config.Engine.CacheTokens
}

// coldRate is the requests a second that a cold endpoint bears; zero: no bound is told.
func (s *service) coldRate() float64 {
	if s.config == nil {
		return 0
	}
	return s.config.ColdRate
}

func (s *service) coldSpan() time.Duration {
	if s.config == nil || s.config.ColdRate <= 0 {
		return 0
	}
	return s.config.ColdSpan
}

// group sorts the endpoints by region and judges the word on their silence and their failures.
func (s *service) group() {
	for _, r := range s.regions {
		r.endpoints = r.endpoints[:0]
	}
	s.ways.limit = s.cacheTokens() / 2 * max(len(s.endpoints), 1)
	silent, all := 0, 0
	for _, e := range s.endpoints {
		if !e.closed {
			all++
		}
		if !e.closed && (e.info.Unresponsive || e.info.Failing) {
			silent++
		}
		e.group = s.region(e.region)
		e.group.endpoints = append(e.group.endpoints, e)
	}
	s.regions = slices.DeleteFunc(s.regions, func(r *region) bool { return len(r.endpoints) == 0 })
	s.countEjected()
	s.mostSilent = 2*silent > all
}

func (s *service) region(name string) *region {
	for _, known := range s.regions {
		if known.name == name {
			return known
		}
	}
	made := &region{name: name}
	s.regions = append(s.regions, made)
	return made
}

// learn takes the time to a first byte as a measure of how fast prompts are read.
func (s *service) learn(c *call, took time.Duration) {
	const largePrompt, smallPrompt = 2000, 1000
	if c.queueAhead > 0 {
		return
	}
	reading := float64(took-s.base-c.way) / float64(time.Millisecond)
	if c.uncached >= largePrompt && reading > 1 {
		seen := min(max(float64(c.uncached)/reading, s.rate/2), s.rate*2)
		s.rate += 0.05 * (seen - s.rate)
		return
	}
	if c.uncached < smallPrompt {
		s.learnBase(took - c.way - s.reading(c.uncached))
	}
}

// learnBase follows the low end of what is seen: more than that is waiting.
func (s *service) learnBase(seen time.Duration) {
	const down, up = 0.2, 0.01
	weight := up
	if seen < s.base {
		weight = down
	}
	s.base = max(s.base+time.Duration(weight*float64(seen-s.base)), 0)
}

// reading is the time in which an endpoint reads prompt tokens.
func (s *service) reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.rate * float64(time.Millisecond))
}
