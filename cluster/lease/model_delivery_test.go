package lease

import (
	"errors"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// deliver lets a message arrive, and does with the objects of the package what its recipient would do.
func (md *model) deliver(i int, duplicated bool) {
	m := md.messages[i]
	if !duplicated {
		md.messages = slices.Delete(md.messages, i, i+1)
	}
	switch m.kind {
	case openRequest:
		md.handleOpen(m)
	case renewRequest:
		md.handleRenewal(m)
	case confirmation:
		if m.process >= 0 {
			if md.mutation.countFromResponse {
				m.renewal.startedAt = md.processClock(m.process)
			}
			md.mutableHolder(m.process).ConfirmRenewal(m.renewal, m.session)
		}
	case rejection:
		md.mutableHolder(m.process).HandleRejection(m.session)
	case acquireRequest:
		result, err := md.apply(AcquireLeases(m.session, modelResource))
		if m.process < 0 {
			return
		}
		if errors.Is(err, cluster.ErrNotFound) {
			md.send(message{kind: rejection, process: m.process, session: m.session})
		} else if result.Grants[0].Err() == nil {
			md.send(message{kind: grantResponse, process: m.process, session: result.Session, epoch: result.Grants[0].Epoch})
		}
	case grantResponse:
		md.mutableHolder(m.process).AddGrant(m.session, Grant{modelResource, m.epoch})
	case releaseRequest:
		_, _ = md.apply(ReleaseLease(m.session, modelResource, m.epoch))
	case endRequest:
		md.endSession(EndSession(m.session), m.session)
	case expireRequest:
		md.handleExpire(m)
	case peerContact:
		if md.mutation.countContactFromArrival {
			m.at = md.nodeClock(m.node)
		}
		md.recordContact(m.node, m.raftTerm, m.at)
	case action:
		md.handleAction(m.epoch)
	}
}

func (md *model) apply(c cluster.Command) (result Result, err error) {
	md.index++
	before := md.table.LastEpoch(modelResource)
	raw, err := md.mutableTable().Apply(md.index, c.Body)
	if err != nil {
		return Result{}, err
	}
	if md.table.LastEpoch(modelResource) < before {
		md.violation = "an epoch fell"
	}
	if result, err = DecodeResult(raw); err != nil {
		panic(err)
	}
	return result, nil
}

// elect makes a raft node the leader; the previous leader may continue to believe that it leads.
func (md *model) elect(k int) {
	md.raftTerm++
	md.leader = k
	result, _ := md.apply(BeginLeaderEpoch())
	n := md.mutableNode(k)
	n.believesLeading = true
	if md.mutation.keepOldExpiry {
		n.tracker.leaderEpoch = result.LeaderEpoch
	} else {
		n.tracker.StartLeading(md.nodeClock(k), result.LeaderEpoch, md.table.Sessions())
	}
}

func (md *model) recordContact(k int, term uint64, sent api.Micros) {
	md.mutableNode(k).contact.RecordContact(term, thirdNode, sent)
}

// handleOpen needs no proof of leadership, since the request goes through the log. The request of a process that was
// restarted after sending it has process -1.
func (md *model) handleOpen(m message) {
	result, err := md.apply(OpenSession("m", m.incarnation))
	if err != nil {
		panic(err)
	}
	confirmed := md.mutableNode(md.leader).tracker.AddOrRenew(result.Session, md.nodeClock(md.leader))
	if other := 1 - md.leader; md.mutation.keepOldExpiry {
		md.mutableNode(other).tracker.AddOrRenew(result.Session, md.nodeClock(other))
	}
	m.kind = rejection
	m.session = result.Session
	m.node = 0
	m.incarnation = 0
	if confirmed {
		m.kind = confirmation
	}
	if m.process >= 0 {
		md.send(m)
	}
}

// canAnswer reports whether a raft node would process a renewal now: either it believes that it leads and has contact
// with a quorum, or it does not believe that it leads and drops the renewal.
func (md *model) canAnswer(m message) bool {
	n := &md.nodes[m.node]
	return !n.believesLeading || md.mutation.skipQuorumCheck || n.contact.HasQuorumSince(m.at)
}

func (md *model) handleRenewal(m message) {
	n := md.mutableNode(m.node)
	if !n.believesLeading {
		return
	}
	confirmed := n.tracker.Renew(m.session, md.nodeClock(m.node))
	if _, known := n.tracker.sessions[m.session]; known && md.mutation.renewExpired {
		n.tracker.sessions[m.session] = sessionExpiry{expiresAt: md.nodeClock(m.node) + modelTTL}
		confirmed = true
	}
	m.kind = rejection
	m.at = 0
	m.node = 0
	m.incarnation = 0
	if confirmed {
		m.kind = confirmation
	}
	md.send(m)
}

func (md *model) endSession(c cluster.Command, s cluster.SessionID) {
	if _, err := md.apply(c); !errors.Is(err, cluster.ErrStale) {
		md.mutableNode(md.leader).tracker.Remove(s)
		if md.mutation.keepOldExpiry {
			md.mutableNode(1 - md.leader).tracker.Remove(s)
		}
	}
}

// handleExpire proposes an expiry that the node has found, perhaps long ago in an earlier period in which it led.
func (md *model) handleExpire(m message) {
	if m.node != md.leader {
		return
	}
	expired := ExpiredSession{Session: m.session, LeaderEpoch: m.leaderEpoch}
	if md.mutation.ignoreLeaderEpoch {
		expired.LeaderEpoch = md.table.LeaderEpoch()
	}
	md.endSession(ExpireSession(expired), m.session)
}

// checkInvariants returns the violated invariant, or "". Two members must never hold the lease at once, and no member
// may hold a lease that the log has released, which would precede the former.
func (md *model) checkInvariants() string {
	holders, released := 0, ""
	for p := range md.processes {
		if e, ok := md.processes[p].holder.Epoch(modelResource, md.processClock(p)); ok {
			holders++
			if !md.table.IsCurrent(modelResource, e) {
				released = "a member holds a lease that the log has released"
			}
		}
	}
	if holders > 1 {
		return "two members hold the lease"
	}
	if md.mutation.untilTwoHolders {
		released = ""
	}
	return max(md.violation, released)
}
