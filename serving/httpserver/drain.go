package httpserver

import (
	"context"
	"time"

	"rowanlink/serving/event"
)

// The course of an end by plan, from the moment when the process is told to end.
const (
	// takeFor is how long new requests are still served: clients learn only by and by that they should go elsewhere.
	takeFor = 3 * time.Second
	// takeShare of the platform's patience bounds that where the platform kills early.
	takeShare = 3. / 8
	// listenFor is how much longer connections are taken, to tell their clients to go elsewhere.
	listenFor = 500 * time.Millisecond
	// listenShare of the platform's patience bounds that.
	listenShare = 1. / 16
	// endBefore the platform kills the process, it ends by itself.
	endBefore = 500 * time.Millisecond
	// endShare of the platform's patience bounds that.
	endShare = 1. / 4
	// doneCheck is how often it is looked whether all answers are done.
	doneCheck = 50 * time.Millisecond
)

// course is an end by plan: each span counts from the end of the one before, but for the last.
type course struct {
	take   time.Duration // new requests are served
	listen time.Duration // new requests are refused
	end    time.Duration // from the beginning: the process ends whatever is unfinished
}

// courseWithin fits the end into the platform's patience.
func courseWithin(grace time.Duration) course {
	share := func(of float64) time.Duration { return time.Duration(of * float64(grace)) }
	return course{
		take:   min(takeFor, share(takeShare)),
		listen: min(listenFor, share(listenShare)),
		end:    max(grace-min(endBefore, share(endShare)), 0),
	}
}

// Drain ends the server by plan: clients are told to go elsewhere, then new requests are refused, then no more
// connections are taken, and all answers under way are finished. It returns when they are, or shortly before the
// platform's patience is over.
func (s *Server) Drain(grace time.Duration) {
	plan, begun := courseWithin(grace), time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(plan.end))
	defer cancel()
	s.sendElsewhere()
	s.pause(ctx, plan.take)
	s.refuseNew()
	s.pause(ctx, plan.listen)
	s.stopListening()
	for !s.done() {
		if !s.pause(ctx, doneCheck) {
			event.ProxyDrainAborted.Log(s.options.Log).Int("requests", s.InFlight()).Send()
			return
		}
	}
	event.ProxyDrained.Log(s.options.Log).Dur("took", time.Since(begun)).Send()
}

// sendElsewhere begins the end: the process is not ready, and each answer is its connection's last.
func (s *Server) sendElsewhere() {
	s.draining.Store(true)
	event.ProxyDraining.Log(s.options.Log).Int("requests", s.InFlight()).Send()
}

// refuseNew has requests refused from now on.
func (s *Server) refuseNew() { s.refusing.Store(true) }

// stopListening takes no more connections.
func (s *Server) stopListening() { _ = s.listener.Listener.Close() } // it may have failed before

// done tells whether no request is under way or has come unread.
func (s *Server) done() bool { return s.inFlight.Load() == 0 && s.listener.quiet() }
