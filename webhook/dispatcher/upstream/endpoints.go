// Package upstream makes the calls: each one exactly once, on connections of its own. It repeats nothing by
// itself and decides nothing; what came of a call goes back webhook by webhook.
package upstream

import (
	"bytes"
	"math"
	"sync"
	"sync/atomic"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// Came is told what came of a webhook's part in a call; over: nothing more is owed.
type Came func(w *inflight.Webhook, ep api.EndpointID, what api.Outcome, took api.Micros,
	over bool, wait api.Micros)

// Client holds the connections and the calls out.
type Client struct {
	counts         *inflight.Counters
	came           Came
	connectTimeout atomic.Int64 // µs
	idleFor        atomic.Int64 // µs; an idle link is closed after so long
	restWithin     atomic.Int64 // µs; an answer that has begun is whole after so long
	mostOpen       int

	mu    sync.Mutex
	all   map[api.EndpointID]*endpoint
	waits map[route]api.Micros // told waits, for calls that still connect when they are told
	out   map[api.WebhookID]*call
	open  int // links
	ended bool

	// May, where a fleet acts as one and else nil, tells whether a destination may be called from here now. Set
	// before the first call; it is asked right before a call's first and last byte and must not wait.
	May func(api.DestinationID) bool
}

func (s *Client) may(k *call) bool { return s.May == nil || s.May(k.ep.route.dest) }

// route is what a told wait binds: a destination, or one endpoint where its kind's endpoints are apart.
type route struct {
	dest  api.DestinationID
	apart api.EndpointID
	alone bool
}

type endpoint struct {
	id     api.EndpointID
	addr   string
	route  route
	zone   api.ZoneID
	kind   api.DestinationKindID
	bundle int // webhooks in one call at most
	listed bool
	gone   bool
	out    int     // calls
	idle   []*link // used last: last
}

// New makes a pool of at most mostOpen connections. Those idle are closed well inside the time after which
// the other side does so: a call that crosses its close would end as a reset.
func New(counts *inflight.Counters, came Came, connectTimeout, idleLimit api.Micros,
	mostOpen int) *Client {
	s := &Client{counts: counts, came: came, mostOpen: max(mostOpen, 1),
		all: map[api.EndpointID]*endpoint{}, waits: map[route]api.Micros{},
		out: map[api.WebhookID]*call{}}
	s.Renew(connectTimeout, idleLimit, nil)
	return s
}

// Renew takes the settings that calls from now on are made by; those out end under the old ones.
func (s *Client) Renew(connectTimeout, idleLimit api.Micros, kinds []api.DestinationKind) {
	if connectTimeout <= 0 { // none is stated: patience alone ends a connect
		connectTimeout = math.MaxInt64
	}
	rest := idleLimit / 16
	if rest <= 0 { // no limit is stated
		rest = api.Second / 4
	}
	s.connectTimeout.Store(int64(connectTimeout))
	s.idleFor.Store(int64(idleLimit * 4 / 5))
	s.restWithin.Store(int64(rest))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.all {
		if int(e.kind) < len(kinds) {
			e.bundle = max(kinds[e.kind].BatchSize, 1)
		}
	}
}

// Place notes what the list says of an endpoint.
func (s *Client) Place(l api.EndpointEntry, addr string, of api.DestinationKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.all[l.Endpoint]
	if e == nil {
		e = &endpoint{id: l.Endpoint, kind: l.Kind, bundle: max(of.BatchSize, 1), route: route{dest: l.Destination}}
		if of.SeparateRoutes {
			e.route = route{l.Destination, l.Endpoint, true}
		}
		s.all[l.Endpoint] = e
	}
	e.zone = l.Zone
	if e.gone = l.Status == api.EndpointRemoved; e.gone {
		s.closeIdle(e)
	}
	if e.listed = l.Status == api.EndpointActive; addr != "" && addr != e.addr {
		s.closeIdle(e) // they lead elsewhere
		e.addr = addr
	}
}

// Drop notes that a whole list came without these.
func (s *Client) Drop(but map[api.EndpointID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.all {
		if !but[id] {
			e.listed, e.gone = false, true
			s.closeIdle(e)
		}
	}
}

// Zone tells where an endpoint is.
func (s *Client) Zone(id api.EndpointID) (zone api.ZoneID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.all[id]; e != nil {
		zone = e.zone
	}
	return zone
}

// Attempt is one webhook's part in a call: how long its answer is waited for, and the latest that it may begin.
type Attempt struct {
	Webhook         *inflight.Webhook
	Timeout, Latest api.Micros
}

// Send makes the calls for webhooks that one turn sends to one endpoint: as few as its bundles allow.
func (s *Client) Send(id api.EndpointID, tries []Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.all[id]
	if e == nil { // gone and forgotten: guards against a webhook that waits for an outcome for ever
		for _, t := range tries {
			s.came(t.Webhook, id, api.NotSent, 0, false, 0)
		}
		return
	}
	for len(tries) > 0 {
		n := min(e.bundle, len(tries))
		// The least patience holds for all: none may go on after its webhook was told to have timed out.
		k := &call{ep: e, patience: math.MaxInt64, latest: math.MaxInt64}
		for _, t := range tries[:n] {
			s.out[t.Webhook.ID] = k
			k.webhooks = append(k.webhooks, t.Webhook)
			k.patience, k.latest = min(k.patience, t.Timeout), min(k.latest, t.Latest)
		}
		tries = tries[n:]
		e.out++
		s.counts.Calls.Add(1)
		if n > 1 {
			s.counts.Bundled.Add(int64(n))
		}
		go s.run(k, inflight.Now())
	}
}

// Out tells how many webhooks are out.
func (s *Client) Out() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.out)
}

// Cancel calls off the call that a webhook is in.
func (s *Client) Cancel(id api.WebhookID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.out[id]; k != nil {
		k.called = true
		if k.link != nil {
			k.link.Conn.Close()
		}
	}
}

// End closes every idle connection, and those of calls out as they come back.
func (s *Client) End() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	for id := range s.all {
		s.CloseIdle(id)
	}
}

// ends reads a bundle's answer; ok: it names each of its webhooks once, with a known end, and nothing else.
func ends(body []byte, webhooks []*inflight.Webhook) (each map[inflight.RequestID]share, ok bool) {
	each = map[inflight.RequestID]share{}
	for line := range bytes.Lines(body) {
		fields := bytes.Fields(line)
		if len(fields) == 0 && len(each) == len(webhooks) {
			continue
		}
		if len(fields) != 2 || line[len(line)-1] != '\n' {
			return nil, false
		}
		id, word := inflight.RequestID(fields[0]), string(fields[1])
		if _, known := endWords[word]; !known {
			return nil, false
		}
		if _, twice := each[id]; twice {
			return nil, false
		}
		each[id] = endWords[word]
	}
	for _, w := range webhooks {
		if _, named := each[w.RequestID]; !named {
			return nil, false
		}
	}
	return each, len(each) == len(webhooks)
}
