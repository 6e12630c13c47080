package placement

import (
	"slices"
	"time"

	"rowanlink/serving/routing"
)

// service is what a picker knows of one service.
type service struct {
	name      string           // the target of a roll-out in transit has a service of its own, with the same name
	config    *routing.Service // nil: the configuration doesn't name it
	endpoints []*endpoint      // those of the last snapshot
	regions   []*region        // the endpoints by region, in the order in which regions were first seen

	// majoritySuspect: other members suspect most of its endpoints. The cause is then on the path of the reports, and
	// the suspicion is ignored.
	majoritySuspect bool
	// majorityEjected: so many of its endpoints are ejected that the cause is elsewhere. Backoff is short then, and
	// ejected endpoints get more than probes.
	majorityEjected bool

	// ownersChanged: since the last snapshot, something has changed that determines which endpoints own prefixes.
	ownersChanged bool

	// maxConnections is this process's share of the limit on connections to one endpoint.
	maxConnections int

	responseModel

	pathCosts pathCosts

	// waitingUntil is, for each priority, how long a request of it waits for a slot.
	waitingUntil [priorityLevels]time.Time
}

// region is a service's endpoints in one region.
type region struct {
	name        string
	endpoints   []*endpoint
	subset      []*endpoint // those that this proxy prefers
	owners      ownerCache
	queueDelays [priorityLevels]decayingMean // of all the endpoints together
}

func newService(name string) *service { return &service{name: name, responseModel: newResponseModel()} }

const (
	// unboundedConnections stands for no limit.
	unboundedConnections = 1 << 20
	// assumedProxies is the number of proxies assumed while it is unknown.
	assumedProxies = 16
)

// updateConnectionLimit divides the limit on connections among the proxies.
func (s *service) updateConnectionLimit(proxies int) {
	s.maxConnections = ConnectionShare(s.config, proxies)
}

// ConnectionShare returns how many connections each of so many proxies may have to one endpoint of a service, so that
// all of them, and a few that aren't known yet, stay within the endpoint's limit. Zero proxies stands for an
// unknown number.
func ConnectionShare(config *routing.Service, proxies int) int {
	if config == nil || config.MaxConnections <= 0 {
		return unboundedConnections
	}
	if proxies <= 0 {
		proxies = assumedProxies
	}
	return max(config.MaxConnections/(proxies+uncountedProxies), 1)
}

// hasEngine reports whether the service runs a language model.
func (s *service) hasEngine() bool { return s.config != nil && s.config.Engine != nil }

// cacheTokens returns the capacity of an endpoint's KV cache in tokens; zero without an engine.
func (s *service) cacheTokens() int {
	if !s.hasEngine() {
		return 0
	}
	return s.config.Engine.CacheTokens
}

// warmupRate returns how many requests a second an endpoint accepts while it is warming up; zero: no limit.
func (s *service) warmupRate() float64 {
	if s.config == nil {
		return 0
	}
	return s.config.WarmUpRate
}

// warmupSpan returns how long an endpoint warms up after a start.
func (s *service) warmupSpan() time.Duration {
	if s.config == nil || s.config.WarmUpRate <= 0 {
		return 0
	}
	return s.config.WarmUpDuration
}

// groupByRegion assigns the endpoints to their regions and derives what depends on all of them.
func (s *service) groupByRegion() {
	for _, r := range s.regions {
		r.endpoints = r.endpoints[:0]
	}
	s.pathCosts.tokenLimit = s.cacheTokens() / 2 * max(len(s.endpoints), 1)
	suspects, all := 0, 0
	for _, e := range s.endpoints {
		if !e.excluded {
			all++
		}
		if !e.excluded && (e.info.Unresponsive || e.info.Failing) {
			suspects++
		}
		e.regionGroup = s.ensureRegion(e.region)
		e.regionGroup.endpoints = append(e.regionGroup.endpoints, e)
	}
	s.regions = slices.DeleteFunc(s.regions, func(r *region) bool { return len(r.endpoints) == 0 })
	s.updateMajorityEjected()
	wasSuspect := s.majoritySuspect
	s.majoritySuspect = 2*suspects > all
	if s.ownersChanged || s.majoritySuspect != wasSuspect {
		s.forgetOwners()
	}
}

// ensureRegion returns the region of a name. It adds one that is unknown.
func (s *service) ensureRegion(name string) *region {
	for _, known := range s.regions {
		if known.name == name {
			return known
		}
	}
	added := &region{name: name}
	s.regions = append(s.regions, added)
	return added
}
