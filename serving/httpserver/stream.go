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

// streamProgress is how much of a stream of server-sent events the client has received, over all attempts.
type streamProgress struct {
	started      bool   // the headers and at least one event have been sent
	lastEventID  string // of the last event sent that has one
	filterBuffer []byte // reused by filterRelayed
}

// isEventStream reports whether a response is a stream of events. On a route for streams, a response of unknown length
// is treated as one whatever its content type, so that it isn't buffered.
func isEventStream(route *routing.Route, response *upstream.Response) bool {
	if response.Status != http.StatusOK {
		return false
	}
	if route.Kind == routing.KindStream && response.Length < 0 {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// relayStream relays complete events as they arrive. A response that resumes a stream keeps the headers of the first
// one.
func (f *forwarder) relayStream(
	response *upstream.Response, reservation placement.Reservation,
) (attempt.Outcome, nextStep) {
	if f.stream.started && !isEventStream(f.route, response) {
		return attempt.Failed, nextRetry
	}
	reader := newEventReader(response)
	for {
		events, err := reader.Next()
		ended := errors.Is(err, io.EOF)
		if len(events) > 0 || ended {
			f.server.options.Picker.ReportProgress(time.Now(), reservation)
			response.SetProgressTimeout(streamIdleTimeout(f.route))
			if !f.relayEvents(response, events) {
				return attempt.Canceled, nextAbort
			}
		}
		if ended {
			return attempt.Succeeded, nextDone
		}
		if err != nil {
			return f.handleBrokenStream(err)
		}
	}
}

// relayEvents sends complete events, and the headers before the first of them. It returns false if the client has
// disconnected.
func (f *forwarder) relayEvents(response *upstream.Response, events []byte) bool {
	if !f.stream.started {
		f.stream.started = true
		copyHead(f.writer.Header(), response.Header)
		f.writer.Header().Del("Content-Length") // another attempt may end the stream with other bytes
		f.writer.WriteHeader(response.Status)
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

// handleBrokenStream decides what follows if a stream breaks off: it can be resumed if the route allows it and the last
// event had an ID.
func (f *forwarder) handleBrokenStream(err error) (attempt.Outcome, nextStep) {
	outcome := attempt.Broken
	var failure *upstream.Failure
	if errors.As(err, &failure) {
		outcome = failure.Outcome
	}
	resumable := f.route.Resumable && f.stream.lastEventID != ""
	if f.stream.started && !resumable {
		return outcome, nextAbort
	}
	return outcome, nextRetry
}

// filterRelayed records the last ID among events and returns those to send: if a stream is resumed, those that the
// client has not received.
func (s *streamProgress) filterRelayed(events []byte, resumed bool) []byte {
	if !resumed || s.lastEventID == "" {
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

// findLastEventID returns the last ID among events.
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

// isLaterID reports whether an ID comes after another one. IDs that are whole numbers are ordered; others are only equal
// or different.
func isLaterID(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return number > lastNumber
}
