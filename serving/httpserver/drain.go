package httpserver

import (
	"context"
	"time"

	"rowanlink/serving/event"
)

// The phases of a graceful shutdown, from the moment when the process is signaled to terminate. Each is bounded by a
// share of the grace period after which the platform kills the process.
const (
	// serveFor is how long new requests are still served: clients switch to other proxies only gradually.
	serveFor   = 3 * time.Second
	serveShare = 3. / 8
	// rejectFor is how much longer connections are accepted, to reject their requests.
	rejectFor   = 500 * time.Millisecond
	rejectShare = 1. / 16
	// exitMargin is how long before the end of the grace period the process exits by itself.
	exitMargin      = 500 * time.Millisecond
	exitMarginShare = 1. / 4
	// drainPollInterval is the time between two checks whether all requests have ended.
	drainPollInterval = 50 * time.Millisecond
)

// drainPlan holds the times of a graceful shutdown.
type drainPlan struct {
	serve  time.Duration // new requests are served
	reject time.Duration // after that, new requests are rejected
	total  time.Duration // from the start: the process exits, whatever is unfinished
}

// planDrain fits a graceful shutdown into a grace period.
func planDrain(grace time.Duration) drainPlan {
	share := func(of float64) time.Duration { return time.Duration(of * float64(grace)) }
	return drainPlan{
		serve:  min(serveFor, share(serveShare)),
		reject: min(rejectFor, share(rejectShare)),
		total:  max(grace-min(exitMargin, share(exitMarginShare)), 0),
	}
}

// Drain shuts the server down gracefully: it makes clients use other proxies, then rejects new requests, then accepts
// no more connections, and waits for the requests in flight. It returns when they have ended or shortly before the
// grace period does. If the context ends earlier, it stops waiting.
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

// startDraining makes the process not ready, and each response the last one on its connection.
func (s *Server) startDraining() {
	s.draining.Store(true)
	event.ProxyDraining.Log(s.options.Log).Int("requests", s.InFlight()).Send()
}

// rejectNewRequests rejects requests from now on.
func (s *Server) rejectNewRequests() { s.rejecting.Store(true) }

// stopListening accepts no more connections.
func (s *Server) stopListening() { _ = s.listener.Close() } // the listener may have failed before

// isDrained reports whether no request is in flight or has arrived unread.
func (s *Server) isDrained() bool { return s.inFlight.Load() == 0 && s.listener.allIdle() }
