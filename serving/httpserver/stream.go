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

// streamProgress is how far an answer that is a series of events has been passed on.
type streamProgress struct {
	started      bool   // the head and at least one event have been passed on
	lastEventID  string // of the last event passed on that has one
	filterBuffer []byte // room for the events of a run that goes on, without those that were passed on before
}

// isEventStream tells whether an answer is a series of events. On a route for streams one of unknown length is taken
// for it whatever it calls itself, so that it isn't held back.
func isEventStream(route *routing.Route, answer *upstream.Response) bool {
	if answer.Status != http.StatusOK {
		return false
	}
	if route.Kind == routing.Stream && answer.Length < 0 {
		return true
	}
	kind, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// relayStream passes events on as they come, each of them whole. A run that goes on where an earlier one broke off
// keeps that one's head.
func (f *forwarder) relayStream(answer *upstream.Response, ticket placement.Reservation) (attempt.Outcome, nextStep) {
	if f.stream.started && !isEventStream(f.route, answer) {
		return attempt.Failed, nextRetry
	}
	reader := newEventReader(answer)
	for {
		events, err := reader.Next()
		if len(events) > 0 || err == io.EOF {
			f.server.options.Picker.ReportProgress(time.Now(), ticket)
			answer.SetProgressTimeout(streamIdleTimeout(f.route))
			if !f.relayEvents(answer, events) {
				return attempt.Canceled, nextAbort
			}
		}
		if err == io.EOF {
			return attempt.Succeeded, nextDone
		}
		if err != nil {
			return f.handleBrokenStream(err)
		}
	}
}

// relayEvents passes whole events on, the head before the first of them. It returns false where the client is gone.
func (f *forwarder) relayEvents(answer *upstream.Response, events []byte) bool {
	if !f.stream.started {
		f.stream.started = true
		copyHead(f.writer.Header(), answer.Header)
		f.writer.Header().Del("Content-Length") // another run may end the stream with other bytes
		f.writer.WriteHeader(answer.Status)
	}
	events = f.stream.filterRelayed(events, f.attempts > 0)
	if len(events) == 0 {
		return true
	}
	if _, err := f.writer.Write(events); err != nil {
		return false
	}
	return http.NewResponseController(f.writer).Flush() == nil
}

// handleBrokenStream decides what follows where a stream breaks off.
func (f *forwarder) handleBrokenStream(err error) (attempt.Outcome, nextStep) {
	outcome := attempt.Broken
	var failure *upstream.Failure
	if errors.As(err, &failure) {
		outcome = failure.Outcome
	}
	if f.stream.started && (!f.route.Resume || f.stream.lastEventID == "") {
		return outcome, nextAbort
	}
	return outcome, nextRetry
}

// filterRelayed notes the last id among events and returns those to pass on: in a run that goes on after another one,
// none that was passed on before.
func (s *streamProgress) filterRelayed(events []byte, goesOn bool) []byte {
	if !goesOn || s.lastEventID == "" {
		if id, found := findLastEventID(events); found {
			s.lastEventID = id
		}
		return events
	}
	s.filterBuffer = s.filterBuffer[:0]
	forEachEvent(events, func(event []byte) {
		id, found := eventID(event)
		if found && !isLaterID(id, s.lastEventID) {
			return
		}
		if found {
			s.lastEventID = id
		}
		s.filterBuffer = append(s.filterBuffer, event...)
	})
	return s.filterBuffer
}

// findLastEventID is the last id among events.
func findLastEventID(events []byte) (id string, found bool) {
	for end := len(events); end > 0; {
		begin := lastEventEnd(events[:end-1], 0)
		if id, found := eventID(events[begin:end]); found {
			return id, true
		}
		end = begin
	}
	return "", false
}

// isLaterID tells whether an id comes after another one. Ids are whole numbers that rise; others only differ.
func isLaterID(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	before, errBefore := strconv.ParseUint(last, 10, 64)
	if err != nil || errBefore != nil {
		return id != last
	}
	return number > before
}
