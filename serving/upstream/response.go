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

// Response is an endpoint's response to a call. Its body is read with Read. It is for use by one goroutine.
type Response struct {
	Outcome attempt.Outcome // Succeeded, or Failed if the endpoint reports an error
	Status  int
	Header  http.Header // may be modified by the caller
	Length  int64       // of the body; -1: unknown

	pool           *Pool
	call           *Call
	connection     *connection
	watchdog       watchdog
	ctx            context.Context
	cancel         context.CancelFunc
	stopCancelHook func() bool

	httpResponse   *http.Response
	bodyWritten    chan error    // result of the goroutine that writes the body; nil: there is none or it has ended
	requestWritten bool          // completely
	notReusable    bool          // the connection can't carry another request
	idleTimeout    time.Duration // of the connection after this response
	bodyRead       bool          // to its end
	closed         bool
}

// Read reads from the body. It returns io.EOF only after the complete body, and a *Failure if that can't be had.
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

// SetProgressTimeout restarts the call's progress timeout with another length; zero stops it.
func (r *Response) SetProgressTimeout(timeout time.Duration) { r.watchdog.arm(timeout) }

// Close ends the call. The connection is reused if the response was read completely and nothing else has arrived.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	r.drainBuffered()
	alive := r.watchdog.arm(0)
	alive = r.stopCancelHook() && alive
	r.cancel()
	reusable := alive && r.bodyRead && r.isRequestWritten() && !r.notReusable && r.connection.reader.Buffered() == 0
	if reusable {
		r.pool.putIdle(r.call.EndpointID, r.connection, r.idleTimeout)
		return
	}
	r.pool.discard(r.call.EndpointID, r.connection)
}

// drainBuffered reads the rest of a short body that has been received, so that the connection can be reused.
func (r *Response) drainBuffered() {
	if r.bodyRead || r.httpResponse == nil || r.Length < 0 || r.Length > int64(r.connection.reader.Buffered()) {
		return
	}
	_, err := io.Copy(io.Discard, r.httpResponse.Body)
	r.bodyRead = err == nil
}

// fail ends the call with a failure. The deadline, the client and the progress timeout take precedence over the given
// outcome.
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

// maxIdleSeconds bounds how long an idle connection stays open, whatever timeout the endpoint announces.
const maxIdleSeconds = 3600

// parseIdleTimeout returns how long a connection stays open after a response with these headers.
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
