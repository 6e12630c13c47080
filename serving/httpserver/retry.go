package httpserver

import (
	"context"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/attempt"
	"rowanlink/serving/retry"
)

// waitForRetry waits until the next attempt is due. It returns false if there is none and the request has been
// responded to.
func (f *forwarder) waitForRetry(ctx context.Context, outcome attempt.Outcome) bool {
	if f.mayHaveRun && !f.route.Idempotent() {
		f.respondFailed(ctx)
		return false
	}
	decision := f.grantedRetry
	if decision == nil {
		decided := f.decideNextAttempt(ctx, outcome)
		decision = &decided
	}
	if !decision.Retry {
		f.respondUnserved(ctx)
		return false
	}
	if !ctxsleep.Sleep(ctx, decision.Backoff) {
		f.abortConnection(ctx)
	}
	return true
}

// decideNextAttempt applies the retry policy to the attempt that has ended. A stream that the client has part of waits
// for retry budget, as long as the request has time: to end it would lose what was sent, and its first attempt may have
// been abandoned only because another one had been granted.
func (f *forwarder) decideNextAttempt(ctx context.Context, outcome attempt.Outcome) retry.Decision {
	for {
		decision := f.decideRetry(retry.FailedAttempt{
			Number:          f.attempts - 1,
			Outcome:         outcome,
			CountedAttempts: f.countedAttempts,
			SentAttempts:    f.sentAttempts,
			MayHaveRun:      f.mayHaveRun,
		})
		if !decision.BudgetExhausted || !f.stream.started {
			return decision
		}
		if !ctxsleep.Sleep(ctx, decision.Backoff) {
			f.abortConnection(ctx)
		}
	}
}

// mayAbandonAttempt decides whether an attempt without progress is to be ended: only if the request may then be
// retried. It runs on another goroutine while the forwarder's own waits for the endpoint.
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

// decideRetry applies the retry policy to an attempt.
func (f *forwarder) decideRetry(failed retry.FailedAttempt) retry.Decision {
	now := time.Now()
	failed.Route = f.route
	failed.Service = f.service
	failed.TimeLeft = f.deadline.Sub(now)
	return f.server.options.RetryPolicy.Decide(now, failed)
}
