// Package endpoints makes the calls: each one exactly once, on connections of its own. It repeats nothing by
// itself and decides nothing; what came of a call goes back webhook by webhook.
package endpoints

import (
	"bufio"
	"bytes"
	"errors"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/gateway"
	"rowanlink/node/exchange"
)

// Came is told what came of a webhook's part in a call; over: nothing more is owed.
type Came func(w *exchange.Webhook, ep gateway.EndpointID, what gateway.Outcome, took gateway.Micros,
	over bool, wait gateway.Micros)

// Endpoints holds the connections and the calls out.
type Endpoints struct {
	counts         *exchange.Counters
	came           Came
	connectTimeout gateway.Micros
	idleFor        gateway.Micros // an idle link is closed after so long
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
	bundle int // webhooks in one call at most
	listed bool
	idle   []*link // used last: last
}

// call is one call out.
type call struct {
	ep       *endpoint
	webhooks []*exchange.Webhook
	patience gateway.Micros
	link     *link
	called   bool // called off
}

// New makes a pool of at most mostOpen connections. Those idle are closed well inside the time after which
// the other side does so: a call that crosses its close would end as a reset.
func New(counts *exchange.Counters, came Came, connectTimeout, idleLimit gateway.Micros,
	mostOpen int) *Endpoints {
	if connectTimeout <= 0 { // none is stated: patience alone ends a connect
		connectTimeout = math.MaxInt64
	}
	return &Endpoints{counts: counts, came: came, connectTimeout: connectTimeout, idleFor: idleLimit * 4 / 5,
		mostOpen: max(mostOpen, 1), all: map[gateway.EndpointID]*endpoint{}, waits: map[route]gateway.Micros{},
		out: map[gateway.WebhookID]*call{}}
}

// Place notes what the list says of an endpoint.
func (s *Endpoints) Place(l gateway.Entry, addr string, of gateway.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.all[l.Endpoint]
	if e == nil {
		e = &endpoint{id: l.Endpoint, bundle: max(of.Batch, 1), route: route{dest: l.Destination}}
		if of.Apart {
			e.route = route{l.Destination, l.Endpoint, true}
		}
		s.all[l.Endpoint] = e
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
		e.listed = e.listed && but[id]
	}
}

// Send makes the calls for webhooks that one turn sends to one endpoint: as few as its bundles allow.
func (s *Endpoints) Send(id gateway.EndpointID, webhooks []*exchange.Webhook, patience []gateway.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.all[id]
	for len(webhooks) > 0 && e != nil {
		n := min(e.bundle, len(webhooks))
		// The least patience holds for all: none may go on after its webhook was told to have timed out.
		k := &call{ep: e, webhooks: webhooks[:n], patience: math.MaxInt64}
		for i, w := range k.webhooks {
			s.out[w.ID] = k
			k.patience = min(k.patience, patience[i])
		}
		webhooks, patience = webhooks[n:], patience[n:]
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
	each map[exchange.RequestID]string // by id, where the webhooks of a bundle fared differently
	keep bool                          // the connection may be used again
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
	if k.called && f.what != gateway.Delivered && f.what != gateway.ConnectFailed {
		f.what = gateway.Cancelled
	}
	s.mu.Unlock()
	took := exchange.Now() - at
	for _, w := range k.webhooks {
		what, over := f.what, f.over
		if f.each != nil {
			what, over = bundleEnd(f.each[w.RequestID])
		}
		s.counts.Outcomes[what].Add(1)
		s.came(w, k.ep.id, what, took, over, f.wait)
	}
}

func (s *Endpoints) connectAndCall(k *call, at gateway.Micros) (fate, *link) {
	l, room := s.take(k.ep)
	if !room {
		return fate{what: gateway.NotSent}, nil
	}
	if l == nil {
		var err error
		s.counts.Connections.Add(1)
		if l, err = dial(k.ep.addr, exchange.Span(min(s.connectTimeout, k.patience))); err != nil {
			s.mu.Lock()
			s.open--
			s.mu.Unlock()
			return fate{what: gateway.ConnectFailed}, nil
		}
	}
	// Guards the rules on drains and waits: what was told while this call connected holds for its first byte.
	s.mu.Lock()
	late := !k.ep.listed || exchange.Now() < s.waits[k.ep.route] || s.ended
	k.link = l
	called := k.called
	s.mu.Unlock()
	if late {
		return fate{what: gateway.NotSent, keep: true}, l
	}
	if called {
		return fate{what: gateway.ConnectFailed}, l
	}
	return exchangeOn(l, k, at), l
}

// exchangeOn writes the call and reads its answer. Only what ends before the last byte is written never ran.
func exchangeOn(l *link, k *call, at gateway.Micros) fate {
	left := k.patience - (exchange.Now() - at) // connecting took its part
	until := time.Now().Add(exchange.Span(left))
	if err := l.SetDeadline(until); err != nil {
		return fate{what: gateway.ConnectFailed}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fill(req, k, left)
	out := bufio.NewWriterSize(l, 4096)
	if err := errors.Join(req.Write(out), out.Flush()); err != nil {
		return fate{what: gateway.ConnectFailed}
	}
	first, _ := l.in.Peek(len(deliveredLine))
	delivered := len(k.webhooks) == 1 && string(first) == deliveredLine
	if err := resp.ReadLimitBody(l.in, mostAnswer); err != nil {
		if delivered { // by its first line, whatever becomes of the rest: guards against a second copy
			return fate{what: gateway.Delivered}
		}
		// By the clock: fasthttp's errors don't always tell a deadline from a broken connection.
		if !time.Now().Before(until) {
			return fate{what: gateway.TimedOut}
		}
		return fate{what: gateway.Reset}
	}
	f := read(resp, len(k.webhooks) > 1)
	f.keep = !resp.ConnectionClose() && l.in.Buffered() == 0
	return f
}

const (
	mostAnswer    = 1 << 20
	deliveredLine = "HTTP/1.1 200"
)

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

// read puts an answer into our words. What is not in the protocol's table may have run.
func read(resp *fasthttp.Response, bundle bool) fate {
	f := fate{what: gateway.Errored, wait: seconds(string(resp.Header.Peek("Retry-After")))}
	switch resp.StatusCode() {
	case 200:
		f.what = gateway.Delivered
		if bundle {
			f.each = map[exchange.RequestID]string{}
			for line := range bytes.Lines(resp.Body()) {
				if fields := bytes.Fields(line); len(fields) == 2 {
					f.each[exchange.RequestID(fields[0])] = string(fields[1])
				}
			}
		}
	case 429:
		f.what = gateway.Full
	case 503:
		f.what = gateway.Full
		if len(resp.Header.Peek("X-Egress-Full")) > 0 {
			f.what = gateway.NotSent
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
	return f
}

// bundleEnd is one webhook's end in a bundle; one that the answer leaves out may have run.
func bundleEnd(word string) (what gateway.Outcome, over bool) {
	switch word {
	case "delivered":
		return gateway.Delivered, false
	case "refused":
		return gateway.Full, false
	case "over":
		return gateway.NotSent, true
	case "spent":
		return gateway.NotSent, false
	}
	return gateway.Errored, false
}

// seconds reads a wait, whole or decimal, and rounds it up.
func seconds(text string) gateway.Micros {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0) {
		return 0
	}
	return gateway.Micros(math.Ceil(min(v, 1e6) * float64(gateway.Second)))
}
