package raftnode

import (
	"log/slog"
	"slices"
	"time"

	"github.com/hashicorp/raft"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/timing"
	transportpkg "rowanlink/cluster/transport"
)

// maintainMembership compares, again and again, who the keepers are with who they should be: the log is begun once, by the
// first of them, when all of their folders are empty; whoever is not among them asks to be; the leader takes
// in and lets go, one at a time.
func (k *Node) maintainMembership() {
	defer k.background.Done()
	every := time.NewTicker(toDuration(timing.ReconfigureInterval(k.sessionTTL)))
	defer every.Stop()
	for {
		servers := k.raft.GetConfiguration().Configuration().Servers
		_, leader := k.raft.LeaderWithID()
		switch {
		case k.raft.State() == raft.Leader && k.haltCause() != nil:
			k.raft.LeadershipTransfer()
		case k.raft.State() == raft.Leader:
			k.reconcile(servers)
		case len(servers) == 0 && !k.bootstrap():
			k.requestJoin()
		case leader == "" || suffrage(servers, k.storage.id) != raft.Voter:
			k.requestJoin()
		}
		select {
		case <-every.C:
		case <-k.closing:
			return
		}
	}
}

// haltCause is why nothing is applied any more, if so.
func (k *Node) haltCause() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.haltErr
}

// suffrage is what a server may do: less than raft.Voter's where it is none.
func suffrage(servers []raft.Server, id raft.ServerID) raft.ServerSuffrage {
	for _, s := range servers {
		if s.ID == id {
			return s.Suffrage
		}
	}
	return -1
}

