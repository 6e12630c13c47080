package httpserver

import (
	"context"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/attempt"
	"rowanlink/serving/retry"
)

// waitForRetry waits until the next attempt is due. If there is none, it responds to the client and returns false.
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

// decideNextAttempt applies the retry policy to the attempt that has ended. If the client has received part of a stream
// and the retry budget is exhausted, it asks again until there is budget or the request runs out of time. Ending the
// stream would waste the part that was sent; besides, its first attempt may have been abandoned only because the policy
// had granted another one.
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

// mayAbandonAttempt decides whether to abandon an attempt that makes no progress: only if another attempt is expected to
// be in time, or to resume in time the stream of which the client has a part, and the retry policy grants it. It runs on another goroutine while the handler's goroutine waits for the endpoint.
func (f *forwarder) mayAbandonAttempt() bool {
	if time.Until(f.deadline) < time.Duration(f.nextAttemptTime.Load()) {
		return false
	}
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
