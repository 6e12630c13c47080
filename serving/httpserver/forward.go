package httpserver

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/attempt"
	"rowanlink/serving/errcode"
	"rowanlink/serving/placement"
	"rowanlink/serving/retry"
	"rowanlink/serving/routing"
	"rowanlink/serving/upstream"
)

const (
	// highestPriority and lowestPriority bound the priority that endpoints are given.
	highestPriority = 0
	lowestPriority  = 9
	// minPickDelay bounds a wait for a place from below.
	minPickDelay = time.Millisecond
)

// forwarder takes one request through its attempts until it is answered. It belongs to the handler's goroutine, but for
// mayAbandonAttempt.
type forwarder struct {
	*request
	server *Server
	writer http.ResponseWriter
	ctx    context.Context

	attempts        int      // attempts before the one under way
	countedAttempts int      // of them, those that an endpoint took up, may have taken up or turned away as full
	sentAttempts    int      // of them, those that arrived at an endpoint
	triedEndpoints  []string // endpoints by ID
	mayHaveRun      bool
	lastOutcome     attempt.Outcome
	service         string            // of the last attempt's endpoint
	grantedRetry    *retry.Decision   // by mayAbandonAttempt, before the attempt's end
	endpointError   *bufferedResponse // an endpoint's own error, passed on if nothing better comes
	stream          streamProgress
}

// nextStep is what comes after an attempt.
type nextStep uint8

const (
	nextDone  nextStep = iota // the request is answered
	nextRetry                 // the attempt is over without an answer for the client
	nextAbort                 // the answer is begun and can't be ended
)

// forward makes attempts until the client has its answer.
func (f *forwarder) forward() {
	for {
		choice, chosen := f.pickEndpoint()
		if !chosen {
			return
		}
		outcome, next := f.tryEndpoint(choice)
		f.server.options.Picker.ReportOutcome(time.Now(), choice.Reservation, outcome)
		if next == nextDone {
			return
		}
		if next == nextAbort || outcome == attempt.Canceled {
			f.abortConnection()
		}
		f.recordAttempt(outcome)
		if !f.waitForRetry(outcome) {
			return
		}
	}
}

// recordAttempt takes an attempt that has ended without an answer into account.
func (f *forwarder) recordAttempt(outcome attempt.Outcome) {
	f.attempts++
	f.lastOutcome = outcome
	f.mayHaveRun = f.mayHaveRun || !outcome.NeverRan()
	if outcome == attempt.ConnectFailed || outcome == attempt.AtLimit {
		return
	}
	f.sentAttempts++
	if outcome != attempt.Misdirected {
		f.countedAttempts++
	}
}

// pickEndpoint finds an endpoint, waiting where placement says so. It returns false when the request has been answered.
func (f *forwarder) pickEndpoint() (placement.Choice, bool) {
	for {
		now := time.Now()
		f.placement.TimeLeft = f.deadline.Sub(now)
		f.placement.QueuedFor = now.Sub(f.arrivedAt)
		f.placement.Service, f.placement.TriedEndpoints = f.service, f.triedEndpoints
		f.placement.Resumed = f.stream.started
		if f.placement.TimeLeft <= 0 {
			f.respondExpired()
			return placement.Choice{}, false
		}
		choice, verdict := f.server.options.Picker.Pick(now, f.placement)
		switch verdict.Kind {
		case placement.Picked:
			return choice, true
		case placement.Wait:
			if !ctxsleep.Sleep(f.ctx, max(min(verdict.Delay, f.placement.TimeLeft), minPickDelay)) {
				f.abortConnection()
			}
		default:
			f.reject(errcode.NoCapacity, verdict.Delay)
			return placement.Choice{}, false
		}
	}
}

