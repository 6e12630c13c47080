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

// maxBufferedResponse is the size up to which an answer is read whole before anything of it is passed on, in bytes: one that
// breaks off before can still be had elsewhere.
const maxBufferedResponse = 64 << 10

// bufferedResponse is an endpoint's whole answer.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write passes the answer on, unless its status would promise that a request has not run which may have.
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
	_, _ = w.Write(r.body) // a client that has left gets nothing
}

// relayBuffered passes an answer on that is no stream.
func (f *forwarder) relayBuffered(answer *upstream.Response, ticket placement.Reservation) (attempt.Outcome, nextStep) {
	f.server.options.Picker.ReportProgress(time.Now(), ticket)
	body, err := readSome(answer, maxBufferedResponse)
	if err != nil && !errors.Is(err, io.EOF) {
		return outcomeOf(err), nextRetry
	}
	whole := err != nil
	if !whole {
		return f.relayUnbuffered(answer, body)
	}
	answer.Close()
	held := &bufferedResponse{status: answer.Status, header: answer.Header, body: body}
	if answer.Outcome == attempt.Failed {
		f.endpointError = held
		return attempt.Failed, nextRetry
	}
	held.write(f.writer)
	return attempt.Succeeded, nextDone
}

// relayUnbuffered passes an answer on as it comes. What breaks off then can't be had elsewhere.
func (f *forwarder) relayUnbuffered(answer *upstream.Response, begun []byte) (attempt.Outcome, nextStep) {
	answer.SetProgressTimeout(0)
	if upstream.ImpliesNotRun(answer.Status) {
		return attempt.Failed, nextRetry
	}
	copyHead(f.writer.Header(), answer.Header)
	f.writer.WriteHeader(answer.Status)
	_, err := f.writer.Write(begun)
	if err == nil {
		_, err = io.Copy(f.writer, answer)
	}
	if err == nil {
		return answer.Outcome, nextDone
	}
	return outcomeOf(err), nextAbort
}

// readSome reads up to limit bytes; with io.EOF where that was all.
func readSome(answer *upstream.Response, limit int) ([]byte, error) {
	size := min(max(int(answer.Length), 0), limit)
	body := make([]byte, 0, size+512)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := answer.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil || len(body) >= limit {
			return body, err
		}
	}
}

// outcomeOf is what an error of reading an answer, or of writing it to the client, says of the attempt.
func outcomeOf(err error) attempt.Outcome {
	var failure *upstream.Failure
	if errors.As(err, &failure) {
		return failure.Outcome
	}
	return attempt.Canceled
}
