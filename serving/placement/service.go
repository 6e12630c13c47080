package placement

import (
	"slices"
	"time"

	"rowanlink/serving/routing"
)

// What is assumed of a language model's endpoints until calls have taught better.
const (
	initialPrefillRate = 30.0 // prompt tokens read a millisecond
	initialBaseLatency = 60 * time.Millisecond
	// initialCallMillis is the assumed length in milliseconds of a call to a service without engine.
	initialCallMillis = 30.0
)

// service is what a placer knows of one service.
type service struct {
	name      string
	config    *routing.Service // nil: no configuration names it
	endpoints []*endpoint      // those of the last view
	regions   []*region        // the same by region, in the order in which they were met

	// majoritySuspect: most of its endpoints are said to be silent, which tells of the heartbeats' way, not of them.
	majoritySuspect bool

	// maxConnections is how many this process may have to one endpoint, with its part of the cap over all proxies.
	maxConnections int

	majorityEjected bool // so many are put aside that none is held long

	prefillRate float64       // prompt tokens read a millisecond
	baseLatency time.Duration // from a send to the first byte beyond reading and the way
	callMillis  float64       // usual length of a call in milliseconds

	uncachedPromptTokens float64 // usual prompt tokens that a call has to read

	pathCosts pathCosts // to other regions, for shared parts that an endpoint there keeps

	waitingUntil [priorityLevels]time.Time // a request of the rank waits for room until then
}

// region is a service's endpoints in one region.
type region struct {
	name        string
	endpoints   []*endpoint
	subset      []*endpoint                  // those of them that this proxy prefers
	queueDelays [priorityLevels]decayingMean // of all its endpoints together
}

func newService(name string) *service {
	return &service{name: name, prefillRate: initialPrefillRate, baseLatency: initialBaseLatency, callMillis: initialCallMillis}
}

// updateConnectionLimit divides the cap on connections among the proxies that may run.
func (s *service) updateConnectionLimit(proxies int) {
	s.maxConnections = ConnectionShare(s.config, proxies)
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
	return max(config.ConnectionCap/(proxies+uncountedProxies), 1)
}

const (
	unboundedConnections = 1 << 20
	assumedProxies       = 16 // until the feed has told
)

// hasEngine tells whether the service runs a language model.
func (s *service) hasEngine() bool { return s.config != nil && s.config.Engine != nil }

func (s *service) cacheTokens() int {
	if !s.hasEngine() {
		return 0
	}
	return s.config.Engine.CacheTokens
}

// warmupRate is the requests a second that a cold endpoint bears; zero: no bound is told.
func (s *service) warmupRate() float64 {
	if s.config == nil {
		return 0
	}
	return s.config.ColdRate
}

func (s *service) warmupSpan() time.Duration {
	if s.config == nil || s.config.ColdRate <= 0 {
		return 0
	}
	return s.config.ColdSpan
}

// groupByRegion sorts the endpoints by region and judges the word on their silence and their failures.
func (s *service) groupByRegion() {
	for _, r := range s.regions {
		r.endpoints = r.endpoints[:0]
	}
	s.pathCosts.tokenLimit = s.cacheTokens() / 2 * max(len(s.endpoints), 1)
	silent, all := 0, 0
	for _, e := range s.endpoints {
		if !e.excluded {
			all++
		}
		if !e.excluded && (e.info.Unresponsive || e.info.Failing) {
			silent++
		}
		e.regionGroup = s.ensureRegion(e.region)
		e.regionGroup.endpoints = append(e.regionGroup.endpoints, e)
	}
	s.regions = slices.DeleteFunc(s.regions, func(r *region) bool { return len(r.endpoints) == 0 })
	s.updateMajorityEjected()
	s.majoritySuspect = 2*silent > all
}

func (s *service) ensureRegion(name string) *region {
	for _, known := range s.regions {
		if known.name == name {
			return known
		}
	}
	made := &region{name: name}
	s.regions = append(s.regions, made)
	return made
}

// learnPrefillRate takes the time to a first byte as a measure of how fast prompts are read.
func (s *service) learnPrefillRate(c *call, took time.Duration) {
	const largePrompt, smallPrompt = 2000, 1000
	if c.tokensAhead > 0 {
		return
	}
	reading := float64(took-s.baseLatency-c.pathLatency) / float64(time.Millisecond)
	if c.uncachedTokens >= largePrompt && reading > 1 {
		seen := min(max(float64(c.uncachedTokens)/reading, s.prefillRate/2), s.prefillRate*2)
		s.prefillRate += 0.05 * (seen - s.prefillRate)
		return
	}
	if c.uncachedTokens < smallPrompt {
		s.learnBaseLatency(took - c.pathLatency - s.prefillTime(c.uncachedTokens))
	}
}

// learnBaseLatency follows the low end of what is seen: more than that is waiting.
func (s *service) learnBaseLatency(seen time.Duration) {
	const down, up = 0.2, 0.01
	weight := up
	if seen < s.baseLatency {
		weight = down
	}
	s.baseLatency = max(s.baseLatency+time.Duration(weight*float64(seen-s.baseLatency)), 0)
}

// prefillTime is the time in which an endpoint reads prompt tokens.
func (s *service) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.prefillRate * float64(time.Millisecond))
}
