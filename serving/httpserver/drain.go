package httpserver

import (
	"context"
	"time"

	"rowanlink/serving/event"
)

// Durations of a graceful shutdown, which begins when the process is signaled to terminate. The platform kills the
// process after a grace period. Each duration is the shorter one of its maximum and its share of the grace period.
const (
	// maxServePhase is how long new requests are still served: clients switch to other proxies only gradually.
	maxServePhase = 3 * time.Second
	serveShare    = 3. / 8
	// maxRejectPhase is how much longer connections are accepted, to reject their requests.
	maxRejectPhase = 500 * time.Millisecond
	rejectShare    = 1. / 16
	// maxExitMargin is how long before the end of the grace period the process exits by itself.
	maxExitMargin   = 500 * time.Millisecond
	exitMarginShare = 1. / 4
	// drainPollInterval is the time between two checks whether all requests have ended.
	drainPollInterval = 50 * time.Millisecond
)

// drainPlan holds the durations of a graceful shutdown.
type drainPlan struct {
	serve  time.Duration // of the phase in which new requests are served
	reject time.Duration // of the phase after that, in which new requests are rejected
	total  time.Duration // from the start until the process exits, even if requests are unfinished
}

// planDrain fits the phases of a graceful shutdown into a grace period.
func planDrain(grace time.Duration) drainPlan {
	share := func(fraction float64) time.Duration { return time.Duration(fraction * float64(grace)) }
	return drainPlan{
		serve:  min(maxServePhase, share(serveShare)),
		reject: min(maxRejectPhase, share(rejectShare)),
		total:  max(grace-min(maxExitMargin, share(exitMarginShare)), 0),
	}
}

// Drain shuts the server down gracefully: it makes clients use other proxies, then rejects new requests, then accepts
// no more connections, and waits for the requests in flight. It returns when all requests have ended, shortly before
// the grace period ends, or when the context ends, whichever is first.
func (s *Server) Drain(ctx context.Context, grace time.Duration) {
	plan, startedAt := planDrain(grace), time.Now()
	ctx, cancel := context.WithDeadline(ctx, startedAt.Add(plan.total))
	defer cancel()
	s.startDraining()
	s.sleep(ctx, plan.serve)
	s.rejectNewRequests()
	s.sleep(ctx, plan.reject)
	s.stopListening()
	for !s.isDrained() {
		if !s.sleep(ctx, drainPollInterval) {
			event.ProxyDrainAborted.Log(s.options.Log).Int("requests", s.InFlight()).Send()
			return
		}
	}
	event.ProxyDrained.Log(s.options.Log).Dur("took", time.Since(startedAt)).Send()
}

// startDraining makes readiness checks fail, and closes each connection after its next response.
func (s *Server) startDraining() {
	s.draining.Store(true)
	event.ProxyDraining.Log(s.options.Log).Int("requests", s.InFlight()).Send()
}

// rejectNewRequests makes the server reject all requests that arrive from now on, and those that wait for an endpoint.
func (s *Server) rejectNewRequests() { s.rejecting.Store(true) }

// stopListening closes the listener, so that no more connections are accepted.
func (s *Server) stopListening() { _ = s.listener.Close() } // fails only if the listener is closed already

// isDrained reports whether no request is in flight and no connection holds unread data.
func (s *Server) isDrained() bool { return s.inFlight.Load() == 0 && s.listener.allIdle() }
