package serving

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/test/fake/endpoint"
)

// ending is how one try of a client ended.
type ending uint8

const (
	pending  ending = iota
	served          // a whole answer of an endpoint
	promised        // refused: it has not run and never will
	unsent          // there was no connection
	cut             // no whole answer came, and nothing was promised
	failed          // an answer that promises nothing
)

// try is one try of a client.
type try struct {
	kind   kind
	ending ending
	status int
	began  []endpoint.RequestEvent // runs at endpoints
	proxy  string
	killed bool // its proxy was killed meanwhile
}

// ledger has all tries and what became of them, at the clients and at the endpoints.
type ledger struct {
	mutex   sync.Mutex
	tries   map[string]*try
	strange []endpoint.RequestEvent // runs of tries that no client made
	ended   []endpoint.RequestEvent // abandoned runs
	killing string                  // the proxy that is being killed
}

func newLedger() *ledger { return &ledger{tries: map[string]*try{}} }

// open notes a try before it is sent.
func (l *ledger) open(attempt string, k kind, proxy string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tries[attempt] = &try{kind: k, proxy: proxy, killed: proxy == l.killing && proxy != ""}
}

// kill kills a proxy: the tries that it has in hand may get lost.
func (l *ledger) kill(proxy string, kill func()) {
	l.mutex.Lock()
	l.killing = proxy
	for _, each := range l.tries {
		each.killed = each.killed || each.proxy == proxy && each.ending == pending
	}
	l.mutex.Unlock()
	kill()
	l.mutex.Lock()
	l.killing = ""
	l.mutex.Unlock()
}

// close notes how it ended.
func (l *ledger) close(attempt string, how ending, status int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tries[attempt].ending, l.tries[attempt].status = how, status
}

// note takes what an endpoint tells.
func (l *ledger) note(n endpoint.RequestEvent) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch known := l.tries[n.Attempt]; {
	case n.Phase == endpoint.Abandoned:
		l.ended = append(l.ended, n)
	case n.Phase != endpoint.Started:
	case known == nil:
		l.strange = append(l.strange, n)
	default:
		known.began = append(known.began, n)
	}
}

// abandoned tells whether an endpoint has ended its work on a try before it was done.
func (l *ledger) abandoned(attempt string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, n := range l.ended {
		if n.Attempt == attempt {
			return true
		}
	}
	return false
}

// runsAfter are the runs that some endpoints began after a moment.
func (l *ledger) runsAfter(moment time.Time, ids ...string) (runs []endpoint.RequestEvent) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, each := range l.tries {
		for _, n := range each.began {
			for _, id := range ids {
				if n.Endpoint == id && n.At.After(moment) {
					runs = append(runs, n)
				}
			}
		}
	}
	return runs
}

// count are the tries that ended so.
func (l *ledger) count(how ending) (n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, each := range l.tries {
		if each.ending == how {
			n++
		}
	}
	return n
}

// servedBy are the tries that a proxy has served.
func (l *ledger) servedBy(proxy string) (n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, each := range l.tries {
		if each.ending == served && each.proxy == proxy {
			n++
		}
	}
	return n
}

// breaches are what must not be, whatever happens to the system.
func (l *ledger) breaches() (all []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, n := range l.strange {
		all = append(all, "no client asked: "+n.String())
	}
	for attempt, each := range l.tries {
		for _, wrong := range each.breaches() {
			all = append(all, fmt.Sprintf("%s %s by %q, status %d, runs %v: %s", each.kind.name, attempt, each.proxy,
				each.status, each.began, wrong))
		}
	}
	return all
}

// breaches of one try. Requests may only get lost where a proxy is killed.
func (t *try) breaches() (all []string) {
	ran := len(t.began) > 0
	if len(t.began) > 1 && !t.kind.repeatable {
		all = append(all, "ran twice")
	}
	if ran && t.ending == promised && !t.kind.repeatable {
		all = append(all, "refused, but it ran")
	}
	if ran && !t.killed && (t.ending == cut || t.ending == failed) {
		all = append(all, "lost")
	}
	if !ran && t.ending == served {
		all = append(all, "answered, but it did not run")
	}
	if t.status/100 == 4 && t.ending == failed {
		all = append(all, "denied")
	}
	return all
}

// judge fails the test for each breach.
func (l *ledger) judge(t *testing.T) {
	t.Helper()
	assert.Empty(t, l.breaches())
	t.Logf("served %d, refused %d, not connected %d, closed before it ran %d", l.count(served), l.count(promised),
		l.count(unsent), l.count(cut))
}

// TestLedgerSeesBreaches: each kind of breach alone.
func TestLedgerSeesBreaches(t *testing.T) {
	run := func(l *ledger) { l.note(endpoint.RequestEvent{Attempt: "t", Phase: endpoint.Started}) }
	for _, each := range []struct {
		breach string
		kind   kind
		runs   int
		ending ending
		status int
	}{
		{"", kindOrder, 1, served, 200},
		{"", kindStock, 2, served, 200},
		{"", kindOrder, 0, promised, 503},
		{"", kindOrder, 0, cut, 0},
		{"ran twice", kindChat, 2, served, 200},
		{"refused, but it ran", kindOrder, 1, promised, 503},
		{"lost", kindStock, 1, cut, 0},
		{"answered, but it did not run", kindStock, 0, served, 200},
		{"denied", kindStock, 0, failed, 404},
	} {
		l := newLedger()
		l.open("t", each.kind, "")
		for range each.runs {
			run(l)
		}
		l.close("t", each.ending, each.status)
		if each.breach == "" {
			assert.Empty(t, l.breaches())
			continue
		}
		if assert.Len(t, l.breaches(), 1, each.breach) {
			assert.Contains(t, l.breaches()[0], each.breach)
		}
	}
	unknown := newLedger()
	run(unknown)
	assert.Len(t, unknown.breaches(), 1)
}

// TestLedgerOfKilledProxy: what a killed proxy had in hand may get lost, nothing before or after it, and none may run
// twice.
func TestLedgerOfKilledProxy(t *testing.T) {
	l := newLedger()
	note := func(attempt string) { l.note(endpoint.RequestEvent{Attempt: attempt, Phase: endpoint.Started}) }
	l.open("in hand", kindOrder, "p")
	l.kill("p", func() { l.open("meanwhile", kindOrder, "p") })
	l.open("after", kindOrder, "p")
	l.open("elsewhere", kindOrder, "q")
	for _, attempt := range []string{"in hand", "meanwhile", "after", "elsewhere"} {
		note(attempt)
		l.close(attempt, cut, 0)
	}
	assert.Len(t, l.breaches(), 2)
	note("in hand")
	assert.Len(t, l.breaches(), 3)
}
