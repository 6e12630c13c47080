package retry

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"rowanlink/internal/mwcrand"
	"rowanlink/serving/attempt"
	"rowanlink/serving/routing"
)

var (
	limits = Limits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	start  = time.Unix(1000, 0)
)

// newPolicyWithBudget returns a policy that has counted so many requests that the budget doesn't limit retries.
func newPolicyWithBudget(now time.Time) *Policy {
	p := New(start, limits, 1)
	for range 1000 {
		p.CountRequest(now, "s")
	}
	return p
}

func TestDecide_ByRouteAndOutcome(t *testing.T) {
	atMostOnce := &routing.Route{Kind: routing.KindAtMostOnce, MaxAttempts: 3}
	idempotent := &routing.Route{Kind: routing.KindIdempotent, MaxAttempts: 3}
	stream := &routing.Route{Kind: routing.KindStream, MaxAttempts: 3}
	resumable := &routing.Route{Kind: routing.KindStream, Resumable: true, MaxAttempts: 3}
	for _, c := range []struct {
		name    string
		route   *routing.Route
		outcome attempt.Outcome
		ran     bool
		retry   bool
		end     End
	}{
		{name: "at most once, failed", route: atMostOnce, outcome: attempt.Failed, end: EndFailed},
		{name: "at most once, broken", route: atMostOnce, outcome: attempt.Broken, end: EndFailed},
		{name: "at most once, timed out", route: atMostOnce, outcome: attempt.TimedOut, end: EndFailed},
		{name: "at most once, rejected", route: atMostOnce, outcome: attempt.Rejected, retry: true},
		{name: "at most once, misdirected", route: atMostOnce, outcome: attempt.Misdirected, retry: true},
		{name: "at most once, nothing sent", route: atMostOnce, outcome: attempt.ConnectFailed, retry: true},
		{name: "at most once, may have run before", route: atMostOnce, outcome: attempt.Rejected, ran: true, end: EndFailed},
		{name: "idempotent, failed", route: idempotent, outcome: attempt.Failed, retry: true},
		{name: "idempotent, timed out", route: idempotent, outcome: attempt.TimedOut, ran: true, retry: true},
		{name: "stream, broken", route: stream, outcome: attempt.Broken, end: EndFailed},
		{name: "resumable stream, broken", route: resumable, outcome: attempt.Broken, retry: true},
		{name: "after success", route: idempotent, outcome: attempt.Succeeded, ran: true, end: EndFailed},
		{name: "canceled by the client", route: idempotent, outcome: attempt.Canceled, ran: true, end: EndFailed},
	} {
		now := start.Add(20 * time.Second)
		got := newPolicyWithBudget(now).Decide(now, FailedAttempt{
			Route:           c.route,
			Service:         "s",
			Outcome:         c.outcome,
			CountedAttempts: 1,
			SentAttempts:    1,
			MayHaveRun:      c.ran,
			TimeLeft:        time.Second,
		})
		assert.Equal(t, c.retry, got.Retry, c.name)
		assert.Equal(t, c.end, got.End, c.name)
	}
}

func TestDecide_CountsAttemptsThatReachedAnEndpoint(t *testing.T) {
	route := &routing.Route{Kind: routing.KindIdempotent, MaxAttempts: 2}
	now := start.Add(20 * time.Second)
	p := newPolicyWithBudget(now)
	retries := func(attempts, reached int) bool {
		return p.Decide(now, FailedAttempt{Route: route, Service: "s", Number: attempts, Outcome: attempt.ConnectFailed,
			CountedAttempts: reached, SentAttempts: reached, TimeLeft: time.Minute}).Retry
	}
	assert.True(t, retries(0, 0))
	assert.True(t, retries(0, 1))
	assert.False(t, retries(1, 2), "the attempts are used up")
	assert.True(t, retries(3, 1), "three attempts failed to connect")
	assert.False(t, retries(4, 1), "four attempts failed to connect")
}

// TestDecide_BudgetExhausted checks that a retryable request without budget learns when to ask again, and that its retry
// is granted once further requests have raised the budget.
func TestDecide_BudgetExhausted(t *testing.T) {
	p := New(start, Limits{Ratio: 0.2, Window: 10 * time.Second}, 1)
	now := start.Add(20 * time.Second)
	failed := FailedAttempt{
		Route:           &routing.Route{Kind: routing.KindIdempotent, MaxAttempts: 3},
		Service:         "s",
		Outcome:         attempt.Broken,
		CountedAttempts: 1,
		SentAttempts:    1,
		TimeLeft:        time.Second,
	}
	decision := p.Decide(now, failed)
	assert.False(t, decision.Retry)
	assert.True(t, decision.BudgetExhausted)
	assert.Equal(t, EndFailed, decision.End)
	assert.GreaterOrEqual(t, decision.Backoff, minBudgetWait)
	for range 100 {
		p.CountRequest(now, "s")
	}
	assert.True(t, p.Decide(now, failed).Retry)

	failed.CountedAttempts = 3
	assert.False(t, p.Decide(now, failed).BudgetExhausted, "a request without attempts left isn't told to wait for budget")
}

