package lease

import (
	"rowanlink/cluster"
	"rowanlink/internal/timerqueue"
	"rowanlink/webhook/api"
)

// ExpiryTracker holds the session timers of the leading raft node. It finds the sessions whose TTL has run out, which
// the node then ends through the log. The tracker is neither stored nor replicated: the next leader gives each
// session a full TTL again. Its times are from the raft node's clock.
//
// The raft node must do the following:
//   - In each raft term in which it leads, propose BeginLeaderEpoch. Once that is applied, read the clock and call
//     StartLeading with that time. Call StopLeading when it no longer leads.
//   - Call AddOrRenew for each OpOpenSession that is applied while it leads, before it answers the member.
//   - Confirm a renewal only if QuorumContact.HasQuorumSince is true for the time at which the request arrived, and
//     if Renew, called after that check, returns true.
//   - Propose ExpireSession for each session that TakeExpired returns. If that fails with cluster.ErrStale, propose
//     BeginLeaderEpoch again. Call Remove when the end of a session has been applied.
type ExpiryTracker struct {
	ttl         api.Micros
	leaderEpoch LeaderEpoch
	sessions    map[cluster.SessionID]sessionExpiry // nil while the node does not lead
	timers      timerqueue.Queue[cluster.SessionID] // contains a timer for each session, due no later than its expiresAt
}

type sessionExpiry struct {
	expiresAt api.Micros // when the TTL ends; if expired is set, when TakeExpired returns the session again
	expired   bool       // TakeExpired has returned the session: the log may end it at any moment
}

// NewExpiryTracker returns the tracker of a raft node that does not lead: it has no sessions and renews none.
func NewExpiryTracker(ttl api.Micros) *ExpiryTracker { return &ExpiryTracker{ttl: ttl} }

// StartLeading replaces the tracked sessions by those of the table. Each gets a full TTL from now, whenever it was
// last renewed.
func (t *ExpiryTracker) StartLeading(now api.Micros, epoch LeaderEpoch, sessions []cluster.SessionID) {
	t.StopLeading()
	t.leaderEpoch = epoch
	t.sessions = map[cluster.SessionID]sessionExpiry{}
	for _, s := range sessions {
		t.add(s, now)
	}
}

// IsLeading reports whether StartLeading was called since the raft node last became leader. Until then the node must
// answer requests like one that does not lead.
func (t *ExpiryTracker) IsLeading() bool { return t.sessions != nil }

// StopLeading drops all sessions: a raft node that does not lead neither renews nor expires any.
func (t *ExpiryTracker) StopLeading() {
	t.sessions = nil
	t.timers = timerqueue.Queue[cluster.SessionID]{}
}

func (t *ExpiryTracker) add(s cluster.SessionID, now api.Micros) {
	expiresAt := now + t.ttl
	t.sessions[s] = sessionExpiry{expiresAt: expiresAt}
	t.timers.Add(int64(expiresAt), s)
}

// AddOrRenew adds the session of an applied OpOpenSession, or renews it if it was already open. It returns false if
// the session is being ended: the member must then repeat the request until it gets a new session.
func (t *ExpiryTracker) AddOrRenew(s cluster.SessionID, now api.Micros) bool {
	if _, known := t.sessions[s]; known || !t.IsLeading() {
		return t.Renew(s, now)
	}
	t.add(s, now)
	return true
}

// Renew gives a session a full TTL from now. It returns false if the session has ended or if TakeExpired has returned
// it. A renewal that arrives after the TTL but before TakeExpired is valid: a leader that was itself paused need not
// end a session that nobody else has ended.
func (t *ExpiryTracker) Renew(s cluster.SessionID, now api.Micros) bool {
	current, known := t.sessions[s]
	if !known || current.expired {
		return false
	}
	t.sessions[s] = sessionExpiry{expiresAt: max(current.expiresAt, now+t.ttl)}
	return true
}

// TakeExpired returns the sessions whose TTL has run out, to be ended through the log. From then on they can't be
// renewed. Each session is returned again every quarter of a TTL until Remove is called.
func (t *ExpiryTracker) TakeExpired(now api.Micros) (expired []ExpiredSession) {
	for {
		s, due := t.timers.PopDue(int64(now))
		if !due {
			return expired
		}
		current, known := t.sessions[s]
		if !known {
			continue
		}
		if now >= current.expiresAt {
			current = sessionExpiry{expiresAt: now + max(t.ttl/4, 1), expired: true}
			t.sessions[s] = current
			expired = append(expired, ExpiredSession{Session: s, LeaderEpoch: t.leaderEpoch})
		}
		t.timers.Add(int64(current.expiresAt), s)
	}
}

// Remove drops a session whose end has been applied.
func (t *ExpiryTracker) Remove(s cluster.SessionID) { delete(t.sessions, s) }

// NextCheckAt returns when to call TakeExpired next: at the earliest expiry or before it, never after it. It returns
// false if no timer is pending.
func (t *ExpiryTracker) NextCheckAt() (api.Micros, bool) {
	at, ok := t.timers.Next()
	return api.Micros(at), ok
}
