package lease

import (
	"rowanlink/cluster"
	"rowanlink/internal/timerqueue"
	"rowanlink/webhook/api"
)

// ExpiryTracker is the leading raft node's timers of sessions: it finds the sessions that have to be ended
// through the log. It is neither stored nor replicated: the next leader gives each session a full TTL again.
// Its times are of the raft node's clock.
//
// What the raft node has to do:
//   - In each raft term in which it leads, propose BeginLeaderEpoch; once that is applied, call StartLeading
//     with the time read afterwards. Call StopLeading when it no longer leads.
//   - Call AddOrRenew for each OpOpenSession that is applied while it leads, before the member is answered.
//   - Confirm a renewal only if QuorumContact.HasQuorumSince covers the time at which the request arrived, and
//     if Renew, called after that, returns true.
//   - Propose ExpireSession for what TakeExpired returns; if that fails with cluster.ErrStale, propose
//     BeginLeaderEpoch again. Call Remove when an end of a session was applied.
type ExpiryTracker struct {
	ttl         api.Micros
	leaderEpoch LeaderEpoch
	sessions    map[cluster.SessionID]sessionExpiry // nil: not leading
	timers      timerqueue.Queue[cluster.SessionID] // one for each session, at or before its expiresAt
}

type sessionExpiry struct {
	expiresAt api.Micros // if expired, when TakeExpired returns it again
	expired   bool       // returned by TakeExpired: it may be ended at any moment
}

// NewExpiryTracker returns a tracker that does not lead: it knows no session and renews none.
func NewExpiryTracker(ttl api.Micros) *ExpiryTracker { return &ExpiryTracker{ttl: ttl} }

// StartLeading starts over with the sessions of the table: each has a full TTL from now, whenever it was last
// renewed.
func (t *ExpiryTracker) StartLeading(now api.Micros, epoch LeaderEpoch, sessions []cluster.SessionID) {
	t.StopLeading()
	t.leaderEpoch = epoch
	t.sessions = map[cluster.SessionID]sessionExpiry{}
	for _, s := range sessions {
		t.add(s, now)
	}
}

// IsLeading reports whether StartLeading was called since the raft node last became leader. Until then it has
// to answer as one that does not lead.
func (t *ExpiryTracker) IsLeading() bool { return t.sessions != nil }

// StopLeading forgets all sessions: a raft node that does not lead renews and expires none.
func (t *ExpiryTracker) StopLeading() {
	t.sessions = nil
	t.timers = timerqueue.Queue[cluster.SessionID]{}
}

func (t *ExpiryTracker) add(s cluster.SessionID, now api.Micros) {
	expiresAt := now + t.ttl
	t.sessions[s] = sessionExpiry{expiresAt: expiresAt}
	t.timers.Add(int64(expiresAt), s)
}

// AddOrRenew adds the session of an applied OpOpenSession, or renews it if it was open already. It returns false
// if the session is being ended: the member then has to repeat the request until it gets another one.
func (t *ExpiryTracker) AddOrRenew(s cluster.SessionID, now api.Micros) bool {
	if _, known := t.sessions[s]; known || !t.IsLeading() {
		return t.Renew(s, now)
	}
	t.add(s, now)
	return true
}

// Renew gives a session a full TTL from now. It returns false if the session has ended or was returned by
// TakeExpired. A renewal that comes late but before TakeExpired is valid: a leader that was stopped itself need
// not end a session that nobody else has ended.
func (t *ExpiryTracker) Renew(s cluster.SessionID, now api.Micros) bool {
	current, known := t.sessions[s]
	if !known || current.expired {
		return false
	}
	t.sessions[s] = sessionExpiry{expiresAt: max(current.expiresAt, now+t.ttl)}
	return true
}

// TakeExpired returns the sessions whose TTL has run out, to be ended through the log; from then on they are not
// renewed. Each is returned again every quarter of a TTL until Remove is called.
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

// Remove forgets a session whose end was applied.
func (t *ExpiryTracker) Remove(s cluster.SessionID) { delete(t.sessions, s) }

// NextCheckAt returns when to call TakeExpired next: never after the earliest expiry, but possibly before it;
// false without sessions.
func (t *ExpiryTracker) NextCheckAt() (api.Micros, bool) {
	at, ok := t.timers.Next()
	return api.Micros(at), ok
}
