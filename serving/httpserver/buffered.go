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
	// maxBufferedResponse is the size up to which a response is read completely before any of it is sent to the client,
	// in bytes. If the endpoint's response breaks off before that, the request can be retried.
	maxBufferedResponse = 64 << 10
	// minReadBuffer is how many bytes larger than the response's known length the read buffer is initially.
	minReadBuffer = 512
)

// bufferedResponse is an endpoint's complete response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write sends the response to the client. It replaces a response whose status implies that the request has not run,
// because the request may have run.
func (r *bufferedResponse) write(w http.ResponseWriter) {
	if upstream.ImpliesNotRun(r.status) {
		respondError(w, errcode.EndpointResponseBroken, 0)
		return
	}
	copyEndToEndHeaders(w.Header(), r.header)
	if len(r.body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body) // fails only if the client has disconnected
}

// relayBuffered relays a response that is not a stream. A response shorter than maxBufferedResponse is sent once it is
// complete, a longer one as it arrives.
func (f *forwarder) relayBuffered(
	response *upstream.Response, reservation placement.Reservation,
) (attempt.Outcome, nextStep) {
	f.server.options.Picker.ReportProgress(time.Now(), reservation)
	body, err := readAtLeast(response, maxBufferedResponse)
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

// relayUnbuffered relays a response as it arrives, beginning with the part of the body that has been read already. Once
// part of the response has been sent, the request can't be retried, so there is no progress timeout.
func (f *forwarder) relayUnbuffered(response *upstream.Response, alreadyRead []byte) (attempt.Outcome, nextStep) {
	response.SetProgressTimeout(0)
	if upstream.ImpliesNotRun(response.Status) {
		return attempt.Failed, nextRetry
	}
	copyEndToEndHeaders(f.writer.Header(), response.Header)
	f.writer.WriteHeader(response.Status)
	_, err := f.writer.Write(alreadyRead)
	if err == nil {
		_, err = io.Copy(f.writer, response)
	}
	if err == nil {
		return response.Outcome, nextDone
	}
	return outcomeOf(err), nextAbort
}

// readAtLeast reads at least minimum bytes of the body. If the body is shorter, it returns all of it and io.EOF.
func readAtLeast(response *upstream.Response, minimum int) ([]byte, error) {
	size := min(max(int(response.Length), 0), minimum)
	body := make([]byte, 0, size+minReadBuffer)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil || len(body) >= minimum {
			return body, err
		}
	}
}

// outcomeOf returns the outcome of an attempt whose response could not be read or could not be sent to the client.
func outcomeOf(err error) attempt.Outcome {
	var failure *upstream.Failure
	if errors.As(err, &failure) {
		return failure.Outcome
	}
	return attempt.Canceled
}
