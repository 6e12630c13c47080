package httpserver

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/errcode"
	"rowanlink/serving/routing"
)

const (
	// writeGrace is how long after a request's deadline its last bytes may still be written to a slow client.
	writeGrace = time.Second
	// noConfigurationRetryAfter is sent while no configuration is known.
	noConfigurationRetryAfter = 250 * time.Millisecond
	// drainingRetryAfter is sent by a process that shuts down: another one can serve the client at once.
	drainingRetryAfter = 20 * time.Millisecond
)

// ServeHTTP serves one request of a client: it finds the route, reads the request, and forwards it to an endpoint.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	w = &responseWriter{ResponseWriter: w, server: s, arrivedAt: arrivedAt}

	table := s.options.RoutingTable()
	if table == nil {
		s.rejectUnrouted(w, r, arrivedAt, errcode.NoConfiguration, noConfigurationRetryAfter)
		return
	}
	if s.rejecting.Load() {
		s.rejectUnrouted(w, r, arrivedAt, errcode.ShuttingDown, drainingRetryAfter)
		return
	}
	route, found := table.Match(r.Host, pathOfTarget(requestTarget(r)))
	if !found {
		s.rejectUnrouted(w, r, arrivedAt, errcode.NoRoute, 0)
		return
	}

	read := request{
		httpRequest: r,
		table:       table,
		route:       route,
		arrivedAt:   arrivedAt,
		deadline:    deadline(arrivedAt, r.Header, route.Timeout),
	}
	if err := s.readRequest(r.Context(), &read, table.Limits); err != nil {
		s.respondReadError(w, err, time.Until(read.deadline))
		return
	}
	defer s.bodyMemory.release(r.ContentLength)
	read.placement = placementRequest(route, r.Header)
	f := &forwarder{server: s, request: &read, writer: w}
	f.forward(r.Context())
}

// responseWriter counts each response, and adds to its header how the client's connection continues.
type responseWriter struct {
	http.ResponseWriter
	server    *Server
	arrivedAt time.Time
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the status line and the headers.
func (w *responseWriter) WriteHeader(status int) {
	w.server.metrics.countResponse(status, w.arrivedAt)
	header := w.Header()
	if w.server.draining.Load() || w.server.listener.isNearLimit() {
		header.Set("Connection", "close")
	} else if timeout := w.server.keepAlive(); timeout != "" && header.Get("Connection") == "" {
		header.Set("Keep-Alive", timeout)
	}
	w.ResponseWriter.WriteHeader(status)
}

// readRequest reads the complete request, within the operator's limits.
func (s *Server) readRequest(ctx context.Context, to *request, limits routing.Limits) error {
	r := to.httpRequest
	if limits.MaxHeaderBytes > 0 && headSize(r) > limits.MaxHeaderBytes {
		return errcode.HeaderTooLarge.With("over %d bytes", limits.MaxHeaderBytes)
	}
	client := connectionFromContext(ctx)
	if client != nil {
		client.startServing(bodyDeadline(r, to.deadline))
	}
	body, err := readBody(r, limits.MaxBodyBytes, &s.bodyMemory)
	if err != nil {
		return err
	}
	if client != nil {
		client.startServing(time.Time{})
		_ = client.SetWriteDeadline(to.deadline.Add(writeGrace)) // a closed connection shows at the next write
	}
	to.body = body
	to.hasBody = r.ContentLength != 0 || r.Method == http.MethodPost || r.Method == http.MethodPut
	dropConnectionHeaders(r.Header)
	return nil
}

// bodyDeadline returns the time by which the body must have arrived; zero if there is none.
func bodyDeadline(r *http.Request, deadline time.Time) time.Time {
	if r.ContentLength == 0 {
		return time.Time{}
	}
	return deadline
}

// respondReadError responds to a request that could not be read completely.
func (s *Server) respondReadError(w http.ResponseWriter, err error, timeLeft time.Duration) {
	if errors.Is(err, errClientDisconnected) {
		panic(http.ErrAbortHandler)
	}
	kind := errcode.Of(err).Kind
	w.Header().Set("Connection", "close")
	retryAfter := time.Duration(0)
	if kind.Status == http.StatusServiceUnavailable {
		retryAfter = clampRetryAfter(noConfigurationRetryAfter, timeLeft)
	}
	respondError(w, kind, retryAfter)
}

// rejectUnrouted responds to a request for which no attempt is made. Its body is read nevertheless, so that the
// response reaches the client.
func (s *Server) rejectUnrouted(
	w http.ResponseWriter, r *http.Request, arrivedAt time.Time, kind errcode.Kind, wanted time.Duration,
) {
	end := deadline(arrivedAt, r.Header, defaultTimeout)
	if client := connectionFromContext(r.Context()); client != nil {
		client.startServing(bodyDeadline(r, end))
		_ = client.SetWriteDeadline(end.Add(writeGrace)) // a closed connection shows at the next write
	}
	if _, err := readBody(r, defaultBodyLimit, &s.bodyMemory); err != nil {
		s.respondReadError(w, err, time.Until(end))
		return
	}
	s.bodyMemory.release(r.ContentLength)
	retryAfter := time.Duration(0)
	if kind.Status == http.StatusServiceUnavailable {
		retryAfter = clampRetryAfter(wanted, time.Until(end))
	}
	respondError(w, kind, retryAfter)
}
