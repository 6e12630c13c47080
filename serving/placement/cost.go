package placement

import "time"

// Ways there and back, and what a choice weighs beside the time to the first byte.
const (
	wayZone       = 1 * time.Millisecond   // within a zone, with connection handling
	wayZones      = 3 * time.Millisecond   // between zones of a region, until it has been measured
	wayRegions    = 75 * time.Millisecond  // between regions, the same
	farBias       = 100 * time.Millisecond // what another region must be better by, beyond the way
	crowdCost     = 40 * time.Millisecond  // of a full endpoint's slower steps
	memoryFrom    = 0.7                    // share of the memory from which it is feared to run out
	memoryCost    = 500 * time.Millisecond
	silentCost    = 5 * time.Second        // an endpoint said to be silent is the last choice
	probeCost     = 3 * time.Second        // a request that can't be repeated is no probe, if there is another way
	failCost      = 600 * time.Millisecond // of an endpoint at which all calls fail
	slowStartCost = 100 * time.Millisecond // of one that is cold
	overdueWeight = 2
	readWeight    = 2                       // of the time to read shared parts anew: it is priced and taken from other requests
	loadFresh     = 1500 * time.Millisecond // how long a report on load is of use
	jitterMost    = time.Millisecond        // spreads what is equal
)

// estimate is what a request is expected to meet at an endpoint.
type estimate struct {
	endpoint   *endpoint
	first      time.Duration // until the first byte
	waiting    time.Duration // the part of first that isn't the request's own
	computed   time.Duration // first without the waiting that was seen of late
	cost       time.Duration // what the choice compares
	uncached   int           // prompt tokens to be read
	queueAhead int           // own prompt tokens unread before it
	way        time.Duration
}

// way is the time there and back.
func (p *Placer) way(e *endpoint) time.Duration {
	switch {
	case e.zone.roundTrip > 0:
		return e.zone.roundTrip + wayZone
	case e.info.Zone == p.options.Zone:
		return wayZone
	case e.region == p.options.Region:
		return wayZones
	default:
		return wayRegions
	}
}

// farWay is the time to the farthest other region and back.
func (p *Placer) farWay() time.Duration {
	longest := time.Duration(0)
	for name, known := range p.zones {
		if p.options.Regions[name] != p.options.Region {
			longest = max(longest, known.roundTrip)
		}
	}
	if longest == 0 {
		return wayRegions
	}
	return longest + wayZone
}

// SetRoundTrips takes in how long the ways to zones and back were measured to be, by zone.
func (p *Placer) SetRoundTrips(measured map[string]time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for name, roundTrip := range measured {
		p.zone(name).roundTrip = roundTrip
	}
}

// weigh estimates a request's time at an endpoint and its cost. owner tells whether the endpoint is the one at which
// all proxies assume the shared parts of the prompt to be kept.
func (p *Placer) weigh(s *search, e *endpoint, owner bool) estimate {
	found := estimate{endpoint: e, way: p.way(e)}
	if e.service.engine() {
		p.weighPrompt(s, &found, owner)
	} else {
		p.weighCall(s, &found)
	}
	found.cost += found.first + time.Duration(p.random.Float()*float64(jitterMost))
	if e.region != p.options.Region && s.homely {
		found.cost += farBias
	}
	if e.service.engine() && !e.inSubset {
		found.cost += strangerCost
	}
	found.cost += p.suspicion(s, e)
	return found
}

// suspicion is the cost of what makes an endpoint doubtful.
func (p *Placer) suspicion(s *search, e *endpoint) (cost time.Duration) {
	overdue := e.overdue(s.now)
	if overdue > 0 {
		e.zone.silent(s.now, e)
	}
	if e.doubtful() || e.zone.doubtful(s.now) {
		cost += silentCost
	}
	if e.health.ejected() && !s.request.Route.Idempotent() && !e.service.crowdEjected {
		cost += probeCost
	}
	if p.isCold(s.now, e) {
		cost += slowStartCost
	}
	cost += time.Duration(e.health.failing * float64(failCost))
	return cost + overdueWeight*overdue
}

// weighPrompt is the model of an engine that reads prompts one after the other in pieces between the steps.
func (p *Placer) weighPrompt(s *search, found *estimate, owner bool) {
	e, service := found.endpoint, found.endpoint.service
	cached := e.prefixes.cached(&p.chain)
	if owner && (s.keeper == nil || s.keeper.name == e.region) {
		cached = max(cached, s.sharedTokens)
	}
	found.uncached = max(s.promptTokens-cached, 1)
	found.queueAhead = e.unreadBefore(s.rank)
	own := found.way + service.base + service.reading(found.uncached)
	found.computed = own + service.reading(found.queueAhead)
	found.waiting = max(service.reading(found.queueAhead)+e.delay(s.now, s.rank), p.reported(s.now, e))
	found.first = own + found.waiting

	sharedUncached := max(s.sharedTokens-cached, 0)
	found.cost += readWeight * service.reading(sharedUncached)
	filled := float64(e.inFlight*p.near) / e.slots()
	found.cost += time.Duration(min(filled, 1) * float64(crowdCost))
	if memory := p.memory(e); memory > memoryFrom {
		found.cost += time.Duration((memory - memoryFrom) / (1 - memoryFrom) * float64(memoryCost))
	}
}

// reported is the waiting that the endpoint's last report and own calls since then make.
func (p *Placer) reported(now time.Time, e *endpoint) time.Duration {
	if e.loadAt.IsZero() || now.Sub(e.loadAt) > loadFresh {
		return 0
	}
	queued := e.service.reading(int(float64(e.load.Queued) * e.service.prompt))
	return max(queued-now.Sub(e.loadAt), 0) + e.service.reading(e.loadSent)
}

// memory is the share of the endpoint's memory that is believed to be taken and can't give way.
func (p *Placer) memory(e *endpoint) float64 {
	total := float64(e.service.cacheTokens())
	if e.load.CacheTotal > 0 {
		total = float64(e.load.CacheTotal)
	}
	if total == 0 {
		return 0
	}
	return max(float64(e.tokens*p.near), float64(e.load.CacheUsed)) / total
}

// weighCall is the model of a plain service: calls take their usual time, and queue where slots are short.
func (p *Placer) weighCall(s *search, found *estimate) {
	e := found.endpoint
	took := e.took
	if took == 0 {
		took = e.service.took
	}
	usual := time.Duration(took * float64(time.Millisecond))
	busy := float64(e.inFlight * p.near)
	queued := max(busy+1-e.slots(), 0) / e.slots()
	found.computed = found.way + usual + time.Duration(queued*float64(usual))
	found.waiting = found.computed - found.way - usual + e.delay(s.now, s.rank)
	found.first = found.way + usual + found.waiting
	found.cost = time.Duration(min(busy/e.slots(), 1) * float64(usual))
}
