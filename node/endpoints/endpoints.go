// Package endpoints makes the calls: each one exactly once, on connections of its own. It repeats nothing by
// itself and decides nothing; what came of a call goes back webhook by webhook.
package endpoints

import (
	"bytes"
	"log/slog"
	"math"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/gateway"
	"rowanlink/internal/socket"
	"rowanlink/node/exchange"
)

// Came is told what came of a webhook's part in a call; over: nothing more is owed.
type Came func(w *exchange.Webhook, ep gateway.EndpointID, what gateway.Outcome, took gateway.Micros,
	over bool, wait gateway.Micros)

// Endpoints holds the connections and the calls out.
type Endpoints struct {
	counts         *exchange.Counters
	came           Came
	connectTimeout atomic.Int64 // µs
	idleFor        atomic.Int64 // µs; an idle link is closed after so long
	restWithin     atomic.Int64 // µs; an answer that has begun is whole after so long
	mostOpen       int

	mu    sync.Mutex
	all   map[gateway.EndpointID]*endpoint
	waits map[route]gateway.Micros // told waits, for calls that still connect when they are told
	out   map[gateway.WebhookID]*call
	open  int // links
	ended bool
}

// route is what a told wait binds: a destination, or one endpoint where its kind's endpoints are apart.
type route struct {
	dest  gateway.DestinationID
	apart gateway.EndpointID
	alone bool
}

type endpoint struct {
	id     gateway.EndpointID
	addr   string
	route  route
	zone   gateway.ZoneID
	kind   gateway.KindID
	bundle int // webhooks in one call at most
	listed bool
	gone   bool
	out    int     // calls
	idle   []*link // used last: last
}

// call is one call out.
type call struct {
	ep       *endpoint
	webhooks []*exchange.Webhook
	patience gateway.Micros
	latest   gateway.Micros // it does not begin after that
	link     *link
	called   bool // called off
}

// New makes a pool of at most mostOpen connections. Those idle are closed well inside the time after which
// the other side does so: a call that crosses its close would end as a reset.
func New(counts *exchange.Counters, came Came, connectTimeout, idleLimit gateway.Micros,
	mostOpen int) *Endpoints {
	s := &Endpoints{counts: counts, came: came, mostOpen: max(mostOpen, 1),
		all: map[gateway.EndpointID]*endpoint{}, waits: map[route]gateway.Micros{},
		out: map[gateway.WebhookID]*call{}}
	s.Renew(connectTimeout, idleLimit, nil)
	return s
}

// Renew takes the settings that calls from now on are made by; those out end under the old ones.
func (s *Endpoints) Renew(connectTimeout, idleLimit gateway.Micros, kinds []gateway.Kind) {
	if connectTimeout <= 0 { // none is stated: patience alone ends a connect
		connectTimeout = math.MaxInt64
	}
	rest := idleLimit / 16
	if rest <= 0 { // no limit is stated
		rest = gateway.Second / 4
	}
	s.connectTimeout.Store(int64(connectTimeout))
	s.idleFor.Store(int64(idleLimit * 4 / 5))
	s.restWithin.Store(int64(rest))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.all {
		if int(e.kind) < len(kinds) {
			e.bundle = max(kinds[e.kind].Batch, 1)
		}
	}
}

// Place notes what the list says of an endpoint.
func (s *Endpoints) Place(l gateway.Entry, addr string, of gateway.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.all[l.Endpoint]
	if e == nil {
		e = &endpoint{id: l.Endpoint, kind: l.Kind, bundle: max(of.Batch, 1), route: route{dest: l.Destination}}
		if of.Apart {
			e.route = route{l.Destination, l.Endpoint, true}
		}
		s.all[l.Endpoint] = e
	}
	e.zone = l.Zone
	if e.gone = l.Standing == gateway.Gone; e.gone {
		s.closeIdle(e)
	}
	if e.listed = l.Standing == gateway.Listed; addr != "" && addr != e.addr {
		s.closeIdle(e) // they lead elsewhere
		e.addr = addr
	}
}

// Drop notes that a whole list came without these.
func (s *Endpoints) Drop(but map[gateway.EndpointID]bool) {
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
func (s *Endpoints) Zone(id gateway.EndpointID) (zone gateway.ZoneID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.all[id]; e != nil {
		zone = e.zone
	}
	return zone
}

// Try is one webhook's part in a call: how long its answer is waited for, and the latest that it may begin.
type Try struct {
	Webhook          *exchange.Webhook
	Patience, Latest gateway.Micros
}

// Send makes the calls for webhooks that one turn sends to one endpoint: as few as its bundles allow.
func (s *Endpoints) Send(id gateway.EndpointID, tries []Try) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.all[id]
	if e == nil { // gone and forgotten: guards against a webhook that waits for an outcome for ever
		for _, t := range tries {
			s.came(t.Webhook, id, gateway.NotSent, 0, false, 0)
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
			k.patience, k.latest = min(k.patience, t.Patience), min(k.latest, t.Latest)
		}
		tries = tries[n:]
		e.out++
		s.counts.Calls.Add(1)
		if n > 1 {
			s.counts.Bundled.Add(int64(n))
		}
		go s.run(k, exchange.Now())
	}
}

