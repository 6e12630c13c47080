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
	// writeGrace is how long after a request's deadline the rest of its response may still be written to a slow client.
	writeGrace = time.Second
	// unavailableRetryAfter is the Retry-After that is sent if no configuration is known or too many large bodies are
	// in memory.
	unavailableRetryAfter = 250 * time.Millisecond
	// drainingRetryAfter is the Retry-After that a process sends while it is shutting down. It is short, since another
	// proxy can serve the client at once.
	drainingRetryAfter = 20 * time.Millisecond
)

// ServeHTTP serves one request of a client: it finds the route, reads the request, and forwards the request to an
// endpoint.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	w = &responseWriter{ResponseWriter: w, server: s, arrivedAt: arrivedAt}

	table := s.options.RoutingTable()
	if table == nil {
		s.rejectUnrouted(w, r, arrivedAt, errcode.NoConfiguration, unavailableRetryAfter)
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

	req := request{
		httpRequest: r,
		table:       table,
		route:       route,
		arrivedAt:   arrivedAt,
		deadline:    deadline(arrivedAt, r.Header, route.Timeout),
	}
	if err := s.readRequest(r.Context(), &req, table.Limits); err != nil {
		s.respondReadError(w, err, time.Until(req.deadline))
		return
	}
	defer s.bodyMemory.release(r.ContentLength)
	req.placement = placementRequest(route, r.Header)
	req.maxOutputTokens = req.placement.MaxOutputTokens
	f := &forwarder{server: s, request: &req, writer: w}
	f.forward(r.Context())
}

// responseWriter counts each response, and sets the headers that tell the client whether and how long its connection
// stays open.
type responseWriter struct {
	http.ResponseWriter
	server    *Server
	arrivedAt time.Time
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the status line and the headers. While the server drains, or is close to its limit of
// connections, the connection is closed after the response.
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

// readRequest reads the body into req, within the configured limits, and sets the deadlines of the client's connection.
func (s *Server) readRequest(ctx context.Context, req *request, limits routing.Limits) error {
	r := req.httpRequest
	if limits.MaxHeaderBytes > 0 && headSize(r) > limits.MaxHeaderBytes {
		return errcode.HeaderTooLarge.With("over %d bytes", limits.MaxHeaderBytes)
	}
	client := connectionFromContext(ctx)
	if client != nil {
		client.startServing(bodyDeadline(r, req.deadline))
	}
	body, err := readBody(r, limits.MaxBodyBytes, &s.bodyMemory)
	if err != nil {
		return err
	}
	if client != nil {
		client.startServing(time.Time{})
		// An error means that the connection is closed, which the next write reports.
		_ = client.SetWriteDeadline(req.deadline.Add(writeGrace))
	}
	req.body = body
	req.hasBody = r.ContentLength != 0 || r.Method == http.MethodPost || r.Method == http.MethodPut
	dropConnectionHeaders(r.Header)
	return nil
}

// bodyDeadline returns the time by which the body must have arrived; zero if the request has no body.
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
		retryAfter = clampRetryAfter(unavailableRetryAfter, timeLeft)
	}
	respondError(w, kind, retryAfter)
}

// rejectUnrouted responds with an error to a request that is not routed. It reads the body nevertheless: if
// the connection were closed with unread data, the client could lose the response.
func (s *Server) rejectUnrouted(
	w http.ResponseWriter, r *http.Request, arrivedAt time.Time, kind errcode.Kind, wantedRetryAfter time.Duration,
) {
	end := deadline(arrivedAt, r.Header, defaultTimeout)
	if client := connectionFromContext(r.Context()); client != nil {
		client.startServing(bodyDeadline(r, end))
		// An error means that the connection is closed, which the next write reports.
		_ = client.SetWriteDeadline(end.Add(writeGrace))
	}
	if _, err := readBody(r, defaultBodyLimit, &s.bodyMemory); err != nil {
		s.respondReadError(w, err, time.Until(end))
		return
	}
	s.bodyMemory.release(r.ContentLength)
	retryAfter := time.Duration(0)
	if kind.Status == http.StatusServiceUnavailable {
		retryAfter = clampRetryAfter(wantedRetryAfter, time.Until(end))
	}
	respondError(w, kind, retryAfter)
}
