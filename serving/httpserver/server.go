// Package httpserver is the HTTP server of a proxy, to which clients connect. Server.ServeHTTP reads a request, picks
// an endpoint (package placement), sends the request to it (package upstream) and relays the response. After a failed
// attempt, the retry policy (package retry) decides whether there is another one. A response up to a certain size is
// buffered, so that the request can be retried if the response breaks off. Streams of server-sent events are relayed
// event by event and can be resumed at another endpoint.
package httpserver

import (
	"bytes"
	"context"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/attempt"
	"rowanlink/serving/event"
	"rowanlink/serving/metrics"
	"rowanlink/serving/placement"
	"rowanlink/serving/retry"
	"rowanlink/serving/routing"
	"rowanlink/serving/upstream"
)

// EndpointPicker picks endpoints for requests and receives the results of the attempts. It is implemented by
// *placement.Picker.
type EndpointPicker interface {
	Pick(now time.Time, request placement.Request) (placement.Choice, placement.Decision)
	CancelWait(now time.Time, ticket *placement.Ticket)
	RetryAfter(now time.Time, request placement.Request) time.Duration
	ReportProgress(now time.Time, reservation placement.Reservation)
	ReportOutcome(now time.Time, reservation placement.Reservation, outcome attempt.Outcome)
}

// RetryPolicy decides whether failed attempts are retried. It is implemented by *retry.Policy.
type RetryPolicy interface {
	CountRequest(now time.Time, service string)
	Decide(now time.Time, failed retry.FailedAttempt) retry.Decision
}

// Options are the parameters of a server. All fields are required, except for ReadinessListener, MaxConnections and
// MaxBodyMemory.
type Options struct {
	ClientListener    net.Listener // for clients' requests
	ReadinessListener net.Listener // for the platform's readiness checks and for metrics; nil: none
	RoutingTable      func() *routing.Table
	Ready             func() bool // whether the process has all the state that it needs to serve
	// ConnectionShare returns how many connections this process may have to one endpoint of a service.
	ConnectionShare func(*routing.Service) int
	Picker          EndpointPicker
	RetryPolicy     RetryPolicy
	Pool            *upstream.Pool
	Log             *zerolog.Logger

	MaxConnections int   // of clients; zero: defaultMaxConnections
	MaxBodyMemory  int64 // bytes of large bodies in memory at once; zero: defaultMaxBodyMemory
}

// Defaults and limits of a server.
const (
	defaultMaxConnections = 2000
	defaultMaxBodyMemory  = 64 << 20
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = time.Minute
	// maxHeadSize bounds the headers of a request, in bytes, even if the configured limit is larger.
	maxHeadSize = 1 << 20
	// idleMargin is how much longer an idle connection stays open than the client has been told, so that a request
	// which the client sends at the last moment still arrives in time.
	idleMargin = 2 * time.Second
)

// Server serves clients' requests. Use New to create one.
type Server struct {
	options         Options
	listener        *listener
	clientServer    *http.Server
	readinessServer *http.Server
	bodyMemory      bodyMemory

	metrics   *serverMetrics
	inFlight  atomic.Int64 // requests
	draining  atomic.Bool  // graceful shutdown has begun
	rejecting atomic.Bool  // new requests are rejected

	sleep func(context.Context, time.Duration) bool // ctxsleep.Sleep; replaced in tests of Drain
}

// New returns a server that accepts no connections until Start is called.
func New(options Options) *Server {
	if options.MaxConnections <= 0 {
		options.MaxConnections = defaultMaxConnections
	}
	if options.MaxBodyMemory <= 0 {
		options.MaxBodyMemory = defaultMaxBodyMemory
	}
	s := &Server{options: options, bodyMemory: bodyMemory{limit: options.MaxBodyMemory}, sleep: ctxsleep.Sleep}
	s.metrics = newServerMetrics(s.InFlight)
	s.listener = newListener(options.ClientListener, options.MaxConnections, s.readTimeouts, s.logConnectionLimit)
	s.clientServer = &http.Server{
		Handler:                      s,
		MaxHeaderBytes:               maxHeadSize,
		DisableGeneralOptionsHandler: true,
		ConnState:                    recordConnState,
		ConnContext:                  withConnection,
		ErrorLog:                     stdlog.New(errorLogWriter{options.Log}, "", 0),
	}
	readiness := http.NewServeMux()
	readiness.HandleFunc("/", s.serveReadiness)
	readiness.Handle(metrics.Path, metrics.Handler(s.metrics.write))
	s.readinessServer = &http.Server{Handler: readiness, ReadHeaderTimeout: defaultHeaderTimeout}
	return s
}

// Start serves requests and readiness checks in the background, until Close is called or the listeners fail.
func (s *Server) Start() {
	go s.run(s.clientServer, s.listener)
	if s.options.ReadinessListener != nil {
		go s.run(s.readinessServer, s.options.ReadinessListener)
	}
}

// run serves a listener until it is closed or fails. It logs an error that isn't caused by a shutdown.
func (s *Server) run(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		event.ListenerFailed.Log(s.options.Log).Err(err).Send()
	}
}

// Close closes all connections at once.
func (s *Server) Close() {
	_ = s.clientServer.Close() // errors are ignored: the connections are of no further use
	_ = s.readinessServer.Close()
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Ready reports whether clients should be sent to this process.
func (s *Server) Ready() bool { return !s.draining.Load() && s.options.Ready() }

// serveReadiness answers the platform's readiness check.
func (s *Server) serveReadiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != "/readiness":
		w.WriteHeader(http.StatusNotFound)
	case s.Ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// readTimeouts returns the timeouts for reading a request's headers and for idle connections.
func (s *Server) readTimeouts() (header, idle time.Duration) {
	header, idle = defaultHeaderTimeout, defaultIdleTimeout
	if table := s.options.RoutingTable(); table != nil {
		if table.Limits.HeaderTimeout > 0 {
			header = table.Limits.HeaderTimeout
		}
		if table.Limits.IdleTimeout > 0 {
			idle = table.Limits.IdleTimeout + idleMargin
		}
	}
	return header, idle
}

// keepAlive returns the value of the Keep-Alive header that is sent to clients; empty: no such header.
func (s *Server) keepAlive() string {
	table := s.options.RoutingTable()
	if table == nil || table.Limits.IdleTimeout < time.Second {
		return ""
	}
	return "timeout=" + strconv.Itoa(int(table.Limits.IdleTimeout/time.Second))
}

func (s *Server) logConnectionLimit() { event.ConnectionLimitReached.Log(s.options.Log).Send() }

// errorLogWriter turns the log lines of net/http into log events.
type errorLogWriter struct{ log *zerolog.Logger }

func (l errorLogWriter) Write(line []byte) (int, error) {
	event.ClientServerFailed.Log(l.log).Bytes(zerolog.ErrorFieldName, bytes.TrimSpace(line)).Send()
	return len(line), nil
}
