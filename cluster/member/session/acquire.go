package session

import (
	"errors"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/timing"
	"rowanlink/webhook/api"
)

// acquireLoop proposes grants and releases, one proposal at a time.
func (s *Session) acquireLoop() {
	failures := 0
	for {
		next, idle := s.nextProposal()
		var err error
		switch {
		case next.Release != "":
			err = s.proposeRelease(next)
		case next.HasWork() && s.consumeResourceFreed():
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
		if err == nil {
			failures = 0
		} else {
			failures++
			wait = timing.RetryBackoff(s.LeaseTTL, failures, s.Leader.drawRandom())
		}
		if !s.sleep(wait) {
			return
		}
	}
}

// nextProposal returns what to propose now. If that is nothing, idle is the duration after which there may be something
// to propose without acquireWake being sent.
func (s *Session) nextProposal() (p lease.Proposal, idle api.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, idle := s.Clock(), s.LeaseTTL
	if at, scheduled := s.reconciler.NextRetryAt(); scheduled {
		idle = min(idle, max(at-now, 0)+1)
	}
	if !s.holder.IsValid(now) {
		idle = s.LeaseTTL // acquireWake is sent once a session is open again
	}
	return s.reconciler.NextProposal(now), idle
}

// waitForWork waits until there may be something to propose, but no longer than atMost. It returns false if the session
// is closed.
func (s *Session) waitForWork(atMost api.Micros) bool {
	timer := time.NewTimer(atMost.Duration())
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
	_, err := s.Propose(p.Command())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reconciler.HandleReleaseResult(p, err) {
		return nil
	}
	return err
}

// proposeGrant requests leases on resources. A resource that another session holds is requested again once a raft node
// reports that it is free, or after a retry interval.
func (s *Session) proposeGrant(p lease.Proposal) error {
	raw, err := s.Propose(p.Command())
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
	if s.reconciler.HandleResult(p.Session, answer.Grants, s.Clock()) {
		s.pollWake.Send()
	}
	s.notifyChanges()
	return nil
}

// markFreed records that a raft node reported resources as free.
func (s *Session) markFreed(resources []cluster.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reconciler.HandleFreed(resources) {
		s.resourceFreed = true
		s.acquireWake.Send()
	}
}

// consumeResourceFreed reports whether a resource became free since the last call, and resets resourceFreed. Other
// members may be about to request the same resource.
func (s *Session) consumeResourceFreed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hadFreed := s.resourceFreed
	s.resourceFreed = false
	return hadFreed
}
