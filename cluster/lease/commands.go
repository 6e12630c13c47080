package lease

import "rowanlink/cluster"

// OpenSession returns the command that opens a session for an incarnation of a member. While that session is open,
// repeating the command returns the same session.
func OpenSession(m cluster.MemberID, i Incarnation) cluster.Command {
	return command(Operation{Kind: OpOpenSession, Member: m, Incarnation: i})
}

// EndSession returns the command that ends a session and releases its leases. The member that opened the session
// proposes it, after it has called Holder.EndSession.
func EndSession(s cluster.SessionID) cluster.Command {
	return command(Operation{Kind: OpEndSession, Session: s})
}

// AcquireLeases returns the command that acquires leases on up to 4096 resources. For a resource that the session
// already holds, the result contains the epoch of the existing grant.
func AcquireLeases(s cluster.SessionID, resources ...cluster.Resource) cluster.Command {
	return command(Operation{Kind: OpAcquire, Session: s, Resources: resources})
}

// ReleaseLease returns the command that releases one lease. The holder must stop acting under the lease before it
// proposes the release: see Holder.Relinquish.
func ReleaseLease(s cluster.SessionID, r cluster.Resource, e cluster.Epoch) cluster.Command {
	return command(Operation{Kind: OpRelease, Session: s, Resources: []cluster.Resource{r}, Epoch: e})
}

// BeginLeaderEpoch returns the command that a raft node proposes in each raft term in which it leads, before it calls
// ExpiryTracker.StartLeading with the leader epoch from the result. The command is also a barrier: once it is
// applied, so are all entries of earlier leaders.
func BeginLeaderEpoch() cluster.Command { return command(Operation{Kind: OpBeginLeaderEpoch}) }

// ExpireSession returns the command that ends a session that ExpiryTracker.TakeExpired returned. It fails with
// cluster.ErrStale if another leader epoch has begun since: the leader of that epoch gives the session a full TTL
// again.
func ExpireSession(s ExpiredSession) cluster.Command {
	return command(Operation{Kind: OpExpireSession, Session: s.Session, LeaderEpoch: s.LeaderEpoch})
}

func command(op Operation) cluster.Command {
	return cluster.Command{Component: cluster.LeaseComponent, Body: codec.MustMarshal(op)}
}
