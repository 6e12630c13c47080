package serving

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/test/fake/endpoint"
)

// attemptResult is how a client's attempt ended.
type attemptResult uint8

const (
	pending      attemptResult = iota
	served                     // an endpoint's complete response
	rejected                   // with the promise that it has not run and never will
	notConnected               // there was no connection
	broken                     // no complete response and no promise
	failed                     // a response without a promise
)

// clientAttempt is one attempt of a client.
type clientAttempt struct {
	kind        requestKind
	result      attemptResult
	status      int
	runs        []endpoint.RequestEvent // at endpoints
	proxy       string
	proxyKilled bool // during the attempt
}

// requestLedger records all attempts and what became of them, at the clients and at the endpoints.
type requestLedger struct {
	mutex            sync.Mutex
	attempts         map[string]*clientAttempt
	unknownRuns      []endpoint.RequestEvent // of attempts that no client made
	abandonedRuns    []endpoint.RequestEvent // abandoned runs
	proxyBeingKilled string                  // empty: none
}

func newLedger() *requestLedger { return &requestLedger{attempts: map[string]*clientAttempt{}} }

// startAttempt records an attempt before it is sent.
func (l *requestLedger) startAttempt(attempt string, k requestKind, proxy string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.attempts[attempt] = &clientAttempt{kind: k, proxy: proxy, proxyKilled: proxy == l.proxyBeingKilled && proxy != ""}
}

// killProxy kills a proxy: the attempts in flight there may be lost.
func (l *requestLedger) killProxy(proxy string, kill func()) {
	l.mutex.Lock()
	l.proxyBeingKilled = proxy
	for _, each := range l.attempts {
		each.proxyKilled = each.proxyKilled || each.proxy == proxy && each.result == pending
	}
	l.mutex.Unlock()
	kill()
	l.mutex.Lock()
	l.proxyBeingKilled = ""
	l.mutex.Unlock()
}

// finishAttempt records how an attempt ended.
func (l *requestLedger) finishAttempt(attempt string, result attemptResult, status int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.attempts[attempt].result, l.attempts[attempt].status = result, status
}

// recordEvent records an endpoint's event.
func (l *requestLedger) recordEvent(n endpoint.RequestEvent) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch known := l.attempts[n.Attempt]; {
	case n.Phase == endpoint.Abandoned:
		l.abandonedRuns = append(l.abandonedRuns, n)
	case n.Phase != endpoint.Started:
	case known == nil:
		l.unknownRuns = append(l.unknownRuns, n)
	default:
		known.runs = append(known.runs, n)
	}
}

// wasAbandoned reports whether an endpoint has abandoned an attempt.
func (l *requestLedger) wasAbandoned(attempt string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, n := range l.abandonedRuns {
		if n.Attempt == attempt {
			return true
		}
	}
	return false
}

// runsAfter returns the runs that some endpoints started after a time.
func (l *requestLedger) runsAfter(moment time.Time, ids ...string) (runs []endpoint.RequestEvent) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, each := range l.attempts {
		for _, n := range each.runs {
			for _, id := range ids {
				if n.Endpoint == id && n.At.After(moment) {
					runs = append(runs, n)
				}
			}
		}
	}
	return runs
}

// proxyOf returns the proxy that a client sent an attempt to; empty: no client made it.
func (l *requestLedger) proxyOf(attempt string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.attempts[attempt]; known != nil {
		return known.proxy
	}
	return ""
}

// countResult returns the number of attempts with a result.
func (l *requestLedger) countResult(result attemptResult) (n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, each := range l.attempts {
		if each.result == result {
			n++
		}
	}
	return n
}

// countServedBy returns the number of attempts that a proxy has served.
func (l *requestLedger) countServedBy(proxy string) (n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, each := range l.attempts {
		if each.result == served && each.proxy == proxy {
			n++
		}
	}
	return n
}

// violations returns what must not happen, whatever happens to the system.
func (l *requestLedger) violations() (all []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, n := range l.unknownRuns {
		all = append(all, "unknown attempt: "+n.String())
	}
	for attempt, each := range l.attempts {
		for _, wrong := range each.violations() {
			all = append(all, fmt.Sprintf("%s %s by %q, status %d, runs %v: %s", each.kind.name, attempt, each.proxy,
				each.status, each.runs, wrong))
		}
	}
	return all
}

// violations returns those of one attempt. Requests may only be lost if their proxy is killed.
func (t *clientAttempt) violations() (all []string) {
	ran := len(t.runs) > 0
	if len(t.runs) > 1 && !t.kind.idempotent {
		all = append(all, "ran twice")
	}
	if ran && t.result == rejected && !t.kind.idempotent {
		all = append(all, "rejected, but it ran")
	}
	if ran && !t.proxyKilled && (t.result == broken || t.result == failed) {
		all = append(all, "lost")
	}
	if !ran && t.result == served {
		all = append(all, "answered, but it did not run")
	}
	if t.status/100 == 4 && t.result == failed {
		all = append(all, "denied")
	}
	return all
}

// check fails the test if there are violations.
func (l *requestLedger) check(t *testing.T) {
	t.Helper()
	assert.Empty(t, l.violations())
	t.Logf("served %d, rejected %d, not connected %d, closed before it ran %d", l.countResult(served), l.countResult(rejected),
		l.countResult(notConnected), l.countResult(broken))
}

// TestRequestLedger_Violations: each kind of violation alone.
func TestRequestLedger_Violations(t *testing.T) {
	run := func(l *requestLedger) { l.recordEvent(endpoint.RequestEvent{Attempt: "t", Phase: endpoint.Started}) }
	for _, each := range []struct {
		breach string
		kind   requestKind
		runs   int
		ending attemptResult
		status int
	}{
		{"", kindOrder, 1, served, 200},
		{"", kindStock, 2, served, 200},
		{"", kindOrder, 0, rejected, 503},
		{"", kindOrder, 0, broken, 0},
		{"ran twice", kindChat, 2, served, 200},
		{"rejected, but it ran", kindOrder, 1, rejected, 503},
		{"lost", kindStock, 1, broken, 0},
		{"answered, but it did not run", kindStock, 0, served, 200},
		{"denied", kindStock, 0, failed, 404},
	} {
		l := newLedger()
		l.startAttempt("t", each.kind, "")
		for range each.runs {
			run(l)
		}
		l.finishAttempt("t", each.ending, each.status)
		if each.breach == "" {
			assert.Empty(t, l.violations())
			continue
		}
		if assert.Len(t, l.violations(), 1, each.breach) {
			assert.Contains(t, l.violations()[0], each.breach)
		}
	}
	unknown := newLedger()
	run(unknown)
	assert.Len(t, unknown.violations(), 1)
}

// TestRequestLedger_KilledProxy: requests in flight at a killed proxy may be lost, none before or after, and none may
// run twice.
func TestRequestLedger_KilledProxy(t *testing.T) {
	l := newLedger()
	recordRun := func(attempt string) { l.recordEvent(endpoint.RequestEvent{Attempt: attempt, Phase: endpoint.Started}) }
	l.startAttempt("in flight", kindOrder, "p")
	l.killProxy("p", func() { l.startAttempt("meanwhile", kindOrder, "p") })
	l.startAttempt("after", kindOrder, "p")
	l.startAttempt("elsewhere", kindOrder, "q")
	for _, attempt := range []string{"in flight", "meanwhile", "after", "elsewhere"} {
		recordRun(attempt)
		l.finishAttempt(attempt, broken, 0)
	}
	assert.Len(t, l.violations(), 2)
	recordRun("in flight")
	assert.Len(t, l.violations(), 3)
}
