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

// renewal is a request to renew a session. It is answered once a quorum has acknowledged this leader's heartbeats that
// were sent at receivedAt or later.
type renewal struct {
	session     cluster.SessionID
	grantDigest lease.Digest // of the grants that the member believes it holds
	receivedAt  api.Micros
	result      chan<- renewalResult
}

// renewalResult is the answer to a renewal. grants are all grants of the session, and set only if the renewal's digest
// differs from theirs.
type renewalResult struct {
	outcome renewalOutcome
	grants  []lease.Grant
}

type renewalOutcome byte

const (
	renewalAccepted renewalOutcome = iota
	renewalSessionEnded
	renewalNotLeader // this node does not lead, or is closing
)

// leadership identifies a period in which this node is the leader, by its raft term and its epoch in the lease table.
type leadership struct {
	term  uint64
	epoch lease.LeaderEpoch
}

// timerSlack is added to the timer of runLeadership, so that the deadline has passed when the timer fires.
const timerSlack = time.Millisecond / 2

// runLeadership is the goroutine that handles raft's leadership changes, answers renewals and expires sessions, until the
// node closes.
func (n *Node) runLeadership() {
	defer n.background.Done()
	var waiting []renewal
	timer := time.NewTimer(time.Hour)
	begun := make(chan leadership, 1)
	leaderSeenAt := n.clock()
	for {
		timer.Reset(n.untilNextDeadline())
		select {
		case isLeader := <-n.leaderChanges:
			n.resignLeadership()
			if isLeader {
				go n.beginLeadership(begun)
			}
		case <-n.staleLeadership:
			go n.beginLeadership(begun)
		case l := <-begun:
			n.assumeLeadership(l)
		case r := <-n.renewals:
			waiting = append(waiting, r)
		case <-n.transport.contacted:
		case <-timer.C:
		case <-n.closing:
			n.resignLeadership()
			answerAll(waiting, renewalNotLeader)
			return
		}
		waiting = n.answerRenewals(waiting)
		n.expireSessions()
		leaderSeenAt = n.monitorLeader(leaderSeenAt)
	}
}

// beginLeadership proposes an entry that begins a leader epoch, and sends the leadership to begun once the entry is
// applied. This node has then also applied all entries that earlier leaders committed.
func (n *Node) beginLeadership(begun chan<- leadership) {
	term := n.raft.CurrentTerm()
	future := n.raft.ApplyLog(newLogEntry(lease.BeginLeaderEpoch()), 0)
	if future.Error() != nil {
		return
	}
	result, err := lease.DecodeResult(resultOf(future).response)
	if err != nil {
		return
	}
	select {
	case begun <- leadership{term: term, epoch: result.LeaderEpoch}:
	case <-n.closing:
	}
}

// assumeLeadership sets the deadline of each session and lets the node answer requests as leader. It does nothing if the
// node is halted or has lost the leadership since beginLeadership, even if it was elected again in a later term.
func (n *Node) assumeLeadership(l leadership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.raft.CurrentTerm() != l.term || n.raft.State() != raft.Leader || n.haltErr != nil {
		return
	}
	wasLeader := n.leaderTerm != 0
	n.leaderTerm = l.term
	sessions := n.leases.Sessions()
	n.deadlines.StartLeading(n.clock(), l.epoch, sessions)
	if wasLeader {
		return
	}
	n.LeadershipsGained.Add(1)
	n.isLeader.Store(1)
	slog.Info("raft leadership gained", "member", n.self, "leader_epoch", l.epoch,
		"sessions", len(sessions), "log", n.raft.LastIndex())
}

// resignLeadership makes the node stop answering requests as leader, and clears the session deadlines.
func (n *Node) resignLeadership() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaderTerm == 0 {
		return
	}
	slog.Info("raft leadership lost", "member", n.self, "term", n.leaderTerm)
	n.deadlines.StopLeading()
	n.leaderTerm = 0
	n.LeadershipsLost.Add(1)
	n.isLeader.Store(0)
}

