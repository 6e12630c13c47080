package httpserver

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/attempt"
	"rowanlink/serving/errcode"
	"rowanlink/serving/placement"
	"rowanlink/serving/upstream"
)

const (
	// maxBufferedResponse is the size up to which a response is read completely before any of it is sent, in bytes: if
	// it breaks off before, the request can be retried.
	maxBufferedResponse = 64 << 10
	// minReadBuffer is the free space with which the buffer of a response begins, in bytes.
	minReadBuffer = 512
)

// bufferedResponse is an endpoint's complete response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write sends the response to the client, unless its status would promise that the request has not run: it may have.
func (r *bufferedResponse) write(w http.ResponseWriter) {
	if upstream.ImpliesNotRun(r.status) {
		respondError(w, errcode.EndpointResponseBroken, 0)
		return
	}
	copyHead(w.Header(), r.header)
	if len(r.body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body) // it fails only if the client has disconnected
}

// relayBuffered relays a response that is not a stream: a short one when it is complete, a long one as it arrives.
func (f *forwarder) relayBuffered(
	response *upstream.Response, reservation placement.Reservation,
) (attempt.Outcome, nextStep) {
	f.server.options.Picker.ReportProgress(time.Now(), reservation)
	body, err := readUpTo(response, maxBufferedResponse)
	if err == nil {
		return f.relayUnbuffered(response, body)
	}
	if !errors.Is(err, io.EOF) {
		return outcomeOf(err), nextRetry
	}
	response.Close()
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if response.Outcome == attempt.Failed {
		f.endpointError = buffered
		return attempt.Failed, nextRetry
	}
	buffered.write(f.writer)
	return attempt.Succeeded, nextDone
}

// relayUnbuffered relays a response as it arrives, beginning with the part that has been read. If it breaks off, the
// request can't be retried.
func (f *forwarder) relayUnbuffered(response *upstream.Response, begin []byte) (attempt.Outcome, nextStep) {
	response.SetProgressTimeout(0)
	if upstream.ImpliesNotRun(response.Status) {
		return attempt.Failed, nextRetry
	}
	copyHead(f.writer.Header(), response.Header)
	f.writer.WriteHeader(response.Status)
	_, err := f.writer.Write(begin)
	if err == nil {
		_, err = io.Copy(f.writer, response)
	}
	if err == nil {
		return response.Outcome, nextDone
	}
	return outcomeOf(err), nextAbort
}

// readUpTo reads at least limit bytes, or all if there are fewer: then the error is io.EOF.
func readUpTo(response *upstream.Response, limit int) ([]byte, error) {
	size := min(max(int(response.Length), 0), limit)
	body := make([]byte, 0, size+minReadBuffer)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil || len(body) >= limit {
			return body, err
		}
	}
}

// outcomeOf returns the outcome of an attempt whose response could not be read, or not be sent to the client.
func outcomeOf(err error) attempt.Outcome {
	var failure *upstream.Failure
	if errors.As(err, &failure) {
		return failure.Outcome
	}
	return attempt.Canceled
}
