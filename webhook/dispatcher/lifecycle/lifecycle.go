// Package lifecycle holds the phases of the program, from start to exit, as named states of one object.
package lifecycle

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// The protocol's figures of a planned restart, from SIGTERM on.
const (
	connectionsCome = 400 * time.Millisecond  // new connections keep coming so long
	killAfter       = 3700 * time.Millisecond // no SIGKILL before
)

// Phase is one of the program's states; it only moves on.
type Phase int32

const (
	Starting  Phase = iota // reads what it is told and what an earlier life left
	Serving                // takes webhooks on and delivers them
	Draining               // told to end: still takes on what comes, asks clients to go elsewhere
	Rejecting              // takes nothing on any more, still delivers
	Finishing              // starts no calls, waits for those out and for clients to go
	Stopped                // nothing runs any more; what is owed is in the journal
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "leaving", "refusing", "settling", "ended"}[p]
}

// Lifecycle is the one object that says where the program stands.
type Lifecycle struct{ phase atomic.Int32 }

// Phase tells where it stands.
func (l *Lifecycle) Phase() Phase { return Phase(l.phase.Load()) }

// Enter moves on to a phase.
func (l *Lifecycle) Enter(p Phase) {
	l.phase.Store(int32(p))
	slog.Info("phase", "now", p.String())
}

// Ready tells whether clients may be sent here.
func (l *Lifecycle) Ready() bool { return l.Phase() == Serving }

// AcceptsWebhooks tells whether webhooks are taken on.
func (l *Lifecycle) AcceptsWebhooks() bool { p := l.Phase(); return p == Serving || p == Draining }

// StartsCalls tells whether calls are started.
func (l *Lifecycle) StartsCalls() bool { p := l.Phase(); return p >= Serving && p < Finishing }

// Shutdown goes from serving to settled: what comes is taken on until no more connections come, calls are
// started for as long as their answers can still be in time, and those out are waited for. The rest stays.
// Clients are refused until they have gone: guards against an end that cuts connections on which they send.
func (l *Lifecycle) Shutdown(empty func() bool, callsOut func() int, clientsGone func() bool) {
	told := time.Now()
	until := func(span time.Duration, done func() bool) {
		for time.Since(told) < span && !done() {
			time.Sleep(killAfter / 100)
		}
	}
	l.Enter(Draining)
	until(connectionsCome*5/4, func() bool { return false })
	l.Enter(Rejecting)
	until(killAfter*6/10, empty)
	l.Enter(Finishing)
	until(killAfter*9/10, func() bool { return callsOut() == 0 && clientsGone() })
}
