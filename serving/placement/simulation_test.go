package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"rowanlink/internal/mwcrand"
	"rowanlink/internal/timerqueue"
	"rowanlink/serving/routing"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// simulation runs proxies against simulated endpoints in virtual time.
type simulation struct {
	now       time.Duration
	events    timerqueue.Queue[func()]
	random    *mwcrand.Source
	endpoints []state.Endpoint
	proxies   []*Picker
	zones     map[string][]*Picker
	view      Snapshot
	engines   map[string]*simulatedEngine

	served           int
	late             int // responses whose first byte missed the latency target
	rejected         int
	lostRequests     int
	firstByteTimes   []time.Duration
	recomputedTokens int             // shared tokens prefilled although another endpoint of the region had prefilled them
	remote           int             // requests served outside the proxy's region
	prefilled        map[string]bool // shared blocks that an endpoint of a region has prefilled, by region and ID
}

// simulatedEngine is a simulated endpoint, which prefills one prompt after another.
type simulatedEngine struct {
	queue           []*simulatedRequest
	prefilling      bool
	running         int
	cache           prefixCache
	down            bool
	slowdown        float64 // factor on all times; 1: none
	prefilledTokens int
}

// simulatedRequest is one request of the simulation.
type simulatedRequest struct {
	class       trafficClass
	proxy       *Picker
	request     Request
	sentAt      time.Duration // first call of Pick
	reservation Reservation
	engine      *simulatedEngine
	endpoint    state.Endpoint
	chain       blockChain
}

// trafficClass is a class of requests; its rate is per second over all zones.
type trafficClass struct {
	route         string
	rate          float64
	subjects      int
	baseTokens    int     // tokens of the first block, which is one of four
	subjectTokens int     // tokens of the second block
	ownTokens     float64 // mean tokens of the last block, which is not shared
	spread        float64 // coefficient of variation of these
	events        float64 // mean number of events of a response
}

// trafficClasses is the traffic of a deployment with long shared prompts.
var trafficClasses = []trafficClass{
	{route: "review", rate: 15.7, subjects: 133, baseTokens: 2520, subjectTokens: 3780, ownTokens: 2890, spread: 1, events: 13},
	{route: "urgent", rate: 23.1, subjects: 87, baseTokens: 341, subjectTokens: 227, ownTokens: 1800, spread: 1.3, events: 6},
	{route: "home", rate: 26.5, subjects: 150, baseTokens: 103, subjectTokens: 69, ownTokens: 543, spread: 0.9, events: 70},
}

const (
	simulatedRate       = 32.4 // prompt tokens a millisecond
	simulatedChunk      = 2048
	simulatedFirstEvent = 64 * time.Millisecond
)

func newSimulation(t testing.TB, seed uint64, endpoints []state.Endpoint, proxies map[string]int) *simulation {
	s := &simulation{random: mwcrand.New(seed), engines: map[string]*simulatedEngine{}, endpoints: endpoints, zones: map[string][]*Picker{},
		prefilled: map[string]bool{}}
	total := 0
	for _, count := range proxies {
		total += count
	}
	table := testRouting(t)
	for _, zone := range []string{"e1", "e2", "w1"} {
		for index := range proxies[zone] {
			p := New(Options{Name: fmt.Sprint(zone, index), Zone: zone, Region: regions[zone], Regions: regions, Bounds: bounds,
				Seed: seed + uint64(len(s.proxies)), StartedAt: startTime})
			s.view = Snapshot{
				Routing:   table,
				Endpoints: endpoints,
				Proxies:   subscription.ProxyCounts{Live: total, MaxRunning: total, LiveInRegion: total / 2},
			}
			p.Update(startTime, s.view)
			s.proxies = append(s.proxies, p)
			s.zones[zone] = append(s.zones[zone], p)
		}
	}
	for _, info := range endpoints {
		s.engines[info.ID] = &simulatedEngine{cache: prefixCache{tokenLimit: 140_000}, slowdown: 1}
	}
	return s
}

// updateRecord applies a new record to all proxies.
func (s *simulation) updateRecord(record *state.Record) {
	s.view.Record = record
	for _, p := range s.proxies {
		p.Update(s.time(), s.view)
	}
}

func (s *simulation) time() time.Time { return startTime.Add(s.now) }

func (s *simulation) schedule(d time.Duration, do func()) { s.events.Add(int64(s.now+d), do) }

