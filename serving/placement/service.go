package placement

import (
	"slices"
	"time"

	"rowanlink/serving/routing"
)

// service is a picker's state of one service: its endpoints and the estimates that they share.
type service struct {
	name      string           // not unique: the target of a roll-out in progress has a service of its own with this name
	config    *routing.Service // nil: the configuration doesn't name it
	endpoints []*endpoint      // those of the last snapshot
	regions   []*region        // the endpoints by region, in the order in which regions were first seen

	// majoritySuspect: other members suspect most of the endpoints. Then it is more likely that heartbeats or reports
	// were lost than that the endpoints are down, and the suspicions are ignored.
	majoritySuspect bool
	// majorityEjected: so many endpoints are ejected that the cause must lie outside of them. Then backoff is short, and
	// ejected endpoints get normal traffic instead of one probe at a time.
	majorityEjected bool

	// ownersChanged: the cached prefix owners are invalid, because a snapshot has changed something that determines them.
	ownersChanged bool

	// maxConnections is this process's share of the limit on connections to one endpoint.
	maxConnections int

	responseModel
	workModel

	pathCosts pathCosts

	queue waitQueue // of requests that wait for a slot
}

// region holds a service's endpoints in one region.
type region struct {
	name        string
	endpoints   []*endpoint
	subset      []*endpoint // this proxy's subset, see selectSubsets
	owners      ownerCache
	queueDelays [priorityLevels]decayingMean // over all the endpoints, by priority
}

func newService(name string) *service { return &service{name: name, responseModel: newResponseModel()} }

const (
	// unboundedConnections is the limit of a service that is configured without one.
	unboundedConnections = 1 << 20
	// assumedProxies is the number of proxies assumed while it is unknown.
	assumedProxies = 16
)

// updateConnectionLimit divides the limit on connections among the proxies.
func (s *service) updateConnectionLimit(proxies int) {
	s.maxConnections = ConnectionShare(s.config, proxies)
}

// ConnectionShare returns how many connections each proxy may have to one endpoint of a service, so that all proxies
// together, and uncountedProxies more, stay within the endpoint's limit. Zero proxies means that the number is unknown.
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

// groupByRegion assigns the endpoints to their regions and updates the state that is derived from all endpoints: the
// limit of pathCosts, majorityEjected, majoritySuspect and the caches of prefix owners.
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

// ensureRegion returns the region with the name, and adds it if it is unknown.
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
