package session

import (
	"log/slog"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/timing"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// renewLoop opens the session and renews it before each deadline.
func (s *Session) renewLoop() {
	failures := 0
	for {
		s.mu.Lock()
		now := s.Clock()
		s.notifyChanges()
		wait := s.renewalWait(now)
		if wait <= 0 && !s.isClosed() {
			renewal, session, digest := s.holder.StartRenewal(now), s.holder.Session(), s.holder.Digest()
			s.mu.Unlock()
			if s.requestRenewal(renewal, session, digest) {
				failures = 0
				continue
			}
			failures++
			wait = timing.RetryBackoff(s.LeaseTTL, failures, s.Leader.drawRandom())
		} else {
			s.mu.Unlock()
		}
		if !s.sleep(wait) {
			return
		}
	}
}

// renewalWait returns the duration until the next renewal, or until the session expires if that is sooner, so that
// OnChange is called for the leases that are lost by the expiry. The caller holds the lock.
func (s *Session) renewalWait(now api.Micros) api.Micros {
	wait := s.holder.NextRenewalAt() - now
	if s.holder.IsValid(now) {
		wait = min(wait, s.holder.Deadline()-now)
	}
	return wait
}

// requestRenewal sends one request to the leader and returns whether the session is open by its response. The request
// opens a session if session is 0, and otherwise renews it.
func (s *Session) requestRenewal(renewal lease.Renewal, session cluster.SessionID, digest lease.Digest) bool {
	answer, err := s.exchangeRenewal(session, digest)
	if err == nil && answer.ErrorCode != 0 {
		err = fsm.ErrorFromCode(answer.ErrorCode)
		s.dropSession(session)
	}
	if err == nil && answer.TTL < s.LeaseTTL {
		// With a longer TTL than the raft nodes use, this member would act on leases that they have already granted to
		// another member.
		slog.Error("the raft nodes use a shorter lease TTL: no session is opened", "ttl_us", s.LeaseTTL,
			"raft_node_ttl_us", answer.TTL)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.RenewalsUnanswered.Add(1)
		slog.Debug("session not renewed", "session", session, "error", err)
		return false
	}
	s.applyRenewal(renewal, answer)
	return true
}

func (s *Session) exchangeRenewal(session cluster.SessionID, digest lease.Digest) (answer transport.SessionResponse,
	err error) {
	within := timing.RequestTimeout(s.LeaseTTL)
	if session == 0 {
		within = timing.LoggedRequestTimeout(s.LeaseTTL)
	}
	request := transport.SessionRequest{
		Member:      s.Self,
		Session:     session,
		Incarnation: s.Incarnation,
		GrantDigest: digest,
	}
	raw, err := s.Leader.Request(transport.SessionPath, transport.Encode(request), within.Duration())
	if err == nil {
		err = transport.Decode(raw, &answer)
	}
	return answer, err
}

// applyRenewal applies the leader's positive response. The caller holds the lock.
func (s *Session) applyRenewal(renewal lease.Renewal, answer transport.SessionResponse) {
	before, wasActive := s.holder.Session(), s.holder.IsValid(s.Clock())
	if s.holder.ConfirmRenewal(renewal, answer.Session) && before != answer.Session {
		s.SessionsOpened.Add(1)
		slog.Info("session established", "member", s.Self, "session", answer.Session)
		s.reconciler.RetryAll()
	}
	if len(answer.Grants) > 0 {
		s.reconciler.ReconcileGrants(answer.Session, answer.Grants)
		s.notifyChanges()
	}
	if !wasActive || len(answer.Grants) > 0 {
		s.acquireWake.Send()
	}
}

// dropSession gives up a session that a raft node has rejected, and all leases that belong to it.
func (s *Session) dropSession(session cluster.SessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.HandleRejection(session)
	s.notifyChanges()
}