// run simulates until the given time.
func (s *simulation) run(until time.Duration) {
	for {
		at, _ := s.events.Next()
		do, ok := s.events.PopDue(int64(until))
		if !ok {
			return
		}
		s.now = time.Duration(at)
		do()
	}
}

// lognormal samples a log-normal distribution, truncated at six times its mean.
func (s *simulation) lognormal(mean, spread float64) float64 {
	normal := math.Sqrt(-2*math.Log(1-s.random.Float64())) * math.Cos(2*math.Pi*s.random.Float64())
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(mean*math.Exp(sigma*normal-sigma*sigma/2), mean*6)
}

// scheduleArrival schedules the arrivals of a traffic class in a zone (a Poisson process).
func (s *simulation) scheduleArrival(table *routing.Table, zone string, class trafficClass, rate float64) {
	s.schedule(time.Duration(-math.Log(1-s.random.Float64())/rate*float64(time.Second)), func() {
		proxies := s.zones[zone]
		route, _ := table.Match("a.example", "/"+class.route+"/")
		subject := int(s.random.Float64() * float64(class.subjects))
		own := int(s.lognormal(class.ownTokens, class.spread)) + 1
		r := &simulatedRequest{class: class, proxy: proxies[int(s.random.Float64()*float64(len(proxies)))], sentAt: s.now}
		r.request = Request{
			Route:           route,
			Model:           "m",
			PromptTokens:    class.baseTokens + class.subjectTokens + own,
			MaxOutputTokens: int(4 * class.events),
			TimeLeft:        route.Timeout,
			Blocks: []PrefixBlock{
				{fmt.Sprint(class.route, subject%4), class.baseTokens},
				{fmt.Sprint(class.route, "s", subject), class.subjectTokens},
				{fmt.Sprint("own", s.random.Float64()), own},
			},
		}
		s.pick(r)
		s.scheduleArrival(table, zone, class, rate)
	})
}

// pick calls Pick until the request is sent or rejected.
func (s *simulation) pick(r *simulatedRequest) {
	r.request.QueuedFor = s.now - r.sentAt
	r.request.TimeLeft = r.request.Route.Timeout - r.request.QueuedFor
	choice, decision := r.proxy.Pick(s.time(), r.request)
	switch decision.Kind {
	case Wait:
		s.schedule(decision.Delay, func() { s.pick(r) })
	case Reject:
		s.rejected++
	case Picked:
		r.reservation = choice.Reservation
		r.endpoint = choice.Endpoint
		r.engine = s.engines[choice.Endpoint.ID]
		r.chain = hashBlocks(blockChain{}, r.request.Blocks)
		if r.engine.down {
			s.sendToFailedEndpoint(r)
			return
		}
		s.schedule(r.proxy.pathLatency(choice.Reservation.call.endpoint)/2, func() { r.engine.enqueue(s, r) })
	}
}

// newMixedSimulation returns a simulation with all traffic classes, at a multiple of their usual rates.
func newMixedSimulation(t testing.TB, rateFactor float64) *simulation {
	const seed = 5
	endpoints := append(modelEndpoints("e1", 5), modelEndpoints("e2", 5)...)
	endpoints = append(endpoints, modelEndpoints("w1", 8)...)
	s := newSimulation(t, seed, endpoints, map[string]int{"e1": 3, "e2": 2, "w1": 2})
	table := testRouting(t)
	for _, class := range trafficClasses {
		s.scheduleArrival(table, "e1", class, class.rate*rateFactor/4)
		s.scheduleArrival(table, "e2", class, class.rate*rateFactor/4)
		s.scheduleArrival(table, "w1", class, class.rate*rateFactor/2)
	}
	return s
}

func (s *simulation) report(t testing.TB) {
	least, most := math.MaxInt, 0
	for _, e := range s.engines {
		least = min(least, e.prefilledTokens)
		most = max(most, e.prefilledTokens)
	}
	t.Logf("%d served, %d late, %d rejected, %d lost, %d remote", s.served, s.late, s.rejected, s.lostRequests, s.remote)
	t.Logf("first bytes after %v %v %v", s.quantile(0.5), s.quantile(0.95), s.quantile(0.99))
	t.Logf("%d tokens prefilled again; %d to %d by endpoint", s.recomputedTokens, least, most)
}
