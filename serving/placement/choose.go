package placement

import (
	"slices"
	"time"

	"rowanlink/serving/routing"
)

// Waiting for room and refusing.
const (
	patienceShare = 0.25                  // of the objective, in which a request that can't be served is refused
	patienceSlack = 5 * time.Millisecond  // kept of that for the answer's way
	roomWait      = 10 * time.Millisecond // between two looks for room in a window; up to twice that by chance
	lastWait      = 2 * time.Millisecond  // the least between two looks
	absentWait    = 300 * time.Millisecond
	refuseLeast   = 100 * time.Millisecond
	refuseMost    = time.Second
	// quickShare is the part of the objective within which a prompt must be read to go first.
	quickShare = 0.05
)

// search is one request's way through the candidates.
type search struct {
	now          time.Time
	request      *Request
	ownRegion    string // of this proxy
	service      *service
	rank         int
	promptTokens int
	sharedTokens int
	homely       bool    // this proxy's region may serve the request
	modelKnown   bool    // some endpoint names the request's model
	untried      bool    // some endpoint was not tried yet
	keeper       *region // whose owner keeps the shared parts; nil: each region's does
	atHome       bool    // the ways to the keeper have cost enough: the own region's owner is to keep them too
	best         estimate
	room         time.Duration // the shortest time after which an endpoint that had no room may have some
	windowFull   bool          // a window without room was met
}

// Choose looks for the endpoint of a request. Unless the verdict is Chosen, the choice is empty.
func (p *Placer) Choose(now time.Time, request Request) (Choice, Verdict) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := search{now: now, ownRegion: p.options.Region, request: &request, rank: rankOf(request.Route.Precedence), room: absentWait}
	s.service = p.serviceOf(&request)
	if s.service == nil || request.TimeLeft <= 0 {
		return Choice{}, p.refuse(absentWait)
	}
	if s.yields() {
		return Choice{}, Verdict{Kind: Wait, Delay: p.jitter(roomWait)}
	}
	p.prepare(&s)
	p.searchRegions(&s)
	if s.best.endpoint == nil {
		return Choice{}, p.postpone(&s)
	}
	if s.best.waiting > request.TimeLeft {
		return Choice{}, p.refuse(s.best.waiting - request.TimeLeft)
	}
	return p.commit(&s), Verdict{Kind: Chosen}
}

// serviceOf is the service of a request: the one drawn before, or for a split route one drawn by weight.
func (p *Placer) serviceOf(request *Request) *service {
	shares := request.Route.Services
	if drawn := p.drawnBefore(request); drawn != "" {
		return p.service(drawn)
	}
	total := 0
	for _, share := range shares {
		total += share.Weight
	}
	if total == 0 {
		return nil
	}
	left := int(p.random.Float() * float64(total))
	for _, share := range shares {
		if left -= share.Weight; left < 0 {
			return p.service(share.Service)
		}
	}
	return p.service(shares[len(shares)-1].Service)
}

// drawnBefore is the service of earlier choices for the request, if the route still names it.
func (p *Placer) drawnBefore(request *Request) string {
	name := request.Service
	if name == "" && len(request.Tried) > 0 {
		if e := p.endpoints[request.Tried[0]]; e != nil {
			name = e.service.name
		}
	}
	named := slices.ContainsFunc(request.Route.Services, func(share routing.Share) bool { return share.Service == name })
	if !named {
		return ""
	}
	return name
}

// yields tells whether a more urgent request waits for room at the same service. It comes first.
func (s *search) yields() bool {
	if s.patience() <= 2*roomWait {
		return false
	}
	for _, until := range s.service.urgentUntil[:s.rank] {
		if s.now.Before(until) {
			return true
		}
	}
	return false
}

// prepare works out what all endpoints are weighed by.
func (p *Placer) prepare(s *search) {
	p.chain.hashes = p.chain.hashes[:0]
	if s.service.engine() {
		p.chain = chainOf(p.chain, s.request.Parts)
		s.sharedTokens = p.chain.sharedTokens()
	}
	s.promptTokens = s.request.PromptTokens
	if s.promptTokens == 0 {
		for _, part := range s.request.Parts {
			s.promptTokens += part.Tokens
		}
	}
	homes := s.request.Route.HomeRegions
	s.homely = len(homes) == 0 || slices.Contains(homes, p.options.Region)
	for _, e := range s.service.endpoints {
		s.modelKnown = s.modelKnown || s.request.Model != "" && e.serves(s.request.Model)
		s.untried = s.untried || !e.closed && s.allows(e.region) && !slices.Contains(s.request.Tried, e.info.ID)
	}
}

// allows tells whether the route's homes allow a region. They bind without exception.
func (s *search) allows(region string) bool {
	homes := s.request.Route.HomeRegions
	return len(homes) == 0 || slices.Contains(homes, region)
}

// patience is how long the request may still be asked to wait.
func (s *search) patience() time.Duration {
	if len(s.request.Tried) > 0 || s.request.Resumed {
		return min(s.request.TimeLeft/2, s.request.Route.Target)
	}
	quarter := time.Duration(patienceShare * float64(s.request.Route.Target))
	return min(quarter-s.request.Waited-patienceSlack, s.request.TimeLeft/2)
}

// postpone decides between waiting and refusing where nothing can be chosen.
func (p *Placer) postpone(s *search) Verdict {
	patience := s.patience()
	if s.windowFull && patience >= lastWait {
		s.room = min(s.room, patience) // a place may come free until the last moment
	}
	if s.room > patience {
		return p.refuse(s.room)
	}
	delay := max(s.room, lastWait)
	if s.windowFull {
		until := s.now.Add(delay + roomWait)
		if until.After(s.service.urgentUntil[s.rank]) {
			s.service.urgentUntil[s.rank] = until
		}
	}
	return Verdict{Kind: Wait, Delay: delay}
}

// refuse tells the client to come back about when room is expected.
func (p *Placer) refuse(room time.Duration) Verdict {
	return Verdict{Kind: RefuseRetryAfter, Delay: p.jitter(min(max(room, refuseLeast), refuseMost))}
}

// jitter draws between the span and twice that.
func (p *Placer) jitter(span time.Duration) time.Duration {
	return span + time.Duration(p.random.Float()*float64(span))
}

// commit counts the call at the chosen endpoint.
func (p *Placer) commit(s *search) Choice {
	best := &s.best
	e := best.endpoint
	quick, rank := s.quick(), s.rank
	if quick {
		rank = 0
	}
	c := &call{
		endpoint: e, sentAt: s.now, rank: rank, way: best.way,
		uncached: best.uncached, queueAhead: best.queueAhead,
		tokens:   s.promptTokens + s.request.OutputTokens,
		computed: best.computed, expected: best.first,
	}
	e.begin(c)
	if e.health.ejected() {
		e.health.probe = c
	}
	if e.service.coldRate() > 0 {
		e.cold.count(s.now)
	}
	if e.service.engine() {
		e.prefixes.use(&p.chain)
		s.settle(p.chain.sharedHash())
		e.service.prompt = blend(e.service.prompt, float64(best.uncached), tookBlend)
	}
	return Choice{Endpoint: e.info, Ticket: Ticket{call: c}, ExpectFirst: best.first, Quick: quick}
}

// quick tells whether the chosen endpoint reads the prompt within a small part of the objective. Such a request holds
// others up for a moment only, while it would be late behind a few long ones.
func (s *search) quick() bool {
	if !s.service.engine() || s.promptTokens == 0 {
		return false
	}
	return float64(s.service.reading(s.best.uncached)) <= quickShare*float64(s.request.Route.Target)
}
