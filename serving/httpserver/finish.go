package httpserver

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"rowanlink/serving/attempt"
	"rowanlink/serving/errcode"
)

// rejectedTargetDivisor of the route's latency target is the least Retry-After of a request that endpoints rejected:
// long enough for slots to become free, short enough for a response within the target.
const rejectedTargetDivisor = 8

// respondUnserved responds to a request that is not retried: with a rejection if nothing has run, else with a failure.
func (f *forwarder) respondUnserved(ctx context.Context) {
	if f.mayHaveRun || f.stream.started {
		f.respondFailed(ctx)
		return
	}
	f.reject(ctx, errcode.NotExecuted, 0)
}

// reject responds that nothing has run, with the time to retry. If something may have run, it responds with a failure.
func (f *forwarder) reject(ctx context.Context, kind errcode.Kind, wanted time.Duration) {
	if f.mayHaveRun || f.stream.started {
		f.respondFailed(ctx)
		return
	}
	if wanted <= 0 {
		base := f.route.LatencyTarget / rejectedTargetDivisor
		wanted = base + randomBelow(base)
	}
	respondError(f.writer, kind, clampRetryAfter(wanted, time.Until(f.deadline)))
}

// respondExpired responds to a request whose deadline has passed.
func (f *forwarder) respondExpired(ctx context.Context) {
	if f.mayHaveRun || f.stream.started {
		f.respondFailed(ctx)
		return
	}
	respondError(f.writer, errcode.NotExecutedInTime, 0)
}

// respondFailed responds to a request that may have run: with an endpoint's own error if there is one.
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

// abortConnection terminates the client's connection, so that what was sent does not look complete. It doesn't return.
func (f *forwarder) abortConnection(ctx context.Context) {
	f.server.metrics.aborted.Inc()
	if !f.httpRequest.ProtoAtLeast(1, 1) { // there the end of the connection is the end of the body
		if client := connectionFromContext(ctx); client != nil {
			client.resetOnClose()
		}
	}
	panic(http.ErrAbortHandler)
}

// randomBelow returns a random duration in [0, limit).
func randomBelow(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(rand.Int64N(int64(limit)))
}
