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

// wholeFirst is the size up to which an answer is read whole before anything of it is passed on, in bytes: one that
// breaks off before can still be had elsewhere.
const wholeFirst = 64 << 10

// reply is an endpoint's whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// write passes the answer on, unless its status would promise that a request has not run which may have.
func (r *reply) write(w http.ResponseWriter) {
	if upstream.Promise(r.status) {
		answerOwn(w, errcode.EndpointBroke, 0)
		return
	}
	copyHead(w.Header(), r.header)
	if len(r.body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body) // a client that has left gets nothing
}

// passPlain passes an answer on that is no stream.
func (f *flow) passPlain(answer *upstream.Answer, ticket placement.Reservation) (attempt.Outcome, step) {
	f.server.options.Placer.ReportProgress(time.Now(), ticket)
	body, err := readSome(answer, wholeFirst)
	if err != nil && !errors.Is(err, io.EOF) {
		return outcomeOf(err), stepAgain
	}
	whole := err != nil
	if !whole {
		return f.passLong(answer, body)
	}
	answer.Close()
	held := &reply{status: answer.Status, header: answer.Header, body: body}
	if answer.Outcome == attempt.Failed {
		f.held = held
		return attempt.Failed, stepAgain
	}
	held.write(f.writer)
	return attempt.Succeeded, stepDone
}

// passLong passes an answer on as it comes. What breaks off then can't be had elsewhere.
func (f *flow) passLong(answer *upstream.Answer, begun []byte) (attempt.Outcome, step) {
	answer.Watch(0)
	if upstream.Promise(answer.Status) {
		return attempt.Failed, stepAgain
	}
	copyHead(f.writer.Header(), answer.Header)
	f.writer.WriteHeader(answer.Status)
	_, err := f.writer.Write(begun)
	if err == nil {
		_, err = io.Copy(f.writer, answer)
	}
	if err == nil {
		return answer.Outcome, stepDone
	}
	return outcomeOf(err), stepAbort
}

// readSome reads up to limit bytes; with io.EOF where that was all.
func readSome(answer *upstream.Answer, limit int) ([]byte, error) {
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
