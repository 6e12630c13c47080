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
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/gateway"
	"rowanlink/internal/facts"
	"rowanlink/internal/socket"
	"rowanlink/node/exchange"
	"rowanlink/node/lifecycle"
)

// Sizes of the protocol.
const (
	mostBody = 64 << 10
	mostID   = 128
)

// Clients is the server that clients connect to.
type Clients struct {
	x      *exchange.Exchange
	life   *lifecycle.Life
	names  facts.Names
	types  []gateway.EventType
	server fasthttp.Server
}

// New makes a server that holds at most mostOpen connections.
func New(x *exchange.Exchange, life *lifecycle.Life, f gateway.Facts, names facts.Names,
	mostOpen int) *Clients {
	s := &Clients{x: x, life: life, names: names, types: f.EventTypes}
	s.server = fasthttp.Server{
		Handler: s.handle, Name: "rowanlink", Concurrency: mostOpen, MaxRequestBodySize: mostBody,
		ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute, WriteTimeout: 10 * time.Second,
		ReadBufferSize: 8 << 10, DisablePreParseMultipartForm: true, NoDefaultContentType: true, Logger: quiet{},
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			x.Malformed.Add(1)
			code := fasthttp.StatusBadRequest
			if errors.Is(err, fasthttp.ErrBodyTooLarge) {
				code = fasthttp.StatusRequestEntityTooLarge
			}
			ctx.Error(err.Error(), code)
		},
	}
	return s
}

// quiet keeps fasthttp's own lines, of connections that clients ended, at debug level.
type quiet struct{}

func (quiet) Printf(format string, args ...any) {
	slog.Debug("clients", "format", format, "args", args)
}

// Serve takes connections until Close.
func (s *Clients) Serve(on net.Listener) error { return s.server.Serve(on) }

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
	w, why := s.webhook(ctx)
	if why != "" {
		s.x.Malformed.Add(1)
		slog.Info("webhook not understood", "why", why)
		ctx.Error(why, fasthttp.StatusBadRequest)
		return
	}
	// Guards against a webhook that its client has handed in elsewhere meanwhile: this process stood still.
	if _, gone := socket.Look(ctx.Conn()); gone {
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
		s.x.Malformed.Add(1)
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
func (s *Clients) webhook(ctx *fasthttp.RequestCtx) (w *exchange.Webhook, why string) {
	now := exchange.Now() // its time counts from before
	h := &ctx.Request.Header
	id, token := string(h.Peek("Request-Id")), string(h.Peek("Idempotency-Key"))
	if !plain(id) {
		return nil, "Request-Id is missing or not plain text"
	}
	class := string(h.Peek("Request-Class"))
	evt := slices.Index(s.names.EventTypes, class)
	if class == "" || evt < 0 || evt > math.MaxUint8 {
		return nil, "Request-Class names no event type"
	}
	if token != "" && !plain(token) || token == "" && s.types[evt].Repeat == gateway.Tokened {
		return nil, "Idempotency-Key is missing or not plain text"
	}
	ms, err := strconv.ParseInt(string(h.Peek("Request-Timeout-Ms")), 10, 32)
	if err != nil || ms <= 0 {
		return nil, "Request-Timeout-Ms is not a number of milliseconds"
	}
	dest, ok := destination(string(h.Peek("X-Route-To")))
	if !ok {
		return nil, "X-Route-To names no dest"
	}
	w = &exchange.Webhook{RequestID: exchange.RequestID(id), Token: exchange.Token(token),
		Body: bytes.Clone(ctx.PostBody()), Destination: dest,
		Event: gateway.EventTypeID(evt), Tenant: math.MaxUint32, TTL: now + gateway.Micros(ms)*1000, CameAt: now}
	if i := slices.Index(s.names.Tenants, string(h.Peek("Tenant"))); i >= 0 {
		w.Tenant = gateway.TenantID(i)
	}
	if key := h.Peek("Affinity-Key"); len(key) > 0 {
		sum := fnv.New64a()
		sum.Write(key)
		w.Key = gateway.Key(max(sum.Sum64(), 1))
	}
	return w, ""
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
			n, err := strconv.ParseUint(number, 10, 16)
			return gateway.DestinationID(n), err == nil
		}
	}
	return 0, false
}
