package httpserver

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/errcode"
	"rowanlink/serving/routing"
)

const (
	// writeGrace is how long after a request's end its last bytes may still be written to a slow client.
	writeGrace = time.Second
	// noConfigurationRetryAfter is what clients are told while no configuration is known.
	noConfigurationRetryAfter = 250 * time.Millisecond
	// drainingRetryAfter is what clients are told by a process that ends: another one can serve them at once.
	drainingRetryAfter = 20 * time.Millisecond
)

// ServeHTTP answers one request of a client.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	w = &keepAliveWriter{ResponseWriter: w, server: s}
	table := s.options.RoutingTable()
	if table == nil {
		s.rejectUnrouted(w, r, arrived, errcode.NoConfiguration, noConfigurationRetryAfter)
		return
	}
	if s.rejecting.Load() {
		s.rejectUnrouted(w, r, arrived, errcode.ShuttingDown, drainingRetryAfter)
		return
	}
	route, found := table.Match(r.Host, pathOfTarget(requestTarget(r)))
	if !found {
		s.rejectUnrouted(w, r, arrived, errcode.NoRoute, 0)
		return
	}
	read := request{httpRequest: r, table: table, route: route, arrivedAt: arrived,
		deadline: deadline(arrived, r.Header, route.Timeout)}
	if err := s.readRequest(&read, table.Limits); err != nil {
		s.respondReadError(w, err, time.Until(read.deadline))
		return
	}
	defer s.bodyMemory.release(r.ContentLength)
	read.placement = placementRequest(route, r.Header)
	run := &forwarder{server: s, request: &read, writer: w, ctx: r.Context()}
	run.forward()
}

// keepAliveWriter tells each client, with the head of its answer, how its connection goes on.
type keepAliveWriter struct {
	http.ResponseWriter
	server *Server
}

// Unwrap is for http.ResponseController.
func (w *keepAliveWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the head.
func (w *keepAliveWriter) WriteHeader(status int) {
	header := w.Header()
	if w.server.draining.Load() || w.server.listener.isNearLimit() {
		header.Set("Connection", "close")
	} else if seconds := w.server.keepAlive(); seconds != "" && header.Get("Connection") == "" {
		header.Set("Keep-Alive", seconds)
	}
	w.ResponseWriter.WriteHeader(status)
}

// readRequest takes the request in whole, within the operator's limits.
func (s *Server) readRequest(to *request, limits routing.Limits) error {
	r := to.httpRequest
	if limits.HeaderBytes > 0 && headSize(r) > limits.HeaderBytes {
		return errcode.HeaderTooLarge.With("over %d bytes", limits.HeaderBytes)
	}
	client := connectionFromContext(r.Context())
	if client != nil {
		client.startServing(bodyDeadline(r, to.deadline))
	}
	body, err := readBody(r, limits.BodyBytes, &s.bodyMemory)
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

// bodyDeadline is when the body must have come; zero where there is none.
func bodyDeadline(r *http.Request, end time.Time) time.Time {
	if r.ContentLength == 0 {
		return time.Time{}
	}
	return end
}

// respondReadError answers a request that was not read whole.
func (s *Server) respondReadError(w http.ResponseWriter, err error, left time.Duration) {
	if errors.Is(err, errClientDisconnected) {
		panic(http.ErrAbortHandler)
	}
	kind := errcode.Of(err).Kind
	w.Header().Set("Connection", "close")
	retryAfter := time.Duration(0)
	if kind.Status == http.StatusServiceUnavailable {
		retryAfter = clampRetryAfter(noConfigurationRetryAfter, left)
	}
	respondError(w, kind, retryAfter)
}

// rejectUnrouted answers a request that is not even tried. Its body is read all the same, so that the answer arrives.
func (s *Server) rejectUnrouted(w http.ResponseWriter, r *http.Request, arrived time.Time, kind errcode.Kind,
	wanted time.Duration) {
	end := deadline(arrived, r.Header, defaultTimeout)
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
