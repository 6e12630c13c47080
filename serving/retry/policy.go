// Package retry decides whether a request goes again after an attempt has ended, and when. It does no I/O; the
// caller passes the time of the steady clock. It is the only layer that repeats: connections to endpoints don't.
//
// The waits follow the design's schedule (package backoff). What all proxies together repeat stays under the
// operator's bound without their talking: each has a share of it that can't add up to more.
package retry

import (
	"sync"
	"time"

	"rowanlink/internal/backoff"
	"rowanlink/internal/mwcrand"
	"rowanlink/serving/attempt"
	"rowanlink/serving/routing"
)

// The schedule's free values. Objectives are some hundred milliseconds: with a unit of 20 ms the first wait is 10 ms
// on average, so that a request whose endpoint has gone still meets its objective, and the sixth has reached the cap.
// The cap of 400 ms keeps repeats of a service that stays away under three a second for each request.
const (
	backoffUnit = 20 * time.Millisecond
	maxBackoff  = 400 * time.Millisecond
	// maxUndeliveredAttempts bounds the attempts of a request that reached no endpoint that could have run it.
	maxUndeliveredAttempts = 4
)

// End is how a request ends that isn't tried again.
type End uint8

// The ends.
const (
	EndNone     End = iota
	EndRejected     // no attempt may have run: the client is told to come again
	EndFailed       // an attempt may have run
)

// FailedAttempt describes a request after an attempt of it has ended without success.
type FailedAttempt struct {
	Route   *routing.Route
	Service string          // that the attempt went to
	Number  int             // number of the attempt that ended, from zero
	Outcome attempt.Outcome // of that attempt
	// CountedAttempts counts the attempts, this one included, that count toward the route's tries: not those that failed to
	// connect, were at the own limit on connections or were misdirected, as nothing that could have run the request got it.
	CountedAttempts int
	// SentAttempts counts the attempts, this one included, that arrived at some endpoint or may have: all but those that
	// failed to connect or were at the own limit. After none, the next one is no repeat for the common budget.
	SentAttempts int
	// MayHaveRun: this or an earlier attempt may have run.
	MayHaveRun bool
	TimeLeft   time.Duration
}

// Decision is what follows. Wait holds where Again is set, End where it isn't.
type Decision struct {
	Retry   bool
	Backoff time.Duration
	End     End
}

// Policy decides for one proxy. It is safe for use by several goroutines.
type Policy struct {
	mutex   sync.Mutex
	limits  Limits
	started time.Time
	proxies int
	random  *mwcrand.Source
	budgets map[string]*budget // by service
}

// New starts a policy with an empty budget.
func New(now time.Time, limits Limits, seed uint64) *Policy {
	return &Policy{limits: limits, started: now, proxies: 1, random: mwcrand.New(seed), budgets: map[string]*budget{}}
}

// SetProxies tells the most proxies that may run. The number in use never falls: what was seen once may run again.
func (p *Policy) SetProxies(most int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.proxies = max(p.proxies, most)
}

// SetLimits takes in the operator's bounds, which may change in a process's life. The window stays as it was at the
// start: what was counted in it can't be counted anew.
func (p *Policy) SetLimits(limits Limits) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limits.Window = p.limits.Window
	p.limits = limits
}

// CountRequest counts a client's request for a service. Call it once a request, before its first attempt.
func (p *Policy) CountRequest(now time.Time, service string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.budget(now, service).countRequest()
}

// Decide decides what follows an attempt that has not succeeded. A repeat that it grants is counted at once.
func (p *Policy) Decide(now time.Time, try FailedAttempt) Decision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !isRetryable(try) {
		return finalDecision(try)
	}
	wait := Backoff(try.Number, p.random.Float64())
	if wait >= try.TimeLeft {
		return finalDecision(try)
	}
	if try.SentAttempts > 0 {
		budget := p.budget(now, try.Service)
		if !budget.allowsRetry(p.limits, now.Sub(p.started), p.proxies) {
			return finalDecision(try)
		}
		budget.countRetry()
	}
	return Decision{Retry: true, Backoff: wait}
}

// Backoff is the schedule's wait before retry number i, from zero, for a random draw x from [0, 1).
func Backoff(i int, x float64) time.Duration {
	m := float64(maxBackoff) / float64(backoffUnit)
	return time.Duration(backoff.Delay(m, i, x, float64(backoffUnit)))
}

// isRetryable applies what the kind of request, the outcome and the route's tries allow.
func isRetryable(try FailedAttempt) bool {
	if try.Outcome == attempt.Succeeded || try.Outcome == attempt.Canceled {
		return false
	}
	unsafe := try.MayHaveRun || !try.Outcome.NeverRan()
	if unsafe && !try.Route.Idempotent() {
		return false
	}
	return try.CountedAttempts < try.Route.MaxAttempts && try.Number+1-try.CountedAttempts < maxUndeliveredAttempts
}

func finalDecision(try FailedAttempt) Decision {
	if try.MayHaveRun || !try.Outcome.NeverRan() {
		return Decision{End: EndFailed}
	}
	return Decision{End: EndRejected}
}

// budget returns a service's counts, brought up to now.
func (p *Policy) budget(now time.Time, service string) *budget {
	known := p.budgets[service]
	if known == nil {
		known = &budget{bucketWidth: max(p.limits.Window/bucketCount, time.Millisecond)}
		p.budgets[service] = known
	}
	known.advance(now.Sub(p.started))
	return known
}
