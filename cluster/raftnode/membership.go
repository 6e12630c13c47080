package raftnode

import (
	"log/slog"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"rowanlink/cluster"
	"rowanlink/cluster/timing"
	"rowanlink/cluster/transport"
)

// notInConfiguration is the suffrage of a server that is not in the raft configuration.
const notInConfiguration raft.ServerSuffrage = -1

// maintainMembership compares the raft configuration with the configured members every timing.ReconfigureInterval, until
// the node closes. The leader adds and removes servers, one at a time. A node without a raft configuration bootstraps the
// group or, if the group already exists, requests to join it. A node that is no voter or knows no leader requests to
// join as well.
func (n *Node) maintainMembership() {
	defer n.background.Done()
	ticker := time.NewTicker(timing.ReconfigureInterval(n.sessionTTL).Duration())
	defer ticker.Stop()
	for {
		servers := n.servers()
		_, leader := n.raft.LeaderWithID()
		switch {
		case n.raft.State() == raft.Leader && n.haltCause() != nil:
			n.raft.LeadershipTransfer()
		case n.raft.State() == raft.Leader:
			n.reconcileMembership(servers)
		case len(servers) == 0 && !n.bootstrap():
			n.requestJoin()
		case leader == "" || suffrage(servers, n.storage.id) != raft.Voter:
			n.requestJoin()
		}
		select {
		case <-ticker.C:
		case <-n.closing:
			return
		}
	}
}

// servers returns the servers in this node's raft configuration.
func (n *Node) servers() []raft.Server {
	return n.raft.GetConfiguration().Configuration().Servers
}

// configuredMembers returns the members that the operator has configured to run a raft node, sorted.
func (n *Node) configuredMembers() []cluster.MemberID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members
}

// requestTimeout returns the time-out of a request to another node.
func (n *Node) requestTimeout() time.Duration {
	return timing.RequestTimeout(n.sessionTTL).Duration()
}

// suffrage returns a server's suffrage, or notInConfiguration.
func suffrage(servers []raft.Server, id raft.ServerID) raft.ServerSuffrage {
	for _, s := range servers {
		if s.ID == id {
			return s.Suffrage
		}
	}
	return notInConfiguration
}

// reconcileMembership makes at most one change that brings the raft configuration closer to the configured members. It
// handles the join requests first: see admitServer. A server whose member is no longer configured is removed when every
// configured member has a voter.
func (n *Node) reconcileMembership(servers []raft.Server) {
	n.mu.Lock()
	members, joinRequests := n.members, n.joinRequests
	n.joinRequests = map[cluster.MemberID]transport.JoinRequest{}
	isLeader := n.leaderTerm != 0
	n.mu.Unlock()
	if !isLeader {
		return
	}
	if !slices.Contains(members, n.self) { // joining nodes send their requests only to configured members, so one must lead
		n.raft.LeadershipTransfer()
		return
	}
	for _, request := range joinRequests {
		if n.admitServer(servers, request) {
			return
		}
	}
	if allVote(servers, members) {
		n.removeDepartedServer(servers, members)
	}
}

// admitServer takes the next step to make a server a voter: it adds the server as a learner; once the learner has applied
// an entry, it removes the member's former server, whose data folder was lost, if there is one; then it promotes the
// learner. It returns false if the server is a voter already, so that the caller may make another change.
func (n *Node) admitServer(servers []raft.Server, request transport.JoinRequest) bool {
	id, timeout := raft.ServerID(request.ServerID), n.sessionTTL.Duration()
	switch current := suffrage(servers, id); {
	case current == raft.Voter:
		return false
	case current != raft.Nonvoter:
		if n.awaitMembershipChange("raft learner added", id, n.raft.AddNonvoter(id, raft.ServerAddress(id), 0, timeout)) {
			n.ServersJoined.Add(1)
		}
		return true
	case request.AppliedIndex == 0: // the learner has not applied any entry yet
		return true
	}
	lost := slices.IndexFunc(servers, func(s raft.Server) bool {
		return s.ID != id && memberOf(s.ID) == request.Member
	})
	if lost >= 0 {
		n.removeServer("raft server of a lost folder removed", servers[lost].ID)
	} else {
		n.awaitMembershipChange("raft voter added", id, n.raft.AddVoter(id, raft.ServerAddress(id), 0, timeout))
	}
	return true
}

// allVote reports whether each member has a voter.
func allVote(servers []raft.Server, members []cluster.MemberID) bool {
	for _, member := range members {
		hasVote := slices.ContainsFunc(servers, func(s raft.Server) bool {
			return memberOf(s.ID) == member && s.Suffrage == raft.Voter
		})
		if !hasVote {
			return false
		}
	}
	return true
}

// removeDepartedServer removes the first server whose member is not configured.
func (n *Node) removeDepartedServer(servers []raft.Server, members []cluster.MemberID) {
	for _, s := range servers {
		if !slices.Contains(members, memberOf(s.ID)) {
			n.removeServer("raft server removed", s.ID)
			return
		}
	}
}

// removeServer removes a server from the configuration and logs event.
func (n *Node) removeServer(event string, id raft.ServerID) {
	if n.awaitMembershipChange(event, id, n.raft.RemoveServer(id, 0, n.sessionTTL.Duration())) {
		n.ServersRemoved.Add(1)
	}
}

// awaitMembershipChange waits for a change of the configuration and reports whether it succeeded. It logs event or, if the
// change failed, the error.
func (n *Node) awaitMembershipChange(event string, id raft.ServerID, change raft.IndexFuture) bool {
	if err := change.Error(); err != nil {
		slog.Warn("raft configuration change failed", "change", event, "server", id, "error", err)
		return false
	}
	slog.Info(event, "server", id)
	return true
}

// Membership returns the members in this node's raft configuration; the value is true for a voter.
func (n *Node) Membership() map[cluster.MemberID]bool {
	hasVote := map[cluster.MemberID]bool{}
	for _, s := range n.servers() {
		hasVote[memberOf(s.ID)] = s.Suffrage == raft.Voter
	}
	return hasVote
}

// IsVoter reports whether this node's server is a voter. The member's former server, whose data folder was lost, does
// not count.
func (n *Node) IsVoter() bool { return suffrage(n.servers(), n.storage.id) == raft.Voter }
