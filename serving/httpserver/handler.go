package httpserver

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/errcode"
	"rowanlink/serving/routing"
)

const (
	// lateWrite is how long after a request's end its last bytes may still be written to a slow client.
	lateWrite = time.Second
	// unknownComeBack is what clients are told while no configuration is known.
	unknownComeBack = 250 * time.Millisecond
	// endingComeBack is what clients are told by a process that ends: another one can serve them at once.
	endingComeBack = 20 * time.Millisecond
)

// ServeHTTP answers one request of a client.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	w = &headWriter{ResponseWriter: w, server: s}
	table := s.options.Table()
	if table == nil {
		s.turnAway(w, r, arrived, errcode.NoConfiguration, unknownComeBack)
		return
	}
	if s.refusing.Load() {
		s.turnAway(w, r, arrived, errcode.ShuttingDown, endingComeBack)
		return
	}
	route, found := table.Match(r.Host, pathOf(target(r)))
	if !found {
		s.turnAway(w, r, arrived, errcode.NoRoute, 0)
		return
	}
	read := request{http: r, table: table, route: route, arrivedAt: arrived,
		end: deadline(arrived, r.Header, route.Timeout)}
	if err := s.read(&read, table.Limits); err != nil {
		s.answerUnread(w, err, time.Until(read.end))
		return
	}
	defer s.bodies.give(r.ContentLength)
	read.place = placementRequest(route, r.Header)
	run := &flow{server: s, request: &read, writer: w, ctx: r.Context()}
	run.serve()
}

// headWriter tells each client, with the head of its answer, how its connection goes on.
type headWriter struct {
	http.ResponseWriter
	server *Server
}

// Unwrap is for http.ResponseController.
func (w *headWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the head.
func (w *headWriter) WriteHeader(status int) {
	header := w.Header()
	if w.server.draining.Load() || w.server.listener.crowded() {
		header.Set("Connection", "close")
	} else if seconds := w.server.keepAlive(); seconds != "" && header.Get("Connection") == "" {
		header.Set("Keep-Alive", seconds)
	}
	w.ResponseWriter.WriteHeader(status)
}

// read takes the request in whole, within the operator's limits.
func (s *Server) read(to *request, limits routing.Limits) error {
	r := to.http
	if limits.HeaderBytes > 0 && headSize(r) > limits.HeaderBytes {
		return errcode.HeaderTooLarge.With("over %d bytes", limits.HeaderBytes)
	}
	client := connectionOf(r.Context())
	if client != nil {
		client.serve(bodyDeadline(r, to.end))
	}
	body, err := readBody(r, limits.BodyBytes, &s.bodies)
	if err != nil {
		return err
	}
	if client != nil {
		client.serve(time.Time{})
		_ = client.SetWriteDeadline(to.end.Add(lateWrite)) // a closed connection shows at the next write
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

// answerUnread answers a request that was not read whole.
func (s *Server) answerUnread(w http.ResponseWriter, err error, left time.Duration) {
	if errors.Is(err, errClientGone) {
		panic(http.ErrAbortHandler)
	}
	kind := errcode.Of(err).Kind
	w.Header().Set("Connection", "close")
	retryAfter := time.Duration(0)
	if kind.Status == http.StatusServiceUnavailable {
		retryAfter = comeBack(unknownComeBack, left)
	}
	answerOwn(w, kind, retryAfter)
}

// turnAway answers a request that is not even tried. Its body is read all the same, so that the answer arrives.
func (s *Server) turnAway(w http.ResponseWriter, r *http.Request, arrived time.Time, kind errcode.Kind,
	wanted time.Duration) {
	end := deadline(arrived, r.Header, defaultHold)
	if client := connectionOf(r.Context()); client != nil {
		client.serve(bodyDeadline(r, end))
		_ = client.SetWriteDeadline(end.Add(lateWrite)) // a closed connection shows at the next write
	}
	if _, err := readBody(r, defaultBody, &s.bodies); err != nil {
		s.answerUnread(w, err, time.Until(end))
		return
	}
	s.bodies.give(r.ContentLength)
	retryAfter := time.Duration(0)
	if kind.Status == http.StatusServiceUnavailable {
		retryAfter = comeBack(wanted, time.Until(end))
	}
	answerOwn(w, kind, retryAfter)
}