// bootstrap begins the log, or leaves that to the first keeper; false: it was begun elsewhere. It needs an answer
// of all keepers: guards against one that lost its folder beginning another log while the others can't be
// asked.
func (k *Node) bootstrap() bool {
	k.mu.Lock()
	keepers := k.members
	k.mu.Unlock()
	if len(keepers) == 0 || !slices.Contains(keepers, k.self) {
		return false
	}
	servers, begun := []raft.Server{voter(k.storage.id)}, false
	for _, m := range keepers {
		if m == k.self {
			continue
		}
		var who transportpkg.NodeIdentity
		_, raw, err := k.client.Call(m, transportpkg.IdentifyPath, transportpkg.Encode(k.identity()), toDuration(timing.RequestTimeout(k.sessionTTL)))
		switch {
		case err != nil || transportpkg.Decode(raw, &who) != nil || memberOf(raft.ServerID(who.ServerID)) != m:
			servers = nil
		case !who.Empty:
			begun = true
		case !slices.Equal(who.Members, keepers):
			servers = nil
		case servers != nil:
			servers = append(servers, voter(raft.ServerID(who.ServerID)))
		}
	}
	if begun || servers == nil || keepers[0] != k.self {
		return !begun
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !slices.Equal(k.members, keepers) || !k.isEmpty() {
		return true
	}
	err := k.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
	slog.Info("keeper begins the log", "member", k.self, "servers", len(servers), "why_not", err)
	return true
}

func voter(id raft.ServerID) raft.Server {
	return raft.Server{Suffrage: raft.Voter, ID: id, Address: raft.ServerAddress(id)}
}

func (k *Node) isEmpty() bool {
	return k.raft.LastIndex() == 0 && len(k.raft.GetConfiguration().Configuration().Servers) == 0
}

func (k *Node) identity() transportpkg.NodeIdentity {
	k.mu.Lock()
	defer k.mu.Unlock()
	return transportpkg.NodeIdentity{ServerID: string(k.storage.id), Empty: k.isEmpty(), Members: k.members}
}

func (k *Node) handleIdentify(ctx *fasthttp.RequestCtx) {
	ctx.SetBody(transportpkg.Encode(k.identity()))
}

// requestJoin asks each of the keepers until the leader hears it.
func (k *Node) requestJoin() {
	k.mu.Lock()
	keepers := k.members
	k.mu.Unlock()
	ask := transportpkg.Encode(transportpkg.JoinRequest{Member: k.self, ServerID: string(k.storage.id), AppliedIndex: k.raft.AppliedIndex()})
	for _, m := range keepers {
		if m != k.self {
			status, _, err := k.client.Call(m, transportpkg.JoinPath, ask, toDuration(timing.RequestTimeout(k.sessionTTL)))
			if err == nil && status == fasthttp.StatusOK {
				return
			}
		}
	}
}

func (k *Node) handleJoin(ctx *fasthttp.RequestCtx) {
	var j transportpkg.JoinRequest
	if !decodeRequest(ctx, &j) {
		return
	}
	if _, self := k.Leader(); !self {
		k.redirectToLeader(ctx)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !slices.Contains(k.members, j.Member) || memberOf(raft.ServerID(j.ServerID)) != j.Member {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	k.joinRequests[j.Member] = j
}

// reconcile does one thing that brings the keepers nearer to who they should be. A folder that comes in place
// of a lost one is fed first, then has the lost one's vote; who is to go, goes when all others have theirs.
func (k *Node) reconcile(servers []raft.Server) {
	k.mu.Lock()
	keepers, joins := k.members, k.joinRequests
	k.joinRequests = map[cluster.MemberID]transportpkg.JoinRequest{}
	led := k.leaderTerm != 0
	k.mu.Unlock()
	if !led {
		return
	}
	if !slices.Contains(keepers, k.self) { // who is new knows only those who stay, and asks them
		k.raft.LeadershipTransfer()
		return
	}
	for _, j := range joins {
		id := raft.ServerID(j.ServerID)
		was := suffrage(servers, id)
		switch {
		case was == raft.Voter:
			continue
		case was != raft.Nonvoter:
			k.awaitMembershipChange("keeper comes in", id, k.raft.AddNonvoter(id, raft.ServerAddress(id), 0, toDuration(k.sessionTTL)))
		case j.AppliedIndex > 0:
			if lost := slices.IndexFunc(servers, func(s raft.Server) bool {
				return s.ID != id && memberOf(s.ID) == j.Member
			}); lost >= 0 {
				k.awaitMembershipChange("keeper's lost folder goes", servers[lost].ID,
					k.raft.RemoveServer(servers[lost].ID, 0, toDuration(k.sessionTTL)))
			} else {
				k.awaitMembershipChange("keeper has its vote", id, k.raft.AddVoter(id, raft.ServerAddress(id), 0, toDuration(k.sessionTTL)))
			}
		}
		return
	}
	for _, m := range keepers {
		if !slices.ContainsFunc(servers, func(s raft.Server) bool {
			return memberOf(s.ID) == m && s.Suffrage == raft.Voter
		}) {
			return
		}
	}
	for _, s := range servers {
		if slices.Contains(keepers, memberOf(s.ID)) {
			continue
		}
		k.awaitMembershipChange("keeper goes", s.ID, k.raft.RemoveServer(s.ID, 0, toDuration(k.sessionTTL)))
		return
	}
}

func (k *Node) awaitMembershipChange(what string, id raft.ServerID, f raft.IndexFuture) {
	if err := f.Error(); err != nil {
		slog.Warn(what+": not done", "server", id, "why", err)
		return
	}
	k.MembershipChanges.Add(1)
	slog.Info(what, "server", id)
}

// Membership are the keepers of the log as it has them now, and which of them vote.
func (k *Node) Membership() map[cluster.MemberID]bool {
	all := map[cluster.MemberID]bool{}
	for _, s := range k.raft.GetConfiguration().Configuration().Servers {
		all[memberOf(s.ID)] = s.Suffrage == raft.Voter
	}
	return all
}

// IsVoter is whether this very folder votes.
func (k *Node) IsVoter() bool {
	return suffrage(k.raft.GetConfiguration().Configuration().Servers, k.storage.id) == raft.Voter
}
