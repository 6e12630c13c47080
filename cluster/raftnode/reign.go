package raftnode

import (
	"errors"
	"log/slog"
	"time"

	"github.com/hashicorp/raft"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/timing"
	"rowanlink/webhook/api"
)

// renewal is one renewal that waits until a majority is known to have followed at or after it came.
type renewal struct {
	session    cluster.SessionID
	grantTally lease.Digest // of the grants that the member knows of
	receivedAt api.Micros
	result     chan<- renewalResult
}

// renewalResult is the answer; holds is all that the session holds, where the member does not know it.
type renewalResult struct {
	outcome renewalOutcome
	grants  []lease.Grant
}

// renewalOutcome on an ask.
type renewalOutcome byte

const (
	renewalAccepted renewalOutcome = iota
	renewalSessionEnded
	renewalNotLeader // this keeper does not lead, or not surely
)

// runLeadership is the loop of all that has to do with leading. It has one timer.
func (k *Node) runLeadership() {
	defer k.background.Done()
	var waiting []renewal
	timer := time.NewTimer(time.Hour)
	began := make(chan leadership, 1)
	since := k.clock() // no leader since then
	for {
		timer.Reset(k.untilNextDeadline())
		select {
		case leads := <-k.leaderChanges:
			if k.resignLeadership(); leads {
				go k.beginLeadership(began)
			}
		case <-k.staleLeadership:
			go k.beginLeadership(began)
		case r := <-began:
			k.assumeLeadership(r)
		case a := <-k.renewals:
			waiting = append(waiting, a)
		case <-k.transport.contacted:
		case <-timer.C:
		case <-k.closing:
			k.resignLeadership()
			answerAll(waiting, renewalNotLeader)
			return
		}
		waiting = k.answerRenewals(waiting)
		k.expireSessions()
		since = k.monitorLeader(since)
	}
}

// leadership is a time of leading: its raft term, and its number in the book.
type leadership struct {
	term  uint64
	epoch lease.LeaderEpoch
}

// beginLeadership puts a reign's beginning in the log: once that is applied, so is all that was committed before.
func (k *Node) beginLeadership(began chan<- leadership) {
	term := k.raft.CurrentTerm()
	f := k.raft.ApplyLog(newLogEntry(lease.BeginLeaderEpoch()), 0)
	if f.Error() != nil {
		return
	}
	answer, err := lease.DecodeResult(f.Response().(applyResult).response)
	if err != nil {
		return
	}
	select {
	case began <- leadership{term, answer.LeaderEpoch}:
	case <-k.closing:
	}
}

// assumeLeadership gives each session its term. Guards against a reign that ended and another that began meanwhile.
func (k *Node) assumeLeadership(r leadership) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.raft.CurrentTerm() != r.term || k.raft.State() != raft.Leader || k.haltErr != nil {
		return
	}
	again := k.leaderTerm != 0
	k.leaderTerm = r.term
	k.deadlines.StartLeading(k.clock(), r.epoch, k.leases.Sessions())
	if again {
		return
	}
	k.Metrics.LeadershipsGained.Add(1)
	k.isLeader.Store(1)
	slog.Info("keeper leads", "member", k.self, "reign", r.epoch, "sessions", len(k.leases.Sessions()),
		"log", k.raft.LastIndex())
}

func (k *Node) resignLeadership() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaderTerm == 0 {
		return
	}
	slog.Info("keeper leads no more", "member", k.self, "term", k.leaderTerm)
	k.deadlines.StopLeading()
	k.leaderTerm = 0
	k.LeadershipsLost.Add(1)
	k.isLeader.Store(0)
}

// answerRenewals answers the asks that came before a majority was surely there.
func (k *Node) answerRenewals(waiting []renewal) []renewal {
	if len(waiting) == 0 {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaderTerm == 0 {
		answerAll(waiting, renewalNotLeader)
		return nil
	}
	assent := k.transport.quorumContact(k.leaderTerm, k.raft.GetConfiguration().Configuration().Servers, k.storage.id)
	left, now := waiting[:0], k.clock()
	for _, a := range waiting {
		switch {
		case !assent.HasQuorumSince(a.receivedAt):
			left = append(left, a)
		case k.deadlines.Renew(a.session, now):
			k.RenewalsAccepted.Add(1)
			yes := renewalResult{outcome: renewalAccepted}
			if k.leases.Digest(a.session) != a.grantTally {
				yes.grants = k.leases.GrantsOf(a.session)
			}
			a.result <- yes
		default:
			k.RenewalsRejected.Add(1)
			a.result <- renewalResult{outcome: renewalSessionEnded}
		}
	}
	return left
}

func answerAll(all []renewal, v renewalOutcome) {
	for _, a := range all {
		a.result <- renewalResult{outcome: v}
	}
}

// expireSessions ends through the log the sessions whose term is over.
func (k *Node) expireSessions() {
	k.mu.Lock()
	var over []lease.ExpiredSession
	if k.leaderTerm != 0 {
		over = k.deadlines.TakeExpired(k.clock())
	}
	k.mu.Unlock()
	if len(over) > 0 {
		go k.proposeExpiries(over) // raft takes entries as its disk lets it: renewals don't wait for that
	}
}

func (k *Node) proposeExpiries(over []lease.ExpiredSession) {
	var all []raft.ApplyFuture
	for _, o := range over {
		all = append(all, k.raft.ApplyLog(newLogEntry(lease.ExpireSession(o)), toDuration(timing.RequestTimeout(k.sessionTTL))))
	}
	for _, f := range all {
		if f.Error() == nil && errors.Is(f.Response().(applyResult).err, cluster.ErrStale) {
			select {
			case k.staleLeadership <- struct{}{}:
			case <-k.closing:
			}
			return
		}
	}
}

// monitorLeader says it once when no leader is known for long, and once when one is again.
func (k *Node) monitorLeader(since api.Micros) api.Micros {
	now := k.clock()
	if _, id := k.raft.LeaderWithID(); id != "" {
		if k.quorumLost.Swap(0) == 1 {
			slog.Info("majority again", "member", k.self, "leader", memberOf(id))
		}
		return now
	}
	if now-since > timing.QuorumLossTimeout(k.sessionTTL) && k.quorumLost.Swap(1) == 0 {
		k.Metrics.QuorumLosses.Add(1)
		slog.Warn("no majority: nothing is granted until a majority of the keepers hear each other",
			"member", k.self)
	}
	return since
}

// untilNextDeadline is how long nothing has to be done.
func (k *Node) untilNextDeadline() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	wait := timing.ReconfigureInterval(k.sessionTTL)
	if at, any := k.deadlines.NextCheckAt(); any && k.leaderTerm != 0 {
		wait = min(wait, max(at-k.clock(), 0))
	}
	return toDuration(wait) + time.Millisecond/2
}
