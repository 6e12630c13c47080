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

// Response is an endpoint's answer to a request. Its body is read with Read. It is for one goroutine.
type Response struct {
	Outcome attempt.Outcome // Succeeded, or Failed where the endpoint reports an error of its own
	Status  int
	Header  http.Header // the caller's to change
	Length  int64       // of the body; -1: not known before its end

	pool           *Pool
	call           *Call
	connection     *connection
	watchdog       watchdog
	ctx            context.Context
	cancel         context.CancelFunc
	stopCancelHook func() bool

	httpResponse   *http.Response
	bodyWritten    chan error // of the body's own goroutine; nil: none, or it has ended
	requestWritten bool       // the whole request
	notReusable    bool       // the connection can't be used again
	idleTimeout    time.Duration
	bodyRead       bool // the body was read to its end
	closed         bool
}

// Read reads from the body. It returns io.EOF only after the whole body, and a *Failure where that can't be had.
func (a *Response) Read(p []byte) (int, error) {
	if a.bodyRead {
		return 0, io.EOF
	}
	n, err := a.httpResponse.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		a.bodyRead = true
		return n, io.EOF
	}
	failure := a.fail(err, attempt.Broken)
	a.cancel()
	return n, failure
}

// SetProgressTimeout starts the patience of the call anew with another length; zero stops it.
func (a *Response) SetProgressTimeout(patience time.Duration) { a.watchdog.arm(patience) }

// Close ends the call. The connection is kept where the answer was read whole and nothing else came.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	a.drainBuffered()
	alive := a.watchdog.arm(0)
	alive = a.stopCancelHook() && alive
	a.cancel()
	reusable := alive && a.bodyRead && a.isRequestWritten() && !a.notReusable && a.connection.reader.Buffered() == 0
	if reusable {
		a.pool.putIdle(a.call.EndpointID, a.connection, a.idleTimeout)
		return
	}
	a.pool.discard(a.call.EndpointID, a.connection)
}

// drainBuffered reads the rest of a short body that is there already, to save the connection.
func (a *Response) drainBuffered() {
	if a.bodyRead || a.httpResponse == nil || a.Length < 0 || a.Length > int64(a.connection.reader.Buffered()) {
		return
	}
	_, err := io.Copy(io.Discard, a.httpResponse.Body)
	a.bodyRead = err == nil
}

// fail ends the call with a failure. What the deadline, the client or the caller's patience has ended is told as such.
func (a *Response) fail(cause error, outcome attempt.Outcome) *Failure {
	failure := &Failure{Outcome: outcome, Cause: cause}
	switch {
	case errors.Is(a.ctx.Err(), context.Canceled) && !a.closed:
		failure.Outcome = attempt.Canceled
	case outcome == attempt.ConnectFailed:
	case a.watchdog.hasFired():
		failure.Outcome, failure.Abandoned = attempt.TimedOut, true
	case a.ctx.Err() != nil:
		failure.Outcome = attempt.TimedOut
	}
	a.notReusable = true
	if !a.closed {
		a.closed = true
		a.watchdog.arm(0)
		a.stopCancelHook()
		a.pool.discard(a.call.EndpointID, a.connection)
	}
	return failure
}

// maxIdleSeconds bounds how long an idle connection is kept, whatever the endpoint says.
const maxIdleSeconds = 3600

// parseIdleTimeout is how long a connection is kept after an answer with these headers.
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
