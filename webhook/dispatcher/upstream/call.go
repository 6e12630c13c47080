package upstream

import (
	"bytes"
	"log/slog"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// call is one call out.
type call struct {
	ep       *endpoint
	webhooks []*inflight.Webhook
	patience api.Micros
	latest   api.Micros // it does not begin after that
	link     *link
	called   bool // called off
}

// fate is what came of a call as a whole.
type fate struct {
	what api.Outcome
	over bool
	wait api.Micros
	each map[inflight.RequestID]share // by id, where the webhooks of a bundle fared differently
	keep bool                         // the connection may be used again

	// Turned away without a wait, and the connection with it: on its first call that is said of the connection,
	// one too many, and not of the destination's limit.
	tooMany bool
}

// run makes one call from connect to answer.
func (s *Client) run(k *call, at api.Micros) {
	f, l := s.connectAndCall(k, at)
	if l != nil && f.keep {
		s.keep(k.ep, l)
	}
	s.mu.Lock()
	if l != nil && !f.keep {
		s.close(l)
	}
	if f.wait > 0 {
		s.waits[k.ep.route] = max(s.waits[k.ep.route], inflight.Now()+f.wait)
	}
	for _, w := range k.webhooks {
		delete(s.out, w.ID)
	}
	k.ep.out--
	if k.called && f.what != api.Delivered && f.what != api.ConnectFailed {
		f.what = api.Cancelled
	}
	s.mu.Unlock()
	took := inflight.Now() - at
	for _, w := range k.webhooks {
		what, over := f.what, f.over
		if f.each != nil {
			what, over = f.each[w.RequestID].what, f.each[w.RequestID].over
		}
		s.counts.Outcomes[what].Add(1)
		w.Trace(inflight.OutcomeName(what), k.ep.id, took)
		s.came(w, k.ep.id, what, took, over, f.wait)
	}
}

// connectAndCall calls on an idle link, or else on a new one. A link that says or ends something before the
// last byte of the call is written is no longer of use, and the call has not been made: another link is
// taken.
func (s *Client) connectAndCall(k *call, at api.Micros) (fate, *link) {
	for {
		l, room := s.take(k.ep)
		if !room {
			return fate{what: api.NotSent}, nil
		}
		used := l != nil
		if !used {
			var err error
			s.counts.Connections.Add(1)
			now := inflight.Now()
			within := max(min(api.Micros(s.connectTimeout.Load()), k.patience-(now-at), k.latest-now), 1)
			if l, err = dial(k.ep.addr, inflight.Duration(within)); err != nil {
				s.mu.Lock()
				s.open--
				s.mu.Unlock()
				return fate{what: api.ConnectFailed}, nil
			}
		}
		// Guards the rules on drains, waits and effects: what was told while this call connected, and the time for
		// which a token is remembered, hold for its first byte.
		s.mu.Lock()
		now := inflight.Now()
		late := !k.ep.listed || now < s.waits[k.ep.route] || now > k.latest || s.ended
		k.link = l
		called := k.called
		s.mu.Unlock()
		if late || !s.may(k) {
			return fate{what: api.NotSent, keep: true}, l
		}
		if called {
			return fate{what: api.ConnectFailed}, l
		}
		left := k.patience - (inflight.Now() - at) // connecting took its part
		until := time.Now().Add(inflight.Duration(left))
		switch written := l.write(request(k, left), until, func() bool { return s.may(k) }); {
		case written:
			for _, w := range k.webhooks {
				w.Trace("written", k.ep.id, inflight.Now()-at)
			}
			f := s.answer(l, k, until)
			if f.tooMany && !used {
				f.what = api.ConnectionLimited
			}
			return f, l
		case !s.may(k): // the grant ended between first and last byte: it never ran
			return fate{what: api.NotSent}, l
		case !used || !time.Now().Before(until):
			return fate{what: api.ConnectFailed}, l
		}
		s.mu.Lock()
		k.link = nil
		s.close(l)
		s.mu.Unlock()
	}
}

// request is a call as it goes out.
func request(k *call, left api.Micros) []byte {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	fill(req, k, left)
	var out bytes.Buffer
	if _, err := req.WriteTo(&out); err != nil {
		slog.Error("call not written", "err", err) // never: what was handed in is plain
	}
	return out.Bytes()
}

func fill(req *fasthttp.Request, k *call, left api.Micros) {
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
