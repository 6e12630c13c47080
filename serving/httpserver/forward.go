package httpserver

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/attempt"
	"rowanlink/serving/errcode"
	"rowanlink/serving/placement"
	"rowanlink/serving/retry"
)

// minPickDelay is the shortest wait before the picker is asked again for an endpoint.
const minPickDelay = time.Millisecond

// forwarder makes attempts at endpoints for one request until the client has its response. Only the handler's goroutine
// uses it, except that mayAbandonAttempt runs on another one while the handler's goroutine waits.
type forwarder struct {
	*request
	server *Server
	writer http.ResponseWriter

	attempts        int      // number of attempts that have ended
	sentAttempts    int      // number of ended attempts whose request reached an endpoint or may have
	countedAttempts int      // number of sent attempts that count toward the route's maximum
	triedEndpoints  []string // their IDs, in the order of the attempts
	mayHaveRun      bool     // an endpoint may have run the request
	lastOutcome     attempt.Outcome
	service         string        // of the last attempt's endpoint
	awaitedService  string        // of the last decision to wait
	expectedStart   time.Duration // of the current attempt, until the first byte
	// nextAttemptTime is the time that another attempt is expected to need, in nanoseconds, see mayAbandonAttempt.
	nextAttemptTime atomic.Int64
	grantedRetry    *retry.Decision // set by mayAbandonAttempt when it abandons the attempt; nil: not abandoned

	endpointError *bufferedResponse // an endpoint's error response, relayed if no attempt succeeds
	stream        streamProgress
}

// nextStep determines how the forwarder continues after an attempt.
type nextStep uint8

const (
	nextDone  nextStep = iota // the client has its response
	nextRetry                 // the attempt has failed and may be retried
	nextAbort                 // part of the response has been sent and the rest can't be
)

// forward makes attempts until the client has its response. If the response can't be completed, it aborts the client's
// connection.
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

// pickEndpoint picks an endpoint, waiting for as long as the picker decides. It returns false if it has sent an error
// response to the client instead.
func (f *forwarder) pickEndpoint(ctx context.Context) (placement.Choice, bool) {
	for {
		now := time.Now()
		f.updatePlacement(now)
		if f.placement.TimeLeft <= 0 {
			f.respondExpired(ctx)
			return placement.Choice{}, false
		}
		choice, decision := f.server.options.Picker.Pick(now, f.placement)
		f.placement.Waited = decision.Kind == placement.Wait
		switch decision.Kind {
		case placement.Picked:
			if !f.stream.started {
				f.placement.Version = choice.Endpoint.SoftwareVersion
			}
			return choice, true
		case placement.Wait:
			if f.mustStopWaiting() { // its ticket expires
				f.reject(ctx, errcode.ShuttingDown, drainingRetryAfter)
				return placement.Choice{}, false
			}
			delay := max(min(decision.Delay, f.placement.TimeLeft), minPickDelay)
			f.placement.Ticket, f.awaitedService = decision.Ticket, decision.Service
			if !ctxsleep.SleepOrSignal(ctx, delay, ready(decision.Ticket)) {
				if decision.Ticket != nil {
					f.server.options.Picker.CancelWait(time.Now(), decision.Ticket)
				}
				f.abortConnection(ctx)
			}
		default:
			f.reject(ctx, errcode.NoCapacity, decision.Delay)
			return placement.Choice{}, false
		}
	}
}

// updatePlacement brings the description of the request for the picker up to date.
func (f *forwarder) updatePlacement(now time.Time) {
	f.placement.TimeLeft = f.deadline.Sub(now)
	f.placement.QueuedFor = now.Sub(f.arrivedAt)
	f.placement.Service = cmp.Or(f.service, f.awaitedService)
	f.placement.TriedEndpoints = f.triedEndpoints
	f.placement.Resumed = f.stream.started
	f.placement.MaxOutputTokens = f.outputTokensLeft()
}

// mustStopWaiting reports whether the request, which waits for an endpoint, is rejected because the process is shutting
// down: another proxy can serve it at once, and here it could still wait when the process exits. A request that may have
// run goes on waiting, since it can't be rejected.
func (f *forwarder) mustStopWaiting() bool {
	return f.server.rejecting.Load() && !f.mayHaveRun && !f.stream.started
}

// outputTokensLeft returns the most tokens of the response that the client has not received yet.
func (f *forwarder) outputTokensLeft() int {
	service, known := f.table.Service(f.service)
	if !known || service.Engine == nil {
		return f.maxOutputTokens
	}
	return max(f.maxOutputTokens-f.stream.relayedEvents*service.Engine.TokensPerEvent, 0)
}

// ready returns the channel that signals a free slot to a waiting request; nil if it waits for something else.
func ready(ticket *placement.Ticket) <-chan struct{} {
	if ticket == nil {
		return nil
	}
	return ticket.Ready()
}

// tryEndpoint sends the request to the chosen endpoint and relays the response.
func (f *forwarder) tryEndpoint(ctx context.Context, choice placement.Choice) (attempt.Outcome, nextStep) {
	if f.service == "" {
		f.server.options.RetryPolicy.CountRequest(time.Now(), choice.Endpoint.Service)
	}
	f.service = choice.Endpoint.Service
	call := f.newCall(choice)
	f.triedEndpoints = append(f.triedEndpoints, choice.Endpoint.ID)
	f.expectedStart = choice.ExpectedFirstByte
	f.nextAttemptTime.Store(int64(choice.ExpectedCallTime))
	if f.stream.started {
		f.nextAttemptTime.Store(int64(choice.ExpectedFirstByte))
	}
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

// recordAttempt records the outcome of an attempt after which the client has no complete response.
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