// Out tells how many webhooks are out.
func (s *Endpoints) Out() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.out)
}

// Cancel calls off the call that a webhook is in.
func (s *Endpoints) Cancel(id gateway.WebhookID) {
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
func (s *Endpoints) End() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	for id := range s.all {
		s.CloseIdle(id)
	}
}

// fate is what came of a call as a whole.
type fate struct {
	what gateway.Outcome
	over bool
	wait gateway.Micros
	each map[exchange.RequestID]share // by id, where the webhooks of a bundle fared differently
	keep bool                         // the connection may be used again

	// Turned away without a wait, and the connection with it: on its first call that is said of the connection,
	// one too many, and not of the destination's limit.
	tooMany bool
}

// run makes one call from connect to answer.
func (s *Endpoints) run(k *call, at gateway.Micros) {
	f, l := s.connectAndCall(k, at)
	if l != nil && f.keep {
		s.keep(k.ep, l)
	}
	s.mu.Lock()
	if l != nil && !f.keep {
		s.close(l)
	}
	if f.wait > 0 {
		s.waits[k.ep.route] = max(s.waits[k.ep.route], exchange.Now()+f.wait)
	}
	for _, w := range k.webhooks {
		delete(s.out, w.ID)
	}
	k.ep.out--
	if k.called && f.what != gateway.Delivered && f.what != gateway.ConnectFailed {
		f.what = gateway.Cancelled
	}
	s.mu.Unlock()
	took := exchange.Now() - at
	for _, w := range k.webhooks {
		what, over := f.what, f.over
		if f.each != nil {
			what, over = f.each[w.RequestID].what, f.each[w.RequestID].over
		}
		s.counts.Outcomes[what].Add(1)
		w.Step(exchange.OutcomeName(what), k.ep.id, took)
		s.came(w, k.ep.id, what, took, over, f.wait)
	}
}

// connectAndCall calls on an idle link, or else on a new one. A link that says or ends something before the
// last byte of the call is written is no longer of use, and the call has not been made: another link is
// taken.
func (s *Endpoints) connectAndCall(k *call, at gateway.Micros) (fate, *link) {
	for {
		l, room := s.take(k.ep)
		if !room {
			return fate{what: gateway.NotSent}, nil
		}
		used := l != nil
		if !used {
			var err error
			s.counts.Connections.Add(1)
			now := exchange.Now()
			within := max(min(gateway.Micros(s.connectTimeout.Load()), k.patience-(now-at), k.latest-now), 1)
			if l, err = dial(k.ep.addr, exchange.Span(within)); err != nil {
				s.mu.Lock()
				s.open--
				s.mu.Unlock()
				return fate{what: gateway.ConnectFailed}, nil
			}
		}
		// Guards the rules on drains, waits and effects: what was told while this call connected, and the time for
		// which a token is remembered, hold for its first byte.
		s.mu.Lock()
		now := exchange.Now()
		late := !k.ep.listed || now < s.waits[k.ep.route] || now > k.latest || s.ended
		k.link = l
		called := k.called
		s.mu.Unlock()
		if late {
			return fate{what: gateway.NotSent, keep: true}, l
		}
		if called {
			return fate{what: gateway.ConnectFailed}, l
		}
		left := k.patience - (exchange.Now() - at) // connecting took its part
		until := time.Now().Add(exchange.Span(left))
		switch written := l.write(request(k, left), until); {
		case written:
			for _, w := range k.webhooks {
				w.Step("written", k.ep.id, exchange.Now()-at)
			}
			f := s.answer(l, k, until)
			if f.tooMany && !used {
				f.what = gateway.Crowded
			}
			return f, l
		case !used || !time.Now().Before(until):
			return fate{what: gateway.ConnectFailed}, l
		}
		s.mu.Lock()
		k.link = nil
		s.close(l)
		s.mu.Unlock()
	}
}

