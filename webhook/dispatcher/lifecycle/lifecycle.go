// Package lifecycle holds the phases of the dispatcher's process, from start to exit.
package lifecycle

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// The platform's schedule of a planned restart, counted from SIGTERM.
const (
	newConnectionsFor = 400 * time.Millisecond  // clients may still open connections
	killAfter         = 3700 * time.Millisecond // SIGKILL is sent no earlier
)

// The steps of the graceful shutdown, as fractions of that schedule.
const (
	drainFor     = newConnectionsFor * 5 / 4
	deliverUntil = killAfter * 6 / 10
	finishUntil  = killAfter * 9 / 10
	pollInterval = killAfter / 100
)

// Phase is a phase of the process. Phases only move forward.
type Phase int32

// Phases in their order.
const (
	Starting  Phase = iota // reads the configuration and recovers the write-ahead log
	Serving                // accepts webhooks and delivers them
	Draining               // after SIGTERM: still accepts webhooks, has clients use another dispatcher
	Rejecting              // accepts no webhooks, still delivers
	Finishing              // starts no calls, waits for those in flight and for clients to leave
	Stopped                // nothing runs; what is pending is in the write-ahead log
)

// String returns the phase's name for logs and readiness checks.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "draining", "rejecting", "finishing", "stopped"}[p]
}

// Lifecycle holds the process's phase. It is safe for concurrent use.
type Lifecycle struct{ phase atomic.Int32 }

// Phase returns the present phase.
func (l *Lifecycle) Phase() Phase { return Phase(l.phase.Load()) }

// Enter moves on to a phase.
func (l *Lifecycle) Enter(p Phase) {
	l.phase.Store(int32(p))
	slog.Info("phase", "now", p.String())
}

// Ready reports whether clients may be sent here.
func (l *Lifecycle) Ready() bool { return l.Phase() == Serving }

// AcceptsWebhooks reports whether new webhooks are accepted.
func (l *Lifecycle) AcceptsWebhooks() bool {
	p := l.Phase()
	return p == Serving || p == Draining
}

// StartsCalls reports whether calls are started.
func (l *Lifecycle) StartsCalls() bool {
	p := l.Phase()
	return p >= Serving && p < Finishing
}

// Shutdown takes the process from Serving to Finishing and returns when it may stop. New webhooks are accepted until
// clients open no more connections. Calls are started as long as their answers can still arrive in time, and calls in
// flight are waited for; what remains stays in the write-ahead log. Clients that are still connected are answered with a
// rejection: closing their connections earlier would lose requests.
func (l *Lifecycle) Shutdown(isEmpty func() bool, callsInFlight func() int, clientsGone func() bool) {
	begun := time.Now()
	waitUntil := func(limit time.Duration, done func() bool) {
		for time.Since(begun) < limit && !done() {
			time.Sleep(pollInterval)
		}
	}
	l.Enter(Draining)
	waitUntil(drainFor, func() bool { return false })
	l.Enter(Rejecting)
	waitUntil(deliverUntil, isEmpty)
	l.Enter(Finishing)
	waitUntil(finishUntil, func() bool { return callsInFlight() == 0 && clientsGone() })
}
