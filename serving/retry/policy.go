// Package retry decides whether and when a request is retried after a failed attempt. It performs no I/O; the caller
// passes the monotonic time. It is the only layer that retries: the connections to endpoints make no retries of their own.
//
// The backoff follows the schedule of package backoff. A retry budget bounds the retries of all proxies together
// without coordination: each proxy has a share of the operator's limits, and the shares together don't exceed them.
package retry

import (
	"sync"
	"time"

	"rowanlink/internal/backoff"
	"rowanlink/internal/mwcrand"
	"rowanlink/serving/attempt"
	"rowanlink/serving/routing"
)

// Parameters of the backoff. With a unit of 20 ms the first backoff is 10 ms on average, little beside a call, and from
// the sixth on a backoff can reach the upper bound. While a service stays unavailable, the bound of 400 ms limits each request to about three
// retries a second.
const (
	backoffUnit = 20 * time.Millisecond
	maxBackoff  = 400 * time.Millisecond
	// minBudgetWait is the least time after which a request that found the budget exhausted asks again. Each further
	// request to the service raises the budget.
	minBudgetWait = 50 * time.Millisecond
	// maxUndeliveredAttempts bounds the attempts of one request that don't count toward the route's limit, see
	// FailedAttempt.CountedAttempts.
	maxUndeliveredAttempts = 4
)

// End is the way in which a request ends if it isn't retried.
type End uint8

// The ends.
const (
	EndNone     End = iota // the request is retried
	EndRejected            // no attempt has run, so the client may retry safely
	EndFailed              // an attempt may have run
)

// FailedAttempt describes a request after an attempt that has not succeeded.
type FailedAttempt struct {
	Route   *routing.Route
	Service string          // service of the attempt's endpoint
	Number  int             // number of the attempt, from zero
	Outcome attempt.Outcome // outcome of the attempt
	// CountedAttempts is the number of attempts, including this one, that count toward the route's limit: all but those
	// that failed to connect, were not sent because this process's connection limit was reached, or were misdirected.
	// Those reached no endpoint that could have run the request.
	CountedAttempts int
	// SentAttempts is the number of attempts, including this one, that reached some endpoint or may have: all but those
	// that failed to connect or were not sent because of the connection limit. If it is zero, the next attempt needs no
	// budget.
	SentAttempts int
	MayHaveRun   bool          // this or an earlier attempt may have run
	TimeLeft     time.Duration // time until the request's deadline
}

// Decision is what to do after a failed attempt. Backoff is valid if Retry or BudgetExhausted is set, End if Retry isn't.
type Decision struct {
	Retry   bool
	Backoff time.Duration
	End     End
	// BudgetExhausted means that only the retry budget, which is used up for now, prevents a retry. If the client
	// already has a part of a stream, the caller may call Decide again after Backoff instead of ending the request.
	BudgetExhausted bool
}

// Policy decides on the retries of one proxy. It is safe for concurrent use.
type Policy struct {
	mutex     sync.Mutex
	limits    Limits
	startedAt time.Time
	proxies   int
	random    *mwcrand.Source
	budgets   map[string]*budget // by service
}

// New returns a policy that has counted no requests and no retries.
func New(now time.Time, limits Limits, seed uint64) *Policy {
	return &Policy{
		limits:    limits,
		startedAt: now,
		proxies:   1,
		random:    mwcrand.New(seed),
		budgets:   map[string]*budget{},
	}
}

// SetProxies sets the largest number of proxies that may run at once, among which the limits are divided. A smaller number
// than an earlier one is ignored, since proxies that were seen once may run again.
func (p *Policy) SetProxies(proxies int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.proxies = max(p.proxies, proxies)
}

// SetLimits replaces the operator's limits, which may change while the process runs. It keeps the window, since requests
// and retries that were already counted can't be assigned to buckets of another width.
func (p *Policy) SetLimits(limits Limits) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limits.Window = p.limits.Window
	p.limits = limits
}

// CountRequest counts a client's request for a service. It must be called once per request, before the first attempt.
func (p *Policy) CountRequest(now time.Time, service string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.currentBudget(now, service).countRequest()
}

// Decide returns what to do after an attempt that has not succeeded. A retry that it grants is charged to the budget at
// once.
func (p *Policy) Decide(now time.Time, failed FailedAttempt) Decision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !isRetryable(failed) {
		return finalDecision(failed)
	}
	wait := Backoff(failed.Number, p.random.Float64())
	if wait >= failed.TimeLeft {
		return finalDecision(failed)
	}
	if failed.SentAttempts > 0 {
		budget := p.currentBudget(now, failed.Service)
		if !budget.allowsRetry(p.limits, now.Sub(p.startedAt), p.proxies) {
			decision := finalDecision(failed)
			decision.BudgetExhausted = true
			decision.Backoff = max(wait, minBudgetWait)
			return decision
		}
		budget.countRetry()
	}
	return Decision{Retry: true, Backoff: wait}
}

// Backoff returns the backoff before a retry, numbered from zero. random is a draw from [0, 1).
func Backoff(retry int, random float64) time.Duration {
	units := float64(maxBackoff) / float64(backoffUnit)
	return time.Duration(backoff.Delay(units, retry, random, float64(backoffUnit)))
}

// isRetryable reports whether the request's kind, the outcomes and the number of attempts allow a retry.
func isRetryable(failed FailedAttempt) bool {
	if failed.Outcome == attempt.Succeeded || failed.Outcome == attempt.Canceled {
		return false
	}
	mayHaveRun := failed.MayHaveRun || !failed.Outcome.NeverRan()
	if mayHaveRun && !failed.Route.Idempotent() {
		return false
	}
	undelivered := failed.Number + 1 - failed.CountedAttempts
	return failed.CountedAttempts < failed.Route.MaxAttempts && undelivered < maxUndeliveredAttempts
}

// finalDecision returns the decision for a request that isn't retried.
func finalDecision(failed FailedAttempt) Decision {
	if failed.MayHaveRun || !failed.Outcome.NeverRan() {
		return Decision{End: EndFailed}
	}
	return Decision{End: EndRejected}
}

// currentBudget returns a service's budget, advanced to the current time.
func (p *Policy) currentBudget(now time.Time, service string) *budget {
	known := p.budgets[service]
	if known == nil {
		known = &budget{bucketWidth: max(p.limits.Window/bucketCount, time.Millisecond)}
		p.budgets[service] = known
	}
	known.advance(now.Sub(p.startedAt))
	return known
}
