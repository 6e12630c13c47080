package httpserver

import (
	"math/rand/v2"
	"net/http"
	"time"

	"rowanlink/serving/attempt"
	"rowanlink/serving/errcode"
)

// refusedComeBackShare of the route's target is about what a client is told to wait whose request was refused: long
// enough for places to come free, short enough for an answer in time.
const refusedComeBackShare = 8

// finish answers a request that is not tried again: refused if nothing has run, else failed.
func (f *flow) finish() {
	if f.mayHaveRun || f.stream.begun {
		f.fail()
		return
	}
	f.refuse(errcode.NotExecuted, 0)
}

// refuse promises that nothing has run and tells the client when to come back. Where something may have run, the
// request has failed instead.
func (f *flow) refuse(kind errcode.Kind, wanted time.Duration) {
	if f.mayHaveRun || f.stream.begun {
		f.fail()
		return
	}
	if wanted <= 0 {
		wanted = f.route.Target/refusedComeBackShare + jitter(f.route.Target/refusedComeBackShare)
	}
	answerOwn(f.writer, kind, comeBack(wanted, time.Until(f.end)))
}

// expire answers a request whose time is over.
func (f *flow) expire() {
	if f.mayHaveRun || f.stream.begun {
		f.fail()
		return
	}
	answerOwn(f.writer, errcode.NotExecutedInTime, 0)
}

// fail answers a request that may have run: by the endpoint's own error where there is one.
func (f *flow) fail() {
	switch {
	case f.stream.begun:
		f.abort()
	case f.held != nil:
		f.held.write(f.writer)
	case f.last == attempt.TimedOut || !time.Now().Before(f.end):
		answerOwn(f.writer, errcode.DeadlineExceeded, 0)
	default:
		answerOwn(f.writer, errcode.EndpointResponseBroken, 0)
	}
}

// abort breaks the client's connection off, so that what was sent does not look complete.
func (f *flow) abort() {
	if !f.http.ProtoAtLeast(1, 1) { // there the end of the connection is the end of the answer
		if client := connectionOf(f.ctx); client != nil {
			client.reset()
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
