package httpserver

import (
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/attempt"
	"rowanlink/serving/placement"
	"rowanlink/serving/routing"
	"rowanlink/serving/upstream"
)

// stream is how far an answer that is a series of events has been passed on.
type stream struct {
	begun  bool   // the head and at least one event have been passed on
	lastID string // of the last event passed on that has one
	filter []byte // room for the events of a run that goes on, without those that were passed on before
}

// isEventStream tells whether an answer is a series of events. On a route for streams one of unknown length is taken
// for it whatever it calls itself, so that it isn't held back.
func isEventStream(route *routing.Route, answer *upstream.Answer) bool {
	if answer.Status != http.StatusOK {
		return false
	}
	if route.Kind == routing.Stream && answer.Length < 0 {
		return true
	}
	kind, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// passStream passes events on as they come, each of them whole. A run that goes on where an earlier one broke off
// keeps that one's head.
func (f *flow) passStream(answer *upstream.Answer, ticket placement.Reservation) (attempt.Outcome, step) {
	if f.stream.begun && !isEventStream(f.route, answer) {
		return attempt.Failed, stepAgain
	}
	reader := newEventReader(answer)
	for {
		events, err := reader.Next()
		if len(events) > 0 || err == io.EOF {
			f.server.options.Placer.ReportProgress(time.Now(), ticket)
			answer.Watch(gapPatience(f.route))
			if !f.passEvents(answer, events) {
				return attempt.Canceled, stepAbort
			}
		}
		if err == io.EOF {
			return attempt.Succeeded, stepDone
		}
		if err != nil {
			return f.brokenStream(err)
		}
	}
}

// passEvents passes whole events on, the head before the first of them. It returns false where the client is gone.
func (f *flow) passEvents(answer *upstream.Answer, events []byte) bool {
	if !f.stream.begun {
		f.stream.begun = true
		copyHead(f.writer.Header(), answer.Header)
		f.writer.Header().Del("Content-Length") // another run may end the stream with other bytes
		f.writer.WriteHeader(answer.Status)
	}
	events = f.stream.advance(events, f.attempts > 0)
	if len(events) == 0 {
		return true
	}
	if _, err := f.writer.Write(events); err != nil {
		return false
	}
	return http.NewResponseController(f.writer).Flush() == nil
}

// brokenStream decides what follows where a stream breaks off.
func (f *flow) brokenStream(err error) (attempt.Outcome, step) {
	outcome := attempt.Broken
	var failure *upstream.Failure
	if errors.As(err, &failure) {
		outcome = failure.Outcome
	}
	if f.stream.begun && (!f.route.Resume || f.stream.lastID == "") {
		return outcome, stepAbort
	}
	return outcome, stepAgain
}

// advance notes the last id among events and returns those to pass on: in a run that goes on after another one,
// none that was passed on before.
func (s *stream) advance(events []byte, goesOn bool) []byte {
	if !goesOn || s.lastID == "" {
		if id, found := lastID(events); found {
			s.lastID = id
		}
		return events
	}
	s.filter = s.filter[:0]
	eachEvent(events, func(event []byte) {
		id, found := eventID(event)
		if found && !above(id, s.lastID) {
			return
		}
		if found {
			s.lastID = id
		}
		s.filter = append(s.filter, event...)
	})
	return s.filter
}

// lastID is the last id among events.
func lastID(events []byte) (id string, found bool) {
	for end := len(events); end > 0; {
		begin := lastEventEnd(events[:end-1], 0)
		if id, found := eventID(events[begin:end]); found {
			return id, true
		}
		end = begin
	}
	return "", false
}

// above tells whether an id comes after another one. Ids are whole numbers that rise; others only differ.
func above(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	before, errBefore := strconv.ParseUint(last, 10, 64)
	if err != nil || errBefore != nil {
		return id != last
	}
	return number > before
}
