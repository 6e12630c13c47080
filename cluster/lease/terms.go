package lease

import (
	"rowanlink/cluster"
	"rowanlink/internal/timerqueue"
	"rowanlink/webhook/api"
)

// ExpiryTracker is the leading keeper's clock over sessions: when each is to be ended through the log. Nothing of it
// is kept or copied: whoever leads next gives each session a whole term again. Its times are of the keeper's
// clock.
//
// The keeper's duties: in each raft term that it leads it proposes Began, and once that was applied tells
// Lead the time read after it; Opened for each open that is applied while it leads, before the member is
// answered; a renewal is answered only if Assent covers the moment at which the ask came, and if Renewed says
// so after that; Follow when it leads no more; what Due names is proposed as Expire, and Ended is told when
// an end was applied. An Expire that is refused with cluster.ErrStale: propose Began again.
type ExpiryTracker struct {
	term  api.Micros
	reign LeaderEpoch
	runs  map[cluster.SessionID]run
	order timerqueue.Queue[cluster.SessionID] // each session once, at or before the time that counts
}

type run struct {
	until  api.Micros
	ending bool // named by Due: the log may end it at any moment
}

// NewExpiryTracker leads nothing yet: it knows no session and renews none.
func NewExpiryTracker(term api.Micros) *ExpiryTracker { return &ExpiryTracker{term: term} }

// StartLeading begins anew with the sessions of the book: each has a whole term from now, whoever renewed it last.
func (t *ExpiryTracker) StartLeading(now api.Micros, reign LeaderEpoch, sessions []cluster.SessionID) {
	t.StopLeading()
	t.reign, t.runs = reign, map[cluster.SessionID]run{}
	for _, s := range sessions {
		t.begin(s, now)
	}
}

// IsLeading is whether Lead was told in this leading; before that the keeper answers as one that does not lead.
func (t *ExpiryTracker) IsLeading() bool { return t.runs != nil }

// StopLeading forgets all: a keeper that leads no more renews nothing and ends nothing.
func (t *ExpiryTracker) StopLeading() { t.runs, t.order = nil, timerqueue.Queue[cluster.SessionID]{} }

func (t *ExpiryTracker) begin(s cluster.SessionID, now api.Micros) {
	t.runs[s] = run{until: now + t.term}
	t.order.Add(int64(now+t.term), s)
}

// AddOrRenew is told of each open that was applied. Asked again for a session that goes on, it renews it; false
// where it is being ended: the member is to ask again until it is given another.
func (t *ExpiryTracker) AddOrRenew(s cluster.SessionID, now api.Micros) bool {
	if _, ok := t.runs[s]; ok || t.runs == nil {
		return t.Renew(s, now)
	}
	t.begin(s, now)
	return true
}

// Renew gives a session a whole term from now; false where it has ended or was named by Due.
// Late but before Due it counts: a keeper that was stopped itself need not end what nobody else has ended.
func (t *ExpiryTracker) Renew(s cluster.SessionID, now api.Micros) bool {
	r, ok := t.runs[s]
	if !ok || r.ending {
		return false
	}
	t.runs[s] = run{until: max(r.until, now+t.term)}
	return true
}

// TakeExpired names the sessions whose term is over, to be ended through the log: from then on they are not renewed.
// One is named again a quarter of a term later, should its end not have been applied.
func (t *ExpiryTracker) TakeExpired(now api.Micros) (over []ExpiredSession) {
	for {
		s, ok := t.order.PopDue(int64(now))
		if !ok {
			return over
		}
		r, ok := t.runs[s]
		if !ok {
			continue
		}
		if now >= r.until {
			r = run{until: now + max(t.term/4, 1), ending: true}
			t.runs[s], over = r, append(over, ExpiredSession{s, t.reign})
		}
		t.order.Add(int64(r.until), s)
	}
}

// Remove is told of each end that was applied.
func (t *ExpiryTracker) Remove(s cluster.SessionID) { delete(t.runs, s) }

// NextCheckAt is when Due is to be asked next: never after the earliest end, but perhaps before; false: no session.
func (t *ExpiryTracker) NextCheckAt() (api.Micros, bool) {
	at, ok := t.order.Next()
	return api.Micros(at), ok
}
