// Package server is the HTTP server that clients submit webhooks to. It also serves health checks and metrics.
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

// Limits of the protocol.
const (
	maxBody     = 64 << 10 // bytes
	maxIDLength = 128      // bytes
	// readTimeout is how long a client may be silent within a request; the client itself waits two fifths of that for its
	// answer.
	readTimeout = 5 * time.Microsecond * time.Duration(inflight.AnswerTimeout) / 2
	idleTimeout = 2 * time.Second // an idle connection may be closed after it
)

const readBufferSize = 8 << 10 // bytes; also the longest head of a request

// Server is the server that clients connect to.
type Server struct {
	inbox      *inflight.Inbox
	lifecycle  *lifecycle.Lifecycle
	parsing    atomic.Pointer[parseSettings]
	http       fasthttp.Server
	listener   *limitListener
	lastLogged atomic.Int64 // Unix time in seconds at which an invalid request was last counted
}

// New returns a server with at most maxOpen connections, maxIdle of them idle.
func New(inbox *inflight.Inbox, life *lifecycle.Lifecycle, settings api.Settings, catalog config.Catalog,
	maxOpen, maxIdle int) *Server {
	s := &Server{inbox: inbox, lifecycle: life, listener: newLimitListener(maxOpen, maxIdle)}
	s.UpdateSettings(settings, catalog)
	s.http = fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.handleError,
		ConnState:                    onConnState,
		Name:                         "rowanlink",
		Logger:                       debugLogger{},
		MaxRequestBodySize:           maxBody,
		Concurrency:                  2 * maxOpen, // the listener enforces the limit; connections that it closed may still be served
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		WriteTimeout:                 readTimeout,
		ReadBufferSize:               readBufferSize,
		ReduceMemoryUsage:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultContentType:         true,
		SecureErrorLogMessage:        true, // no part of a webhook in the log
	}
	return s
}

// UpdateSettings applies new settings to webhooks that are parsed from now on.
func (s *Server) UpdateSettings(settings api.Settings, catalog config.Catalog) {
	s.parsing.Store(&parseSettings{Catalog: catalog, eventTypes: settings.EventTypes})
}

// Serve accepts connections until Close.
func (s *Server) Serve(on net.Listener) error {
	s.listener.Listener = on
	return s.http.Serve(s.listener)
}

// ClientsGone reports whether no client is connected any more, and none is expected to connect again because it missed an
// answer.
func (s *Server) ClientsGone() bool { return s.listener.clientsGone() }

// Close stops listening and waits for requests that are being answered, at most until the time-out.
func (s *Server) Close(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.http.ShutdownWithContext(ctx)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer func() { // deferred, since ctx.Error resets the response
		if !s.lifecycle.Ready() { // clients that are still connected are to use another dispatcher
			ctx.SetConnectionClose()
		}
	}()
	switch path := string(ctx.Path()); {
	case path == "/api" && ctx.IsPost():
		s.handleWebhook(ctx)
	case path == "/api":
		ctx.Error("webhooks are submitted by POST", fasthttp.StatusMethodNotAllowed)
	case path == "/health/live", path == "/health/ready" && s.lifecycle.Ready():
		ctx.SetBodyString("ok\n")
	case path == "/health/ready":
		ctx.Error(s.lifecycle.Phase().String(), fasthttp.StatusServiceUnavailable)
	case path == "/metrics":
		ctx.SetContentType("text/plain; version=0.0.4")
		s.inbox.WriteMetrics(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// handleWebhook receives one webhook and answers once it is accepted or rejected.
func (s *Server) handleWebhook(ctx *fasthttp.RequestCtx) {
	connection := ctx.Conn().(*clientConn)
	w, err := s.parseWebhook(ctx, connection)
	quiet, clientGone := socket.Inspect(connection)
	if err == nil && !quiet && !clientGone {
		err = errSurplus
	}
	if err != nil {
		s.recordMalformed(err)
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		ctx.SetConnectionClose() // what else arrives on this connection can't be trusted
		return
	}
	// A webhook for a destination that doesn't exist would wait in the buffer for its TTL. One that no list has named yet
	// may be listed later: the client may retry.
	if w.List == "" && !s.inbox.HasDestination(w.Destination) {
		s.recordMalformed(errUnknownDestination)
		ctx.Error(errUnknownDestination.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	// If this process was suspended, the client may have submitted the webhook to another dispatcher meanwhile; and an event
	// loop that has stopped doesn't answer.
	if clientGone || !connection.beginWebhook() || !s.lifecycle.AcceptsWebhooks() {
		s.inbox.Rejected.Add(1)
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.respond(ctx, w)
}

// respond submits the webhook and writes the answer.
func (s *Server) respond(ctx *fasthttp.RequestCtx, w *inflight.Webhook) {
	answer, retryAfter := s.inbox.Submit(w)
	switch answer {
	case inflight.Accepted:
		s.inbox.Accepted.Add(1)
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	case inflight.Duplicate:
		s.recordMalformed(errDuplicate)
		ctx.Error(errDuplicate.Error(), fasthttp.StatusConflict)
	case inflight.Undetermined: // the client will retry, and is recognized by the request id
		ctx.SetConnectionClose()
		_ = ctx.Conn().Close() // no answer: any would be a guess
	default:
		s.inbox.Rejected.Add(1)
		if retryAfter > 0 {
			ctx.Response.Header.Set("Retry-After", formatRetryAfter(retryAfter))
		}
		ctx.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not accepted, submit it again\n")
	}
}

// formatRetryAfter writes decimal seconds, rounded up to whole milliseconds.
func formatRetryAfter(retryAfter api.Micros) string {
	const thousand = 1e3
	return strconv.FormatFloat(math.Ceil(float64(retryAfter)/thousand)/thousand, 'f', 3, 64)
}

// handleError answers a request that can't be read.
func (s *Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	s.recordMalformed(err)
	code := fasthttp.StatusBadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		code = fasthttp.StatusRequestEntityTooLarge
	}
	ctx.Error(err.Error(), code)
}

func onConnState(c net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateIdle { // its answer is written
		c.(*clientConn).finishRequest()
	}
}

// recordMalformed counts an invalid request, and logs at most one per second, so that they can't flood the log.
func (s *Server) recordMalformed(reason error) {
	s.inbox.Malformed.Add(1)
	if now := time.Now().Unix(); s.lastLogged.Swap(now) != now {
		slog.Info("malformed webhook, others of this second are only counted", "reason", reason.Error())
	}
}

// debugLogger logs fasthttp's own lines, of connections that clients ended, at debug level.
type debugLogger struct{}

// Printf implements fasthttp.Logger.
func (debugLogger) Printf(format string, args ...any) {
	slog.Debug("clients' server", "format", format, "args", args)
}