// tryEndpoint sends the request to the chosen endpoint and passes the answer on.
func (f *forwarder) tryEndpoint(choice placement.Choice) (attempt.Outcome, nextStep) {
	if f.service == "" {
		f.server.options.RetryPolicy.CountRequest(time.Now(), choice.Endpoint.Service)
	}
	f.service = choice.Endpoint.Service
	call := f.newCall(choice)
	f.triedEndpoints = append(f.triedEndpoints, choice.Endpoint.ID)
	f.grantedRetry = nil
	answer, failure := f.server.options.Pool.Do(f.ctx, call)
	if failure != nil {
		return failure.Outcome, nextRetry
	}
	defer answer.Close()
	if f.stream.started || isEventStream(f.route, answer) {
		return f.relayStream(answer, choice.Reservation)
	}
	return f.relayBuffered(answer, choice.Reservation)
}

// newCall puts the request into the endpoint side's words.
func (f *forwarder) newCall(choice placement.Choice) *upstream.Call {
	endpoint := choice.Endpoint
	call := &upstream.Call{
		EndpointID:    endpoint.ID,
		Address:       endpoint.Address,
		Zone:          endpoint.Zone,
		Method:        f.httpRequest.Method,
		RequestTarget: requestTarget(f.httpRequest),
		Host:          f.httpRequest.Host,
		Header:        f.httpRequest.Header,
		Body:          f.body,
		HasBody:       f.hasBody,
		Resent:        slices.Contains(f.triedEndpoints, endpoint.ID),
		Deadline:      f.deadline,
		LastEventID:   f.stream.lastEventID,
	}
	service, known := f.table.Service(endpoint.Service)
	if known {
		call.MaxConnections = f.server.options.ConnectionShare(service)
		if service.Engine != nil {
			call.Priority = priority(f.route, choice.ShortPrefill)
		}
	}
	if f.route.Idempotent() {
		call.ProgressTimeout = firstByteTimeout(f.route, service, choice.ExpectedFirstByte)
		call.MayAbandon = f.mayAbandonAttempt
	}
	return call
}

// priority is the rank that endpoints are given: the route's own, as far as their scale goes, but for prompts that are
// read in a moment.
func priority(route *routing.Route, quick bool) string {
	if quick {
		return strconv.Itoa(highestPriority)
	}
	return strconv.Itoa(min(max(route.Precedence, highestPriority), lowestPriority))
}

// mayAbandonAttempt decides whether an attempt that shows nothing is to be ended: only if the request may then go again. It
// runs on another goroutine while the flow's own one waits for the endpoint.
func (f *forwarder) mayAbandonAttempt() bool {
	decision := f.decideRetry(retry.FailedAttempt{
		Number:          f.attempts,
		Outcome:         attempt.TimedOut,
		CountedAttempts: f.countedAttempts + 1,
		SentAttempts:    f.sentAttempts + 1,
		MayHaveRun:      true,
	})
	if !decision.Retry {
		return false
	}
	f.grantedRetry = &decision
	return true
}

// decideRetry asks the retry policy.
func (f *forwarder) decideRetry(try retry.FailedAttempt) retry.Decision {
	now := time.Now()
	try.Route, try.Service, try.TimeLeft = f.route, f.service, f.deadline.Sub(now)
	return f.server.options.RetryPolicy.Decide(now, try)
}

// waitForRetry waits for the next attempt. It returns false when the request has been answered.
func (f *forwarder) waitForRetry(outcome attempt.Outcome) bool {
	if f.mayHaveRun && !f.route.Idempotent() {
		f.respondFailed()
		return false
	}
	decision := f.grantedRetry
	if decision == nil {
		asked := f.decideRetry(retry.FailedAttempt{
			Number:          f.attempts - 1,
			Outcome:         outcome,
			CountedAttempts: f.countedAttempts,
			SentAttempts:    f.sentAttempts,
			MayHaveRun:      f.mayHaveRun,
		})
		decision = &asked
	}
	if !decision.Retry {
		f.respondUnserved()
		return false
	}
	if !ctxsleep.Sleep(f.ctx, decision.Backoff) {
		f.abortConnection()
	}
	return true
}
