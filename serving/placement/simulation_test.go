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

// simulation plays proxies against endpoints that read prompts one after the other, on a clock of its own.
type simulation struct {
	now       time.Duration
	due       timerqueue.Queue[func()]
	random    *mwcrand.Source
	endpoints []state.Endpoint
	proxies   []*Picker
	zones     map[string][]*Picker
	view      Snapshot
	engines   map[string]*engine

	answered  int
	late      int
	refused   int
	lost      int
	waits     []time.Duration
	readAgain int // shared tokens read where some endpoint of the region had read them
	far       int
	known     map[string]bool
}

// engine is a simulated endpoint.
type engine struct {
	queue   []*simulated
	reading bool
	running int
	cache   prefixCache
	dark    bool
	slow    float64 // times as long for everything; 1: as told
	read    int
}

// simulated is one request of the simulation.
type simulated struct {
	kind     kind
	proxy    *Picker
	request  Request
	sentAt   time.Duration // first asked
	ticket   Reservation
	engine   *engine
	endpoint state.Endpoint
	chain    blockChain
}

// kind is a class of requests of the simulated traffic, a second over all zones.
type kind struct {
	route    string
	rate     float64
	subjects int
	base     int // tokens of the first part, one of four
	subject  int // tokens of the second part
	own      float64
	spread   float64
	events   float64
}

// The mix of a label printer's plants, as their sheet has it.
var kinds = []kind{
	{route: "review", rate: 15.7, subjects: 133, base: 2520, subject: 3780, own: 2890, spread: 1, events: 13},
	{route: "urgent", rate: 23.1, subjects: 87, base: 341, subject: 227, own: 1800, spread: 1.3, events: 6},
	{route: "home", rate: 26.5, subjects: 150, base: 103, subject: 69, own: 543, spread: 0.9, events: 70},
}

const (
	simulatedRate  = 32.4 // prompt tokens a millisecond
	simulatedChunk = 2048
	simulatedFirst = 64 * time.Millisecond
)

func newSimulation(t testing.TB, seed uint64, endpoints []state.Endpoint, proxies map[string]int) *simulation {
	s := &simulation{random: mwcrand.New(seed), engines: map[string]*engine{}, endpoints: endpoints, zones: map[string][]*Picker{},
		known: map[string]bool{}}
	total := 0
	for _, count := range proxies {
		total += count
	}
	table := testDocument(t)
	for _, zone := range []string{"e1", "e2", "w1"} {
		for index := range proxies[zone] {
			p := New(Options{Name: fmt.Sprint(zone, index), Zone: zone, Region: regions[zone], Regions: regions, Bounds: bounds,
				Seed: seed + uint64(len(s.proxies)), StartedAt: begin})
			s.view = Snapshot{Routing: table, Endpoints: endpoints, Proxies: subscription.Proxies{Live: total, Most: total, Region: total / 2}}
			p.Update(begin, s.view)
			s.proxies = append(s.proxies, p)
			s.zones[zone] = append(s.zones[zone], p)
		}
	}
	for _, info := range endpoints {
		s.engines[info.ID] = &engine{cache: prefixCache{tokenLimit: 140_000}, slow: 1}
	}
	return s
}

// tell gives all proxies a new record.
func (s *simulation) tell(record *state.Record) {
	s.view.Record = record
	for _, p := range s.proxies {
		p.Update(s.at(), s.view)
	}
}

func (s *simulation) at() time.Time { return begin.Add(s.now) }

func (s *simulation) after(d time.Duration, do func()) { s.due.Add(int64(s.now+d), do) }

// run plays until the time given.
func (s *simulation) run(until time.Duration) {
	for {
		at, _ := s.due.Next()
		do, ok := s.due.PopDue(int64(until))
		if !ok {
			return
		}
		s.now = time.Duration(at)
		do()
	}
}

// lognormal draws a size with the mean and spread given.
func (s *simulation) lognormal(mean, spread float64) float64 {
	normal := math.Sqrt(-2*math.Log(1-s.random.Float64())) * math.Cos(2*math.Pi*s.random.Float64())
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(mean*math.Exp(sigma*normal-sigma*sigma/2), mean*6)
}

// arrive starts requests of a kind in a zone at a rate a second.
func (s *simulation) arrive(table *routing.Table, zone string, k kind, rate float64) {
	s.after(time.Duration(-math.Log(1-s.random.Float64())/rate*float64(time.Second)), func() {
		proxies := s.zones[zone]
		route, _ := table.Match("a.example", "/"+k.route+"/")
		subject := int(s.random.Float64() * float64(k.subjects))
		own := int(s.lognormal(k.own, k.spread)) + 1
		r := &simulated{kind: k, proxy: proxies[int(s.random.Float64()*float64(len(proxies)))], sentAt: s.now}
		r.request = Request{Route: route, Model: "m", PromptTokens: k.base + k.subject + own,
			MaxOutputTokens: int(4 * k.events), TimeLeft: route.Timeout, Blocks: []PrefixBlock{{fmt.Sprint(k.route, subject%4), k.base},
				{fmt.Sprint(k.route, "s", subject), k.subject}, {fmt.Sprint("own", s.random.Float64()), own}}}
		s.place(r)
		s.arrive(table, zone, k, rate)
	})
}

// place asks for a choice until there is one or the request is refused.
func (s *simulation) place(r *simulated) {
	r.request.QueuedFor = s.now - r.sentAt
	r.request.TimeLeft = r.request.Route.Timeout - r.request.QueuedFor
	choice, verdict := r.proxy.Pick(s.at(), r.request)
	switch verdict.Kind {
	case Wait:
		s.after(verdict.Delay, func() { s.place(r) })
	case Reject:
		s.refused++
	case Picked:
		r.ticket, r.endpoint, r.engine = choice.Reservation, choice.Endpoint, s.engines[choice.Endpoint.ID]
		r.chain = hashBlocks(blockChain{}, r.request.Blocks)
		if r.engine.dark {
			s.meetDark(r)
			return
		}
		s.after(r.proxy.pathLatency(choice.Reservation.call.endpoint)/2, func() { r.engine.enter(s, r) })
	}
}

// mixOf prepares the mix at a multiple of its usual rate.
func mixOf(t testing.TB, times float64, seed uint64) *simulation {
	endpoints := append(modelEndpoints("e1", 5), modelEndpoints("e2", 5)...)
	endpoints = append(endpoints, modelEndpoints("w1", 8)...)
	s := newSimulation(t, seed, endpoints, map[string]int{"e1": 3, "e2": 2, "w1": 2})
	table := testDocument(t)
	for _, k := range kinds {
		s.arrive(table, "e1", k, k.rate*times/4)
		s.arrive(table, "e2", k, k.rate*times/4)
		s.arrive(table, "w1", k, k.rate*times/2)
	}
	return s
}

func (s *simulation) report(t testing.TB) {
	least, most := math.MaxInt, 0
	for _, e := range s.engines {
		least, most = min(least, e.read), max(most, e.read)
	}
	t.Logf("%d answered, %d late, %d refused, %d lost, %d far; waits %v %v %v; %d tokens read again; reads %d to %d", s.answered, s.late,
		s.refused, s.lost, s.far, s.quantile(0.5), s.quantile(0.95), s.quantile(0.99), s.readAgain, least, most)
}
