// Package clients takes webhooks in from those who hand them in.
package clients

import (
	"bytes"
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/gateway"
	"rowanlink/internal/facts"
	"rowanlink/internal/socket"
	"rowanlink/node/exchange"
	"rowanlink/node/lifecycle"
)

// The protocol's sizes, and how long a client may be silent: it waits for its answer so long itself, and an
// idle connection may be closed after 2 s.
const (
	mostBody = 64 << 10
	mostID   = 128
	within   = 5 * time.Microsecond * time.Duration(exchange.AnswerWithin) / 2
	idleFor  = 2 * time.Second
)

// Clients is the server that clients connect to.
type Clients struct {
	x      *exchange.Exchange
	life   *lifecycle.Life
	terms  atomic.Pointer[terms]
	server fasthttp.Server
	most   int          // connections
	spare  int          // idle ones
	told   atomic.Int64 // second in which a webhook not understood was last logged
}

// terms are what webhooks are read by.
type terms struct {
	facts.Names
	types []gateway.EventType
}

// Renew has webhooks that come from now on read by other settings.
func (s *Clients) Renew(f gateway.Facts, names facts.Names) {
	s.terms.Store(&terms{names, f.EventTypes})
}

// New makes a server that holds at most mostOpen connections, mostIdle of them idle.
func New(x *exchange.Exchange, life *lifecycle.Life, f gateway.Facts, names facts.Names,
	mostOpen, mostIdle int) *Clients {
	s := &Clients{x: x, life: life, most: mostOpen, spare: mostIdle}
	s.Renew(f, names)
	s.server = fasthttp.Server{
		Handler: s.handle, Name: "rowanlink", MaxRequestBodySize: mostBody,
		Concurrency: 2 * mostOpen, // the door holds the limit; those that it closed are still winding up
		ReadTimeout: within, IdleTimeout: idleFor, WriteTimeout: within, ReduceMemoryUsage: true,
		ReadBufferSize: 8 << 10, DisablePreParseMultipartForm: true, NoDefaultContentType: true, Logger: quiet{},
		SecureErrorLogMessage: true, // no part of a webhook in the log
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			s.misunderstood(err.Error())
			code := fasthttp.StatusBadRequest
			if errors.Is(err, fasthttp.ErrBodyTooLarge) {
				code = fasthttp.StatusRequestEntityTooLarge
			}
			ctx.Error(err.Error(), code)
		},
		ConnState: func(c net.Conn, is fasthttp.ConnState) {
			if is == fasthttp.StateIdle { // its answer is written
				c.(*guest).answered()
			}
		},
	}
	return s
}

// misunderstood counts what can't be used, and logs one of a second: guards the log against a flood.
func (s *Clients) misunderstood(why string) {
	s.x.Malformed.Add(1)
	if now := time.Now().Unix(); s.told.Swap(now) != now {
		slog.Info("webhook not understood, others of this second are only counted", "why", why)
	}
}

// quiet keeps fasthttp's own lines, of connections that clients ended, at debug level.
type quiet struct{}

func (quiet) Printf(format string, args ...any) {
	slog.Debug("clients", "format", format, "args", args)
}

// Serve takes connections until Close.
func (s *Clients) Serve(on net.Listener) error { return s.server.Serve(newDoor(on, s.most, s.spare)) }

// Close stops listening and waits for what is being answered, until the time is up.
func (s *Clients) Close(within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return s.server.ShutdownWithContext(ctx)
}

