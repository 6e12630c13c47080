package httpserver

import (
	"context"
	"net/http"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/attempt"
	"rowanlink/serving/errcode"
	"rowanlink/serving/placement"
	"rowanlink/serving/retry"
)

// minPickDelay is the least time between two searches for an endpoint.
const minPickDelay = time.Millisecond

// forwarder makes the attempts for one request until the client has its response. It is used by the handler's goroutine
// only, except for mayAbandonAttempt.
type forwarder struct {
	*request
	server *Server
	writer http.ResponseWriter

	attempts        int      // that have ended
	sentAttempts    int      // of these, those that reached an endpoint or may have
	countedAttempts int      // of these, those that count toward the route's tries
	triedEndpoints  []string // by ID
	mayHaveRun      bool     // some attempt may have run
	lastOutcome     attempt.Outcome
	service         string          // of the last attempt's endpoint
	grantedRetry    *retry.Decision // granted by mayAbandonAttempt, before the attempt's end

	endpointError *bufferedResponse // an endpoint's own error, sent to the client if no attempt succeeds
	stream        streamProgress
}

// nextStep is what follows an attempt.
type nextStep uint8

const (
	nextDone  nextStep = iota // the client has its response
	nextRetry                 // the attempt has ended without a response for the client
	nextAbort                 // the response has begun and can't be completed
)

// forward makes attempts until the client has its response.
func (f *forwarder) forward(ctx context.Context) {
	for {
		choice, picked := f.pickEndpoint(ctx)
		if !picked {
			return
		}
		outcome, next := f.tryEndpoint(ctx, choice)
		f.server.options.Picker.ReportOutcome(time.Now(), choice.Reservation, outcome)
		f.server.metrics.attempts[outcome].Inc()
		if next == nextDone {
			return
		}
		if next == nextAbort || outcome == attempt.Canceled {
			f.abortConnection(ctx)
		}
		f.recordAttempt(outcome)
		if !f.waitForRetry(ctx, outcome) {
			return
		}
		f.server.metrics.retries.Inc()
	}
}

// pickEndpoint selects an endpoint, waiting for as long as the picker decides. It returns false if the request has been
// responded to instead.
func (f *forwarder) pickEndpoint(ctx context.Context) (placement.Choice, bool) {
	for {
		now := time.Now()
		f.placement.TimeLeft = f.deadline.Sub(now)
		f.placement.QueuedFor = now.Sub(f.arrivedAt)
		f.placement.Service = f.service
		f.placement.TriedEndpoints = f.triedEndpoints
		f.placement.Resumed = f.stream.started
		if f.placement.TimeLeft <= 0 {
			f.respondExpired(ctx)
			return placement.Choice{}, false
		}
		choice, decision := f.server.options.Picker.Pick(now, f.placement)
		f.placement.Waited = true
		switch decision.Kind {
		case placement.Picked:
			if !f.stream.started {
				f.placement.Version = choice.Endpoint.SoftwareVersion
			}
			return choice, true
		case placement.Wait:
			delay := max(min(decision.Delay, f.placement.TimeLeft), minPickDelay)
			if !ctxsleep.Sleep(ctx, delay) {
				f.abortConnection(ctx)
			}
		default:
			f.reject(ctx, errcode.NoCapacity, decision.Delay)
			return placement.Choice{}, false
		}
	}
}

// tryEndpoint sends the request to the chosen endpoint and relays the response.
func (f *forwarder) tryEndpoint(ctx context.Context, choice placement.Choice) (attempt.Outcome, nextStep) {
	if f.service == "" {
		f.server.options.RetryPolicy.CountRequest(time.Now(), choice.Endpoint.Service)
	}
	f.service = choice.Endpoint.Service
	call := f.newCall(choice)
	f.triedEndpoints = append(f.triedEndpoints, choice.Endpoint.ID)
	f.grantedRetry = nil
	response, failure := f.server.options.Pool.Do(ctx, call)
	if failure != nil {
		return failure.Outcome, nextRetry
	}
	defer response.Close()
	if f.stream.started || isEventStream(f.route, response) {
		return f.relayStream(response, choice.Reservation)
	}
	return f.relayBuffered(response, choice.Reservation)
}

// recordAttempt records an attempt that has ended without a response for the client.
func (f *forwarder) recordAttempt(outcome attempt.Outcome) {
	f.attempts++
	f.lastOutcome = outcome
	f.mayHaveRun = f.mayHaveRun || !outcome.NeverRan()
	if outcome == attempt.ConnectFailed || outcome == attempt.AtConnectionLimit {
		return
	}
	f.sentAttempts++
	if outcome != attempt.Misdirected {
		f.countedAttempts++
	}
}
