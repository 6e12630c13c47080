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

// streamProgress records how much of a stream of server-sent events has been sent to the client, over all attempts.
type streamProgress struct {
	started       bool   // the headers have been sent
	relayedEvents int    // sent so far
	lastEventID   string // of the last event sent that has an ID
	filterBuffer  []byte // reused by withoutRelayed
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

// relayStream relays complete events as they arrive. If the response resumes a stream, its headers aren't relayed: the
// client has received those of an earlier response.
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
			f.nextAttemptTime.Store(int64(f.expectedStart))
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

// relayEvents sends complete events to the client, and the headers before the first of them. It returns false if they
// can't be written to the client.
func (f *forwarder) relayEvents(response *upstream.Response, events []byte) bool {
	if !f.stream.started {
		f.stream.started = true
		copyEndToEndHeaders(f.writer.Header(), response.Header)
		f.writer.Header().Del("Content-Length") // another attempt may complete the stream with another length
		f.writer.WriteHeader(response.Status)
	}
	events = f.stream.withoutRelayed(events, f.attempts > 0)
	if len(events) == 0 {
		return true
	}
	if _, err := f.writer.Write(events); err != nil {
		return false
	}
	forEachEvent(events, func([]byte) { f.stream.relayedEvents++ })
	return http.NewResponseController(f.writer).Flush() == nil
}

// handleBrokenStream decides how to continue after a stream has broken off. Once the client has the headers, the stream
// can be resumed only if the route allows that and an event with an ID has been sent.
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

// withoutRelayed returns the events that are to be sent, and records the last ID among them. An endpoint that resumes a
// stream may repeat events; those with an ID that has been sent already are left out.
func (s *streamProgress) withoutRelayed(events []byte, resumed bool) []byte {
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
		start := lastEventEnd(events[:end-1], 0) // the end of the event before
		if id, found := eventID(events[start:end]); found {
			return id, true
		}
		end = start
	}
	return "", false
}

// isLaterID reports whether an event ID comes after the last one. IDs that are whole numbers are compared by value.
// Other IDs have no order, so each ID that differs counts as later.
func isLaterID(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return number > lastNumber
}
