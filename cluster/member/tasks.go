package member

import (
	"errors"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/timing"
	"rowanlink/webhook/api"
)

// acquireLoop asks for what is wanted and tells of what was let, one order at a time.
func (s *Session) acquireLoop() {
	failures := 0
	for {
		next, idle := s.nextProposal()
		var err error
		switch {
		case next.Release != "":
			err = s.proposeRelease(next)
		case next.HasWork() && s.takeFreed():
			if !s.sleep(timing.AcquireJitter(s.LeaseTTL, s.Leader.drawRandom())) {
				return
			}
			continue
		case next.HasWork():
			err = s.proposeGrant(next)
		default:
			if !s.waitForWork(idle) {
				return
			}
			continue
		}
		wait := api.Micros(0)
		if failures++; err == nil {
			failures = 0
		} else {
			wait = timing.RetryBackoff(s.LeaseTTL, failures, s.Leader.drawRandom())
		}
		if !s.sleep(wait) {
			return
		}
	}
}

// nextProposal is what the keepers are to be told now, else for how long there will be nothing if nothing is heard.
func (s *Session) nextProposal() (p lease.Proposal, idle api.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, idle := s.Clock(), s.LeaseTTL
	if at, some := s.wishes.NextRetryAt(); some {
		idle = min(idle, max(at-now, 0)+1)
	}
	if !s.tenure.IsValid(now) {
		idle = s.LeaseTTL // it is told when a session stands again
	}
	return s.wishes.NextProposal(now), idle
}

// waitForWork waits until there may be something to ask for, or tells that all is over.
func (s *Session) waitForWork(most api.Micros) bool {
	timer := time.NewTimer(duration(most))
	defer timer.Stop()
	select {
	case <-s.acquireWake:
	case <-timer.C:
	case <-s.ended:
		return false
	}
	return true
}

func (s *Session) proposeRelease(p lease.Proposal) error {
	_, _, err := s.Leader.Propose(p.Command(), duration(timing.LoggedRequestTimeout(s.LeaseTTL)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wishes.HandleReleaseResult(p, err) {
		return nil
	}
	return err
}

// proposeGrant asks for tasks. What another holds is asked for again once a keeper tells that it is free, or after a
// while.
func (s *Session) proposeGrant(p lease.Proposal) error {
	raw, _, err := s.Leader.Propose(p.Command(), duration(timing.LoggedRequestTimeout(s.LeaseTTL)))
	if errors.Is(err, cluster.ErrNotFound) {
		s.dropSession(p.Session)
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
		wake(s.pollWake)
	}
	s.notifyChanges()
	return nil
}

// markFreed is a keeper's word that tasks are free.
func (s *Session) markFreed(tasks []cluster.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wishes.HandleFreed(tasks) {
		s.hasFreed = true
		wake(s.acquireWake)
	}
}

// takeFreed is whether something was freed that others may want too, once.
func (s *Session) takeFreed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.hasFreed
	s.hasFreed = false
	return was
}

// Close gives everything up and has the session ended, so that nobody has to wait for its term.
func (s *Session) Close() {
	s.mu.Lock()
	if s.isClosed() {
		s.mu.Unlock()
		return
	}
	session := s.tenure.EndSession()
	s.active.Store(0) // it is no loss
	s.notifyChanges()
	close(s.ended)
	s.mu.Unlock()
	if session != 0 {
		s.Leader.Propose(lease.EndSession(session), duration(timing.RequestTimeout(s.LeaseTTL)))
	}
	s.done.Wait()
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	for _, f := range s.notifications {
		f()
	}
}