// answerRenewals answers the renewals for which a quorum has acknowledged heartbeats that were sent at or after the time
// the renewal was received, and returns the others. If the node does not lead, it answers all with renewalNotLeader.
func (n *Node) answerRenewals(waiting []renewal) []renewal {
	if len(waiting) == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaderTerm == 0 {
		answerAll(waiting, renewalNotLeader)
		return nil
	}
	contact := n.transport.quorumContact(n.leaderTerm, n.servers(), n.storage.id)
	stillWaiting, now := waiting[:0], n.clock()
	for _, r := range waiting {
		if !contact.HasQuorumSince(r.receivedAt) {
			stillWaiting = append(stillWaiting, r)
			continue
		}
		r.result <- n.renew(r, now)
	}
	return stillWaiting
}

// renew renews a session that has not expired. The caller holds the lock.
func (n *Node) renew(r renewal, now api.Micros) renewalResult {
	if !n.deadlines.Renew(r.session, now) {
		n.RenewalsRejected.Add(1)
		return renewalResult{outcome: renewalSessionEnded}
	}
	n.RenewalsAccepted.Add(1)
	result := renewalResult{outcome: renewalAccepted}
	if n.leases.Digest(r.session) != r.grantDigest {
		result.grants = n.leases.GrantsOf(r.session)
	}
	return result
}

func answerAll(waiting []renewal, outcome renewalOutcome) {
	for _, r := range waiting {
		r.result <- renewalResult{outcome: outcome}
	}
}

// expireSessions proposes the end of the sessions whose deadlines have passed.
func (n *Node) expireSessions() {
	n.mu.Lock()
	var expired []lease.ExpiredSession
	if n.leaderTerm != 0 {
		expired = n.deadlines.TakeExpired(n.clock())
	}
	n.mu.Unlock()
	if len(expired) > 0 {
		go n.proposeExpiries(expired) // in the background: renewals must not wait for the log's write to disk
	}
}

// proposeExpiries proposes the end of sessions. If an entry is rejected because the lease table has a later leader epoch
// than this leader, it makes runLeadership begin a new leader epoch.
func (n *Node) proposeExpiries(expired []lease.ExpiredSession) {
	var futures []raft.ApplyFuture
	for _, session := range expired {
		futures = append(futures, n.raft.ApplyLog(newLogEntry(lease.ExpireSession(session)), n.requestTimeout()))
	}
	for _, future := range futures {
		if future.Error() != nil || !errors.Is(resultOf(future).err, cluster.ErrStale) {
			continue
		}
		select {
		case n.staleLeadership <- struct{}{}:
		case <-n.closing:
		}
		return
	}
}

// monitorLeader logs and counts a quorum loss when no leader has been known for timing.QuorumLossTimeout, and logs when a
// leader is known again. It returns the last time at which a leader was known.
func (n *Node) monitorLeader(leaderSeenAt api.Micros) api.Micros {
	now := n.clock()
	if _, id := n.raft.LeaderWithID(); id != "" {
		if n.quorumLost.Swap(0) == 1 {
			slog.Info("raft quorum restored", "member", n.self, "leader", memberOf(id))
		}
		return now
	}
	if now-leaderSeenAt > timing.QuorumLossTimeout(n.sessionTTL) && n.quorumLost.Swap(1) == 0 {
		n.QuorumLosses.Add(1)
		slog.Warn("raft quorum lost: no lease is granted until a majority of the raft nodes are in contact",
			"member", n.self)
	}
	return leaderSeenAt
}

// untilNextDeadline returns how long runLeadership may wait for an event: until the next session deadline, and at most
// timing.ReconfigureInterval, after which it checks for a leader again.
func (n *Node) untilNextDeadline() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	wait := timing.ReconfigureInterval(n.sessionTTL)
	if at, isSet := n.deadlines.NextCheckAt(); isSet && n.leaderTerm != 0 {
		wait = min(wait, max(at-n.clock(), 0))
	}
	return wait.Duration() + timerSlack
}