// answer reads what comes back. Where something came, the call has reached the endpoint: what can't be read
// then may have run, however it begins, and frees its slot soon, whatever it claims still to come.
func (s *Endpoints) answer(l *link, k *call, until time.Time) fate {
	head, err := l.head(until, gateway.Micros(s.restWithin.Load()))
	if len(head) == 0 {
		if !time.Now().Before(until) { // by the clock: not each error tells a deadline from a broken connection
			return fate{what: gateway.TimedOut}
		}
		return fate{what: gateway.Reset}
	}
	spoilt := fate{what: gateway.Errored}
	bundle := len(k.webhooks) > 1
	if !bundle && deliveredLine.Match(head) { // whatever becomes of the rest: guards against a second copy
		spoilt.what = gateway.Delivered
	}
	if err != nil || !framed(head) {
		return spoilt
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(l.in, mostAnswer); err != nil {
		return spoilt
	}
	f, ok := read(resp, k.webhooks)
	if !ok {
		return spoilt
	}
	quiet, ended := socket.Look(l.Conn)
	more := l.in.Buffered() > 0 || !quiet && !ended
	if f.keep = !resp.ConnectionClose() && quiet && !more; more && f.each == nil && f.what != gateway.Delivered {
		f.what, f.over = gateway.Errored, false // its length may be wrong: who knows what it was
	}
	return f
}

const mostAnswer = 256 << 10

var deliveredLine = regexp.MustCompile(`^HTTP/1\.[01] 200( [^\r\n]*)?\r\n`)

// framed tells whether a head says no more than once how long its body is.
func framed(head []byte) bool {
	n := 0
	for line := range bytes.Lines(head) {
		key, _, _ := bytes.Cut(line, []byte(":"))
		if key = bytes.TrimSpace(key); bytes.EqualFold(key, []byte("Content-Length")) ||
			bytes.EqualFold(key, []byte("Transfer-Encoding")) {
			n++
		}
	}
	return n <= 1
}

// request is a call as it goes out.
func request(k *call, left gateway.Micros) []byte {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	fill(req, k, left)
	var out bytes.Buffer
	if _, err := req.WriteTo(&out); err != nil {
		slog.Error("call not written", "err", err) // never: what was handed in is plain
	}
	return out.Bytes()
}

func fill(req *fasthttp.Request, k *call, left gateway.Micros) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost(k.ep.addr)
	req.Header.SetUserAgent("rowanlink")
	req.Header.SetContentType("application/octet-stream")
	req.Header.Set("Request-Timeout-Ms", strconv.FormatInt(max(int64(left/1000), 1), 10))
	if len(k.webhooks) == 1 {
		w := k.webhooks[0]
		req.SetRequestURI("/events")
		req.Header.Set("Request-Id", string(w.RequestID))
		if w.Token != "" {
			req.Header.Set("Idempotency-Key", string(w.Token))
		}
		req.SetBodyRaw(w.Body)
		return
	}
	req.SetRequestURI("/events/bundle")
	var body bytes.Buffer
	for _, w := range k.webhooks {
		token := w.Token
		if token == "" {
			token = "-"
		}
		body.WriteString(string(w.RequestID+" ") + string(token) + " " + strconv.Itoa(len(w.Body)) + "\r\n")
		body.Write(w.Body)
		body.WriteString("\r\n")
	}
	req.SetBodyRaw(body.Bytes())
}

// read puts an answer into our words; ok: it can be read. What is not in the protocol's table may have run.
func read(resp *fasthttp.Response, webhooks []*exchange.Webhook) (f fate, ok bool) {
	f = fate{what: gateway.Errored, wait: seconds(string(resp.Header.Peek("Retry-After")))}
	bundle := len(webhooks) > 1
	switch resp.StatusCode() {
	case 200:
		if f.what = gateway.Delivered; bundle {
			f.each, ok = ends(resp.Body(), webhooks)
			return f, ok
		}
	case 429:
		f.what = gateway.Full
	case 503:
		f.what = gateway.Full
		if len(resp.Header.Peek("X-Egress-Full")) > 0 {
			f.what = gateway.NotSent
		} else {
			f.tooMany = resp.ConnectionClose() && f.wait == 0
		}
	case 504:
		f.what = gateway.NotSent
	case 410:
		f.what, f.over = gateway.NotSent, true
	case 400, 413:
		if bundle { // it could not be read, or was too large: none has run
			f.what = gateway.NotSent
		}
	}
	return f, true
}

// share is how one webhook of a bundle fared.
type share struct {
	what gateway.Outcome
	over bool
}

var endWords = map[string]share{"delivered": {gateway.Delivered, false}, "failed": {gateway.Errored, false},
	"refused": {gateway.Full, false}, "over": {gateway.NotSent, true}, "spent": {gateway.NotSent, false}}

// ends reads a bundle's answer; ok: it names each of its webhooks once, with a known end, and nothing else.
func ends(body []byte, webhooks []*exchange.Webhook) (each map[exchange.RequestID]share, ok bool) {
	each = map[exchange.RequestID]share{}
	for line := range bytes.Lines(body) {
		fields := bytes.Fields(line)
		if len(fields) == 0 && len(each) == len(webhooks) {
			continue
		}
		if len(fields) != 2 || line[len(line)-1] != '\n' {
			return nil, false
		}
		id, word := exchange.RequestID(fields[0]), string(fields[1])
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

// seconds reads a wait, whole or decimal, and rounds it up.
func seconds(text string) gateway.Micros {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0) {
		return 0
	}
	return gateway.Micros(math.Ceil(min(v, 1e6) * float64(gateway.Second)))
}
