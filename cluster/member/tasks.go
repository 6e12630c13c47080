package member

import (
	"errors"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/timing"
	"rowanlink/webhook/api"
)

// tasks asks for what is wanted and tells of what was let, one order at a time.
func (s *Session) tasks() {
	failures := 0
	for {
		next, idle := s.next()
		var err error
		switch {
		case next.Release != "":
			err = s.release(next)
		case next.HasWork() && s.afresh():
			if !s.pause(timing.AcquireJitter(s.Term, s.Keepers.draw())) {
				return
			}
			continue
		case next.HasWork():
			err = s.grant(next)
		default:
			if !s.idle(idle) {
				return
			}
			continue
		}
		wait := api.Micros(0)
		if failures++; err == nil {
			failures = 0
		} else {
			wait = timing.RetryBackoff(s.Term, failures, s.Keepers.draw())
		}
		if !s.pause(wait) {
			return
		}
	}
}

// next is what the keepers are to be told now, else for how long there will be nothing if nothing is heard.
func (s *Session) next() (p lease.Proposal, idle api.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, idle := s.Clock(), s.Term
	if at, some := s.wishes.NextRetryAt(); some {
		idle = min(idle, max(at-now, 0)+1)
	}
	if !s.tenure.IsValid(now) {
		idle = s.Term // it is told when a session stands again
	}
	return s.wishes.NextProposal(now), idle
}

// idle waits until there may be something to ask for, or tells that all is over.
func (s *Session) idle(most api.Micros) bool {
	timer := time.NewTimer(span(most))
	defer timer.Stop()
	select {
	case <-s.poke:
	case <-timer.C:
	case <-s.ended:
		return false
	}
	return true
}

func (s *Session) release(p lease.Proposal) error {
	_, _, err := s.Keepers.Propose(p.Command(), span(timing.LoggedRequestTimeout(s.Term)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wishes.HandleReleaseResult(p, err) {
		return nil
	}
	return err
}

// grant asks for tasks. What another holds is asked for again once a keeper tells that it is free, or after a
// while.
func (s *Session) grant(p lease.Proposal) error {
	raw, _, err := s.Keepers.Propose(p.Command(), span(timing.LoggedRequestTimeout(s.Term)))
	if errors.Is(err, cluster.ErrNotFound) {
		s.refused(p.Session)
	}
	if err != nil {
		return err
	}
	answer, err := lease.DecodeResult(raw)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wishes.HandleResult(p.Session, answer.Grants, s.Clock()) {
		nudge(s.look)
	}
	s.tell()
	return nil
}

// freed is a keeper's word that tasks are free.
func (s *Session) freed(tasks []cluster.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wishes.HandleFreed(tasks) {
		s.fresh = true
		nudge(s.poke)
	}
}

// afresh is whether something was freed that others may want too, once.
func (s *Session) afresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.fresh
	s.fresh = false
	return was
}

// Close gives everything up and has the session ended, so that nobody has to wait for its term.
func (s *Session) Close() {
	s.mu.Lock()
	if s.closed() {
		s.mu.Unlock()
		return
	}
	session := s.tenure.EndSession()
	s.standing.Store(0) // it is no loss
	s.tell()
	close(s.ended)
	s.mu.Unlock()
	if session != 0 {
		s.Keepers.Propose(lease.EndSession(session), span(timing.RequestTimeout(s.Term)))
	}
	s.done.Wait()
	s.handing.Lock()
	defer s.handing.Unlock()
	for _, f := range s.tells {
		f()
	}
}
