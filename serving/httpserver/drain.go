package httpserver

import (
	"context"
	"time"

	"rowanlink/serving/event"
)

// The course of an end by plan, from the moment when the process is told to end.
const (
	// serveFor is how long new requests are still served: clients learn only by and by that they should go elsewhere.
	serveFor = 3 * time.Second
	// serveShare of the platform's patience bounds that where the platform kills early.
	serveShare = 3. / 8
	// rejectFor is how much longer connections are taken, to tell their clients to go elsewhere.
	rejectFor = 500 * time.Millisecond
	// rejectShare of the platform's patience bounds that.
	rejectShare = 1. / 16
	// exitMargin the platform kills the process, it ends by itself.
	exitMargin = 500 * time.Millisecond
	// exitMarginShare of the platform's patience bounds that.
	exitMarginShare = 1. / 4
	// drainPollInterval is how often it is looked whether all answers are done.
	drainPollInterval = 50 * time.Millisecond
)

// drainPlan is an end by plan: each span counts from the end of the one before, but for the last.
type drainPlan struct {
	serve  time.Duration // new requests are served
	reject time.Duration // new requests are refused
	total  time.Duration // from the beginning: the process ends whatever is unfinished
}

// planDrain fits the end into the platform's patience.
func planDrain(grace time.Duration) drainPlan {
	share := func(of float64) time.Duration { return time.Duration(of * float64(grace)) }
	return drainPlan{
		serve:  min(serveFor, share(serveShare)),
		reject: min(rejectFor, share(rejectShare)),
		total:  max(grace-min(exitMargin, share(exitMarginShare)), 0),
	}
}

// Drain ends the server by plan: clients are told to go elsewhere, then new requests are refused, then no more
// connections are taken, and all answers under way are finished. It returns when they are, or shortly before the
// platform's patience is over.
func (s *Server) Drain(grace time.Duration) {
	plan, begun := planDrain(grace), time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(plan.total))
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
	event.ProxyDrained.Log(s.options.Log).Dur("took", time.Since(begun)).Send()
}

// startDraining begins the end: the process is not ready, and each answer is its connection's last.
func (s *Server) startDraining() {
	s.draining.Store(true)
	event.ProxyDraining.Log(s.options.Log).Int("requests", s.InFlight()).Send()
}

// rejectNewRequests has requests refused from now on.
func (s *Server) rejectNewRequests() { s.rejecting.Store(true) }

// stopListening takes no more connections.
func (s *Server) stopListening() { _ = s.listener.Listener.Close() } // it may have failed before

// isDrained tells whether no request is under way or has come unread.
func (s *Server) isDrained() bool { return s.inFlight.Load() == 0 && s.listener.allIdle() }
