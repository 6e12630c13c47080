package httpserver

import (
	"math/rand/v2"
	"net/http"
	"time"

	"rowanlink/serving/attempt"
	"rowanlink/serving/errcode"
)

// rejectedTargetDivisor of the route's target is about what a client is told to wait whose request was refused: long
// enough for places to come free, short enough for an answer in time.
const rejectedTargetDivisor = 8

// respondUnserved answers a request that is not tried again: refused if nothing has run, else failed.
func (f *forwarder) respondUnserved() {
	if f.mayHaveRun || f.stream.started {
		f.respondFailed()
		return
	}
	f.reject(errcode.NotExecuted, 0)
}

// reject promises that nothing has run and tells the client when to come back. Where something may have run, the
// request has failed instead.
func (f *forwarder) reject(kind errcode.Kind, wanted time.Duration) {
	if f.mayHaveRun || f.stream.started {
		f.respondFailed()
		return
	}
	if wanted <= 0 {
		wanted = f.route.Target/rejectedTargetDivisor + jitter(f.route.Target/rejectedTargetDivisor)
	}
	respondError(f.writer, kind, clampRetryAfter(wanted, time.Until(f.deadline)))
}

// respondExpired answers a request whose time is over.
func (f *forwarder) respondExpired() {
	if f.mayHaveRun || f.stream.started {
		f.respondFailed()
		return
	}
	respondError(f.writer, errcode.NotExecutedInTime, 0)
}

// respondFailed answers a request that may have run: by the endpoint's own error where there is one.
func (f *forwarder) respondFailed() {
	switch {
	case f.stream.started:
		f.abortConnection()
	case f.endpointError != nil:
		f.endpointError.write(f.writer)
	case f.lastOutcome == attempt.TimedOut || !time.Now().Before(f.deadline):
		respondError(f.writer, errcode.DeadlineExceeded, 0)
	default:
		respondError(f.writer, errcode.EndpointResponseBroken, 0)
	}
}

// abortConnection breaks the client's connection off, so that what was sent does not look complete.
func (f *forwarder) abortConnection() {
	if !f.httpRequest.ProtoAtLeast(1, 1) { // there the end of the connection is the end of the answer
		if client := connectionFromContext(f.ctx); client != nil {
			client.resetOnClose()
		}
	}
	panic(http.ErrAbortHandler)
}

// jitter is a random part of a span.
func jitter(span time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	return time.Duration(rand.Int64N(int64(span)))
}