func (s *Clients) handle(ctx *fasthttp.RequestCtx) {
	defer func() { // last, since an error resets the answer
		if !s.life.Ready() { // whoever still has a connection here is to go elsewhere
			ctx.SetConnectionClose()
		}
	}()
	switch path := string(ctx.Path()); {
	case path == "/api" && ctx.IsPost():
		s.api(ctx)
	case path == "/api":
		ctx.Error("webhooks are handed in by POST", fasthttp.StatusMethodNotAllowed)
	case path == "/health/live", path == "/health/ready" && s.life.Ready():
		ctx.SetBodyString("ok\n")
	case path == "/health/ready":
		ctx.Error(s.life.Phase().String(), fasthttp.StatusServiceUnavailable)
	case path == "/metrics":
		ctx.SetContentType("text/plain; version=0.0.4")
		s.x.Print(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// api takes one webhook in. It is answered when it was decided whether it is taken on.
func (s *Clients) api(ctx *fasthttp.RequestCtx) {
	g := ctx.Conn().(*guest)
	w, why := s.webhook(ctx, g)
	quiet, gone := socket.Look(g)
	if why == "" && !quiet && !gone {
		why = "more has come than the webhook's length"
	}
	if why != "" { // what else comes on this connection can't be trusted
		s.misunderstood(why)
		ctx.Error(why, fasthttp.StatusBadRequest)
		ctx.SetConnectionClose()
		return
	}
	// Guards against a destination that is none: it would wait out its TTL in the buffer. One that a list has
	// not named yet may come: trying again is harmless.
	if !s.x.Named(w.Destination) {
		s.misunderstood("dest is on no list")
		ctx.Error("dest is on no list", fasthttp.StatusServiceUnavailable)
		return
	}
	// Guards against a webhook that its client has handed in elsewhere meanwhile: this process stood still.
	if gone || !g.asks() {
		s.x.Rejected.Add(1)
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	what, retryIn := s.x.HandIn(w)
	switch what {
	case exchange.Taken:
		s.x.Accepted.Add(1)
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	case exchange.Doubled:
		s.misunderstood("Request-Id is held already")
		ctx.Error("this Request-Id is held already", fasthttp.StatusConflict)
	default:
		s.x.Rejected.Add(1)
		if retryIn > 0 { // decimal seconds, rounded up to whole milliseconds
			after := strconv.FormatFloat(math.Ceil(float64(retryIn)/1e3)/1e3, 'f', 3, 64)
			ctx.Response.Header.Set("Retry-After", after)
		}
		ctx.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not taken on, come again\n")
	}
}

// webhook takes the few fields out that are decided on; body, id and token stay as they came.
func (s *Clients) webhook(ctx *fasthttp.RequestCtx, g *guest) (w *exchange.Webhook, why string) {
	now := exchange.Now() // its time counts from before
	h := &ctx.Request.Header
	length, coding := times(h, "Content-Length"), times(h, "Transfer-Encoding")
	switch {
	case length+coding > 1 || coding == 1 && h.ContentLength() != -1:
		return nil, "more than one thing tells where the body ends"
	case coding == 0 && !g.fits(len(ctx.PostBody())):
		return nil, "more has come than the webhook's length"
	case max(times(h, "Request-Id"), times(h, "Request-Class"), times(h, "Request-Timeout-Ms"),
		times(h, "X-Route-To"), times(h, "Idempotency-Key")) > 1:
		return nil, "a header is doubled"
	}
	id, token := string(h.Peek("Request-Id")), string(h.Peek("Idempotency-Key"))
	if !plain(id) {
		return nil, "Request-Id is missing or not plain text"
	}
	class, by := string(h.Peek("Request-Class")), s.terms.Load()
	evt := slices.Index(by.EventTypes, class)
	if class == "" || evt < 0 || evt > math.MaxUint8 {
		return nil, "Request-Class names no event type"
	}
	if token != "" && !plain(token) || token == "" && by.types[evt].Repeat == gateway.Tokened {
		return nil, "Idempotency-Key is missing or not plain text"
	}
	ms, err := strconv.ParseInt(string(h.Peek("Request-Timeout-Ms")), 10, 32)
	ttl, longest := gateway.Micros(ms)*1000, by.types[evt].TTL
	if err != nil || ms <= 0 || ttl > 2*longest {
		return nil, "Request-Timeout-Ms is no usable number of milliseconds"
	}
	dest, ok := destination(string(h.Peek("X-Route-To")))
	if !ok {
		return nil, "X-Route-To names no dest"
	}
	w = &exchange.Webhook{RequestID: exchange.RequestID(id), Token: exchange.Token(token),
		Body: bytes.Clone(ctx.PostBody()), Destination: dest,
		Event: gateway.EventTypeID(evt), Tenant: math.MaxUint32, TTL: now + min(ttl, longest), CameAt: now}
	if i := slices.Index(by.Tenants, string(h.Peek("Tenant"))); i >= 0 {
		w.Tenant = gateway.TenantID(i)
	}
	if key := h.Peek("Affinity-Key"); len(key) > 0 {
		sum := fnv.New64a()
		sum.Write(key)
		w.Key = gateway.Key(max(sum.Sum64(), 1))
	}
	return w, ""
}

// times counts how often a header stands in a head as it came: guards against one that is read two ways.
func times(h *fasthttp.RequestHeader, name string) (n int) {
	for line := range bytes.Lines(h.RawHeaders()) {
		key, _, _ := bytes.Cut(line, []byte(":"))
		if strings.EqualFold(string(bytes.TrimSpace(key)), name) {
			n++
		}
	}
	return n
}

// plain tells whether a text can stand in a header, a bundle's line and a notice as it is.
func plain(text string) bool {
	odd := func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '"' || r == '\\' }
	return text != "" && len(text) <= mostID && !strings.ContainsFunc(text, odd)
}

// destination reads `dest=7` among whatever else is said of the route.
func destination(text string) (gateway.DestinationID, bool) {
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune(";,& ", r) }) {
		if number, ok := strings.CutPrefix(part, "dest="); ok {
			n, err := strconv.ParseUint(number, 10, 32)
			return gateway.DestinationID(n), err == nil
		}
	}
	return 0, false
}
