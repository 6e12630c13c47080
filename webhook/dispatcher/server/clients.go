// Package server takes webhooks in from those who hand them in.
package server

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/internal/socket"
	"rowanlink/webhook/api"
	"rowanlink/webhook/config"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/lifecycle"
)

// The protocol's sizes, and how long a client may be silent: it waits for its answer so long itself, and an
// idle connection may be closed after 2 s.
const (
	mostBody = 64 << 10
	mostID   = 128
	within   = 5 * time.Microsecond * time.Duration(inflight.AnswerTimeout) / 2
	idleFor  = 2 * time.Second
)

// Server is the server that clients connect to.
type Server struct {
	x      *inflight.Inbox
	life   *lifecycle.Lifecycle
	terms  atomic.Pointer[terms]
	server fasthttp.Server
	door   *door
	told   atomic.Int64 // second in which a webhook not understood was last logged
}

// terms are what webhooks are read by.
type terms struct {
	config.Catalog
	types []api.EventType
}

// UpdateSettings has webhooks that come from now on read by other settings.
func (s *Server) UpdateSettings(f api.Settings, names config.Catalog) {
	s.terms.Store(&terms{names, f.EventTypes})
}

// New makes a server that holds at most mostOpen connections, mostIdle of them idle.
func New(x *inflight.Inbox, life *lifecycle.Lifecycle, f api.Settings, names config.Catalog,
	mostOpen, mostIdle int) *Server {
	s := &Server{x: x, life: life, door: newDoor(mostOpen, mostIdle)}
	s.UpdateSettings(f, names)
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
func (s *Server) misunderstood(why string) {
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
func (s *Server) Serve(on net.Listener) error {
	s.door.Listener = on
	return s.server.Serve(s.door)
}

// Gone tells whether no client has a connection here any more, nor comes again for an answer that it missed.
func (s *Server) Gone() bool { return s.door.deserted() }

// Close stops listening and waits for what is being answered, until the time is up.
func (s *Server) Close(within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return s.server.ShutdownWithContext(ctx)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
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
		s.x.WriteMetrics(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// api takes one webhook in. It is answered when it was decided whether it is taken on.
func (s *Server) api(ctx *fasthttp.RequestCtx) {
	g := ctx.Conn().(*guest)
	w, why := s.webhook(ctx, g)
	quiet, gone := socket.Inspect(g)
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
	if w.List == "" && !s.x.HasDestination(w.Destination) {
		s.misunderstood("dest is on no list")
		ctx.Error("dest is on no list", fasthttp.StatusServiceUnavailable)
		return
	}
	// Guards against a webhook that its client has handed in elsewhere meanwhile: this process stood still; and
	// against one that waits for a decider that has ended.
	if gone || !g.asks() || !s.life.AcceptsWebhooks() {
		s.x.Rejected.Add(1)
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	what, retryIn := s.x.Submit(w)
	switch what {
	case inflight.Accepted:
		s.x.Accepted.Add(1)
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	case inflight.Duplicate:
		s.misunderstood("Request-Id is held already")
		ctx.Error("this Request-Id is held already", fasthttp.StatusConflict)
	case inflight.Undetermined: // its client comes again by its own rules, and is known by its name
		ctx.SetConnectionClose()
		ctx.Conn().Close()
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
