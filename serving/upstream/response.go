package upstream

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/attempt"
)

// Response is an endpoint's response to a call. Its body is read with Read. It must be used by one goroutine only.
type Response struct {
	Outcome attempt.Outcome // Succeeded, or Failed if the endpoint reports an error
	Status  int
	Header  http.Header // may be modified by the caller
	Length  int64       // of the body; -1: unknown

	pool       *Pool
	call       *Call
	connection *connection
	watchdog   watchdog
	ctx        context.Context
	cancel     context.CancelFunc
	// stopCancelHook removes the hook that closes the connection when ctx ends. It returns false if the hook has run.
	stopCancelHook func() bool

	httpResponse   *http.Response
	bodyWritten    chan error    // receives writeBody's result; nil: writeBody wasn't started, or its result was received
	requestWritten bool          // the complete request has been written
	notReusable    bool          // the connection can't carry another request
	idleTimeout    time.Duration // of the connection after this response
	bodyRead       bool          // the body has been read to its end
	closed         bool
}

// Read reads from the body. It returns io.EOF only after the complete body, and a *Failure if the body can't be read
// completely.
func (r *Response) Read(p []byte) (int, error) {
	if r.bodyRead {
		return 0, io.EOF
	}
	n, err := r.httpResponse.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.bodyRead = true
		return n, io.EOF
	}
	failure := r.fail(err, attempt.Broken)
	r.cancel()
	return n, failure
}

// SetProgressTimeout restarts the call's progress timeout with a new duration; zero stops it.
func (r *Response) SetProgressTimeout(timeout time.Duration) { r.watchdog.arm(timeout) }

// Close ends the call. The connection becomes idle, for other requests, if the request was written and the response
// read completely, and nothing more has arrived. Otherwise the connection is closed.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	r.drainBuffered()
	stillOpen := r.watchdog.arm(0)
	stillOpen = r.stopCancelHook() && stillOpen
	r.cancel()
	reusable := stillOpen && r.bodyRead && r.isRequestWritten() && !r.notReusable && r.connection.reader.Buffered() == 0
	if reusable {
		r.pool.putIdle(r.call.EndpointID, r.connection, r.idleTimeout)
		return
	}
	r.pool.discard(r.call.EndpointID, r.connection)
}

// drainBuffered reads the body's unread rest if it is in the read buffer completely, so that the connection can be
// reused.
func (r *Response) drainBuffered() {
	if r.bodyRead || r.httpResponse == nil || r.Length < 0 || r.Length > int64(r.connection.reader.Buffered()) {
		return
	}
	_, err := io.Copy(io.Discard, r.httpResponse.Body)
	r.bodyRead = err == nil
}

// fail ends the call with a failure. If the client has disconnected, the outcome is Canceled. Otherwise
// ConnectFailed is kept, and any other outcome is replaced by TimedOut if the progress timeout has ended the attempt or
// the deadline has passed.
func (r *Response) fail(cause error, outcome attempt.Outcome) *Failure {
	failure := &Failure{Outcome: outcome, Cause: cause}
	switch {
	case errors.Is(r.ctx.Err(), context.Canceled) && !r.closed:
		failure.Outcome = attempt.Canceled
	case outcome == attempt.ConnectFailed:
	case r.watchdog.hasFired():
		failure.Outcome, failure.Abandoned = attempt.TimedOut, true
	case r.ctx.Err() != nil:
		failure.Outcome = attempt.TimedOut
	}
	r.notReusable = true
	if !r.closed {
		r.closed = true
		r.watchdog.arm(0)
		r.stopCancelHook()
		r.pool.discard(r.call.EndpointID, r.connection)
	}
	return failure
}

// maxIdleSeconds bounds the idle timeout that an endpoint announces, in seconds.
const maxIdleSeconds = 3600

// parseIdleTimeout returns how long a connection may be idle after a response with these headers. It is
// idleTimeoutPercent of the timeout in the Keep-Alive header or, without a valid one, defaultIdleTimeout.
func parseIdleTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			continue
		}
		return time.Duration(min(seconds, maxIdleSeconds)) * time.Second * idleTimeoutPercent / 100
	}
	return defaultIdleTimeout
}