func TestDecide_BackoffBeyondDeadline(t *testing.T) {
	now := start.Add(20 * time.Second)
	rapid.Check(t, func(t *rapid.T) {
		p := newPolicyWithBudget(now)
		left := time.Duration(rapid.IntRange(-5, 500).Draw(t, "left")) * time.Millisecond
		ran := rapid.Bool().Draw(t, "ran")
		route := &routing.Route{Kind: routing.KindIdempotent, MaxAttempts: 99}
		got := p.Decide(now, FailedAttempt{Route: route, Service: "s", Number: rapid.IntRange(0, 20).Draw(t, "attempt"),
			Outcome: attempt.Rejected, CountedAttempts: 20, SentAttempts: 20, MayHaveRun: ran, TimeLeft: left})
		switch {
		case got.Retry:
			assert.Less(t, got.Backoff, left)
			assert.LessOrEqual(t, got.Backoff, maxBackoff)
		case ran:
			assert.Equal(t, EndFailed, got.End)
		default:
			assert.Equal(t, EndRejected, got.End)
		}
	})
}

func TestBackoff_Bands(t *testing.T) {
	for i := range 5 {
		assert.LessOrEqual(t, Backoff(i, 0.999), backoffUnit<<i)
	}
	assert.GreaterOrEqual(t, Backoff(9, 0), maxBackoff*8/10-1)
	assert.LessOrEqual(t, Backoff(9, 0.999), maxBackoff)
}

func TestDecide_UnsentAttemptsUseNoBudget(t *testing.T) {
	p := New(start, limits, 1) // has no budget: no requests yet, and the slack begins at zero
	route := &routing.Route{Kind: routing.KindAtMostOnce, MaxAttempts: 2}
	failed := FailedAttempt{Route: route, Service: "s", Outcome: attempt.ConnectFailed, TimeLeft: time.Second}
	assert.True(t, p.Decide(start, failed).Retry)
	failed.SentAttempts = 1
	assert.False(t, p.Decide(start, failed).Retry)
}

// simulation simulates several proxies that retry whenever their policies allow it. It records the times of their
// requests and retries since the start.
type simulation struct {
	requests []time.Duration
	retries  []time.Duration
}

// run simulates 60 s of traffic at a varying rate. Some proxies restart. known is the number of proxies that each proxy
// knows of.
func (s *simulation) run(t *rapid.T, proxies, known int, random *mwcrand.Source) {
	policies := make([]*Policy, proxies)
	for index := range policies {
		policies[index] = New(start, limits, uint64(index))
		policies[index].SetProxies(known)
	}
	route := &routing.Route{Kind: routing.KindIdempotent, MaxAttempts: 10}
	rate := rapid.Float64Range(0.5, 60).Draw(t, "requests a second")
	amplitude := rapid.Float64Range(0, 0.9).Draw(t, "amplitude")
	for at := time.Duration(0); at < 60*time.Second; {
		currentRate := rate * (1 + amplitude*math.Sin(at.Seconds()/4))
		at += time.Duration(-math.Log(1-random.Float64()) / currentRate * float64(time.Second))
		index := int(random.Float64() * float64(proxies))
		if random.Float64() < 0.02 {
			policies[index] = New(start.Add(at), limits, uint64(at)) // a restarted proxy doesn't know the retries of its earlier incarnation
			policies[index].SetProxies(known)
		}
		s.requests = append(s.requests, at)
		policies[index].CountRequest(start.Add(at), "s")
		for range 3 {
			failed := FailedAttempt{
				Route:           route,
				Service:         "s",
				Outcome:         attempt.Failed,
				CountedAttempts: 1,
				SentAttempts:    1,
				TimeLeft:        time.Hour,
			}
			if policies[index].Decide(start.Add(at), failed).Retry {
				s.retries = append(s.retries, at)
			}
		}
	}
}

func countWithin(times []time.Duration, from, to time.Duration) (count int) {
	for _, at := range times {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

func TestBudget_AllProxiesTogetherStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxies := rapid.IntRange(1, 30).Draw(t, "proxies")
		var s simulation
		s.run(t, proxies, proxies, mwcrand.New(rapid.Uint64().Draw(t, "seed")))
		for from := time.Duration(0); from < 50*time.Second; from += 250 * time.Millisecond {
			// The limit follows from the largest number of requests in one of three windows: the window of the retries, and
			// the windows that began half a window and a whole window earlier.
			maxRequests := 0
			for _, lag := range []time.Duration{0, limits.Window / 2, limits.Window} {
				maxRequests = max(maxRequests, countWithin(s.requests, from-lag, from-lag+limits.Window))
			}
			retries := countWithin(s.retries, from, from+limits.Window)
			assert.LessOrEqual(t, float64(retries), limits.Ratio*float64(maxRequests)+limits.Slack,
				strconv.Itoa(proxies)+" proxies, window from "+from.String())
		}
	})
}

func TestBudget_DropsOldRetries(t *testing.T) {
	p := New(start, limits, 1)
	route := &routing.Route{Kind: routing.KindIdempotent, MaxAttempts: 10}
	failed := FailedAttempt{
		Route:           route,
		Service:         "s",
		Outcome:         attempt.Failed,
		CountedAttempts: 1,
		SentAttempts:    1,
		TimeLeft:        time.Hour,
	}
	granted := func(now time.Time) (count int) {
		for p.Decide(now, failed).Retry {
			count++
		}
		return count
	}
	now := start.Add(30 * time.Second)
	first := granted(now)
	assert.Equal(t, 14, first, "0.8 * 54 / (1 + 2)")
	assert.Zero(t, granted(now.Add(9*time.Second)))
	assert.Equal(t, first, granted(now.Add(12*time.Second)))
}
