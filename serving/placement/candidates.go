package placement

import (
	"math"
	"slices"
	"time"
)

// Limits of the search.
const (
	// scanMost is how many endpoints of a region are all weighed; of more, sampleSize are drawn beside the owner.
	scanMost   = 24
	sampleSize = 6
	// ownersMost is how many endpoints in rendezvous order may stand in for the owner of a prefix.
	ownersMost = 3
	// An owner takes a request while it has no more than loadFactor times the mean of its region in flight, and
	// loadSlack more.
	loadFactor = 2
	loadSlack  = 4
	// keepWeight is by how much the time to read shared parts counts against the way to another region.
	keepWeight = 1 + readWeight
	// nearEnough is the share of the objective within which the own region isn't compared with others.
	nearEnough = 0.25
)

// searchRegions weighs the own region first, and others where it has nothing or is slow.
func (p *Placer) searchRegions(s *search) {
	p.findKeeper(s)
	for _, r := range s.service.regions {
		if r.name == p.options.Region && s.homely {
			p.searchRegion(s, r)
		}
	}
	enough := time.Duration(nearEnough * float64(s.request.Route.Target))
	kept := s.keeper == nil || s.keeper.name == p.options.Region
	if kept && s.best.endpoint != nil && s.best.cost-s.best.first < enough && s.best.waiting < enough {
		return
	}
	for _, r := range s.service.regions {
		if r.name != p.options.Region && s.allows(r.name) {
			p.searchRegion(s, r)
		}
	}
}

// findKeeper finds the region whose owner keeps the shared parts of a prompt, where reading them anew in each region
// takes longer than going there: that of the first endpoint in rendezvous order over all regions, which all proxies
// find alike. Once the ways there have cost as much as reading the parts in the own region would, it is the own one's.
func (p *Placer) findKeeper(s *search) {
	reading := s.service.reading(s.sharedTokens)
	if len(s.service.regions) < 2 || keepWeight*reading < p.farWay()+farBias {
		return
	}
	ownOwner := false
	var highest uint64
	for _, r := range s.service.regions {
		if !s.allows(r.name) {
			continue
		}
		owners, _ := s.rankOwners(p.chain.sharedHash(), r, false)
		if e := owners[0]; e != nil {
			ownOwner = ownOwner || r.name == p.options.Region
			if rank := mix(p.chain.sharedHash(), e.hash); rank >= highest {
				s.keeper, highest = r, rank
			}
		}
	}
	s.atHome = ownOwner && s.service.ways.spent(p.chain.sharedHash()) >= reading
	if s.atHome {
		s.keeper = nil
	}
}

// searchRegion weighs the endpoints of a region.
func (p *Placer) searchRegion(s *search, r *region) {
	owner := p.owner(s, r)
	if len(r.endpoints) <= scanMost {
		for _, e := range r.endpoints {
			p.consider(s, e, e == owner)
		}
		return
	}
	if owner != nil {
		p.consider(s, owner, true)
	}
	for _, e := range r.subset {
		if e != owner {
			p.consider(s, e, false)
		}
	}
	for range sampleSize {
		e := r.endpoints[int(p.random.Float()*float64(len(r.endpoints)))]
		p.consider(s, e, e == owner)
	}
	if s.best.endpoint != nil {
		return
	}
	for _, e := range r.endpoints {
		p.consider(s, e, e == owner)
	}
}

// consider weighs an endpoint if it is eligible and keeps the better.
func (p *Placer) consider(s *search, e *endpoint, owner bool) {
	room, ok := p.eligible(s, e)
	if !ok {
		s.room = min(s.room, room)
		return
	}
	found := p.weigh(s, e, owner)
	if s.best.endpoint == nil || found.cost < s.best.cost {
		s.best = found
	}
}

// eligible tells whether a request may go to an endpoint now. Where not, room is the time after which it may.
func (p *Placer) eligible(s *search, e *endpoint) (room time.Duration, ok bool) {
	if !s.open(e) {
		return math.MaxInt64, false
	}
	if held := e.health.heldUntil.Sub(s.now); held > 0 {
		return held, false
	}
	probing := e.health.ejected() && !e.service.crowdEjected
	if probing && e.health.probe != nil {
		return p.jitter(roomWait), false
	}
	if e.inFlight >= e.bound(s.now) {
		s.windowFull = true
		return p.jitter(roomWait), false
	}
	wait, may := p.coldWait(s.now, e)
	if !may {
		return math.MaxInt64, false
	}
	return wait, wait == 0
}

// open tells whether anything may go to the endpoint on behalf of the request, now or later.
func (s *search) open(e *endpoint) bool {
	if e.closed || !s.allows(e.region) {
		return false
	}
	if s.modelKnown && !e.serves(s.request.Model) {
		return false
	}
	return !s.untried || !slices.Contains(s.request.Tried, e.info.ID)
}

// serves tells whether the endpoint has named the model.
func (e *endpoint) serves(model string) bool {
	for index := range e.info.Models {
		if e.info.Models[index].Name == model {
			return true
		}
	}
	return false
}

// owner is the endpoint of a region at which all proxies look for the shared parts of the prompt: the first in
// rendezvous order that takes it and isn't busier than the bound. Nil where the prompt shares nothing.
func (p *Placer) owner(s *search, r *region) *endpoint {
	if s.sharedTokens == 0 {
		return nil
	}
	owners, inFlight := s.rankOwners(p.chain.sharedHash(), r, false)
	if owners[0] == nil {
		owners, inFlight = s.rankOwners(p.chain.sharedHash(), r, true)
	}
	most := loadFactor*float64(inFlight)/float64(len(r.endpoints)) + loadSlack
	for _, e := range owners {
		if e == nil {
			break
		}
		if _, ok := p.eligible(s, e); ok && float64(e.inFlight) <= most {
			return e
		}
	}
	return nil
}

// rankOwners returns the first endpoints in rendezvous order and the calls in flight at all of the region. What only
// this proxy knows of them has no say, so that all proxies find the same order. Those that say that they are cold
// could take few of the prefix's requests, and stay out unless there is no other.
func (s *search) rankOwners(prefix uint64, r *region, cold bool) (owners [ownersMost]*endpoint, inFlight int) {
	var order rendezvous
	for _, e := range r.endpoints {
		inFlight += e.inFlight
		if !cold && s.now.Before(e.cold.toldUntil) || e.closed || e.doubtful() || s.modelKnown && !e.serves(s.request.Model) {
			continue
		}
		order.add(e, mix(prefix, e.hash))
	}
	copy(owners[:], order.first[:])
	return owners, inFlight
}
