package lease

import "rowanlink/cluster"

// OpenSession opens a session for an incarnation of a member. Repeated, it returns the same session until that
// has ended.
func OpenSession(m cluster.MemberID, i Incarnation) cluster.Command {
	return command(Operation{Kind: OpOpenSession, Member: m, Incarnation: i})
}

// EndSession ends a session and releases its leases. The member proposes it itself, after Holder.EndSession.
func EndSession(s cluster.SessionID) cluster.Command {
	return command(Operation{Kind: OpEndSession, Session: s})
}

// AcquireLeases acquires leases on up to 4096 resources. For those that the session holds already, the result
// has the epoch of their grant.
func AcquireLeases(s cluster.SessionID, resources ...cluster.Resource) cluster.Command {
	return command(Operation{Kind: OpAcquire, Session: s, Resources: resources})
}

// ReleaseLease releases one lease. The holder stops acting before it proposes it: see Holder.Relinquish.
func ReleaseLease(s cluster.SessionID, r cluster.Resource, e cluster.Epoch) cluster.Command {
	return command(Operation{Kind: OpRelease, Session: s, Resources: []cluster.Resource{r}, Epoch: e})
}

// BeginLeaderEpoch is proposed by a raft node in each raft term in which it leads, before it calls
// ExpiryTracker.StartLeading with the leader epoch of the result. Once applied it is also the barrier behind all
// entries of earlier leaders.
func BeginLeaderEpoch() cluster.Command { return command(Operation{Kind: OpBeginLeaderEpoch}) }

// ExpireSession ends a session that ExpiryTracker.TakeExpired returned. It fails with cluster.ErrStale if
// another leader epoch has begun since: its leader gives the session a full TTL again.
func ExpireSession(s ExpiredSession) cluster.Command {
	return command(Operation{Kind: OpExpireSession, Session: s.Session, LeaderEpoch: s.LeaderEpoch})
}

func command(op Operation) cluster.Command {
	return cluster.Command{Component: cluster.LeaseComponent, Body: codec.MustMarshal(op)}
}
