package httpserver

import (
	"context"
	"net/http"
	"time"

	"rowanlink/serving/attempt"
	"rowanlink/serving/errcode"
)

// respondUnserved responds to a request that gets no further attempt: with a rejection if no endpoint can have run it,
// otherwise with a failure.
func (f *forwarder) respondUnserved(ctx context.Context) {
	if f.mayHaveRun || f.stream.started {
		f.respondFailed(ctx)
		return
	}
	now := time.Now()
	f.updatePlacement(now)
	f.reject(ctx, errcode.NotExecuted, f.server.options.Picker.RetryAfter(now, f.placement))
}

// reject responds that no endpoint has run the request, and when the client should send it again. If an endpoint may
// have run the request, reject responds with a failure instead.
func (f *forwarder) reject(ctx context.Context, kind errcode.Kind, retryAfter time.Duration) {
	if f.mayHaveRun || f.stream.started {
		f.respondFailed(ctx)
		return
	}
	respondError(f.writer, kind, clampRetryAfter(retryAfter, time.Until(f.deadline)))
}

// respondExpired responds to a request whose deadline has passed before an endpoint was picked.
func (f *forwarder) respondExpired(ctx context.Context) {
	if f.mayHaveRun || f.stream.started {
		f.respondFailed(ctx)
		return
	}
	respondError(f.writer, errcode.NotExecutedInTime, 0)
}

// respondFailed responds to a request that may have run. An error response from an endpoint takes precedence over the
// proxy's own errors. If part of a stream has been sent, the connection is aborted.
func (f *forwarder) respondFailed(ctx context.Context) {
	switch {
	case f.stream.started:
		f.abortConnection(ctx)
	case f.endpointError != nil:
		f.endpointError.write(f.writer)
	case f.lastOutcome == attempt.TimedOut || !time.Now().Before(f.deadline):
		respondError(f.writer, errcode.DeadlineExceeded, 0)
	default:
		respondError(f.writer, errcode.EndpointResponseBroken, 0)
	}
}

// abortConnection terminates the client's connection, so that the client doesn't take a partial response for a complete
// one. It panics with http.ErrAbortHandler and doesn't return.
func (f *forwarder) abortConnection(ctx context.Context) {
	f.server.metrics.aborted.Inc()
	// In HTTP/1.0, closing the connection ends the body, so only a reset shows that the response is incomplete.
	if !f.httpRequest.ProtoAtLeast(1, 1) {
		if client := connectionFromContext(ctx); client != nil {
			client.resetOnClose()
		}
	}
	panic(http.ErrAbortHandler)
}
