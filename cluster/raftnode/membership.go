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

// maintainMembership compares the raft configuration with the configured members at intervals, until the node closes.
// The group is bootstrapped once; a node that is not in it requests to join; the leader adds and removes servers, one at
// a time.
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

// servers returns the raft configuration.
func (n *Node) servers() []raft.Server {
	return n.raft.GetConfiguration().Configuration().Servers
}

func (n *Node) configuredMembers() []cluster.MemberID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members
}

// requestTimeout is that of a request to another node.
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

// reconcileMembership makes one change that brings the raft configuration closer to the configured members. A folder
// that replaces a lost one is added as a learner first and gets the lost one's vote once it has caught up. A server that
// is to leave is removed when all members have their vote.
func (n *Node) reconcileMembership(servers []raft.Server) {
	n.mu.Lock()
	members, joinRequests := n.members, n.joinRequests
	n.joinRequests = map[cluster.MemberID]transport.JoinRequest{}
	isLeader := n.leaderTerm != 0
	n.mu.Unlock()
	if !isLeader {
		return
	}
	if !slices.Contains(members, n.self) { // new nodes know only those that stay, and send them their join requests
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

// admitServer handles a join request with one change of the configuration, or none if the server must catch up first. It
// returns false if the server has its vote.
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
	case request.AppliedIndex == 0:
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

// allVote reports whether each member has a server with a vote.
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

// removeDepartedServer removes the first server that is not a member's.
func (n *Node) removeDepartedServer(servers []raft.Server, members []cluster.MemberID) {
	for _, s := range servers {
		if !slices.Contains(members, memberOf(s.ID)) {
			n.removeServer("raft server removed", s.ID)
			return
		}
	}
}

// removeServer removes a server from the configuration and logs that as event.
func (n *Node) removeServer(event string, id raft.ServerID) {
	if n.awaitMembershipChange(event, id, n.raft.RemoveServer(id, 0, n.sessionTTL.Duration())) {
		n.ServersRemoved.Add(1)
	}
}

// awaitMembershipChange waits for a change of the configuration, logs it as event, or why it failed, and reports whether
// it succeeded.
func (n *Node) awaitMembershipChange(event string, id raft.ServerID, change raft.IndexFuture) bool {
	if err := change.Error(); err != nil {
		slog.Warn("raft configuration change failed", "change", event, "server", id, "error", err)
		return false
	}
	slog.Info(event, "server", id)
	return true
}

// Membership returns the members that are in the raft configuration of this node, and whether each has a vote.
func (n *Node) Membership() map[cluster.MemberID]bool {
	hasVote := map[cluster.MemberID]bool{}
	for _, s := range n.servers() {
		hasVote[memberOf(s.ID)] = s.Suffrage == raft.Voter
	}
	return hasVote
}

// IsVoter reports whether the server of this very folder has a vote.
func (n *Node) IsVoter() bool { return suffrage(n.servers(), n.storage.id) == raft.Voter }
