package raftnode

import (
	"log/slog"
	"slices"

	"github.com/hashicorp/raft"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/transport"
)

// bootstrap creates the raft group if this is the first of the configured nodes and the folders of all are empty. It
// returns false if the group exists elsewhere or this node is not configured: then the node requests to join. It requires
// an answer from every node: otherwise one that lost its folder could create a second group while the others can't be
// reached.
func (n *Node) bootstrap() bool {
	members := n.configuredMembers()
	if len(members) == 0 || !slices.Contains(members, n.self) {
		return false
	}
	servers, exists := n.identifyAll(members)
	if exists {
		return false
	}
	if servers == nil || members[0] != n.self {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !slices.Equal(n.members, members) || !n.isEmpty() {
		return true
	}
	err := n.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
	slog.Info("raft group bootstrapped", "member", n.self, "servers", len(servers), "error", err)
	return true
}

// identifyAll requests the identity of all nodes. It returns the servers of a new group, or nil if a node did not answer
// or is configured with other members, and whether a node has a log already.
func (n *Node) identifyAll(members []cluster.MemberID) (servers []raft.Server, exists bool) {
	servers = []raft.Server{voter(n.storage.id)}
	for _, member := range members {
		if member == n.self {
			continue
		}
		identity, err := n.identify(member)
		switch {
		case err != nil || memberOf(raft.ServerID(identity.ServerID)) != member:
			servers = nil
		case !identity.Empty:
			exists = true
		case !slices.Equal(identity.Members, members):
			servers = nil
		case servers != nil:
			servers = append(servers, voter(raft.ServerID(identity.ServerID)))
		}
	}
	return servers, exists
}

func (n *Node) identify(member cluster.MemberID) (transport.NodeIdentity, error) {
	var identity transport.NodeIdentity
	request := transport.Encode(n.identity())
	response, err := n.client.Call(member, transport.IdentifyPath, request, n.requestTimeout())
	if err != nil {
		return identity, err
	}
	return identity, response.Decode(&identity)
}

func voter(id raft.ServerID) raft.Server {
	return raft.Server{Suffrage: raft.Voter, ID: id, Address: raft.ServerAddress(id)}
}

// isEmpty reports whether the node has no entry and no configuration.
func (n *Node) isEmpty() bool {
	return n.raft.LastIndex() == 0 && len(n.raft.GetConfiguration().Configuration().Servers) == 0
}

func (n *Node) identity() transport.NodeIdentity {
	n.mu.Lock()
	defer n.mu.Unlock()
	return transport.NodeIdentity{ServerID: string(n.storage.id), Empty: n.isEmpty(), Members: n.members}
}

func (n *Node) handleIdentify(ctx *fasthttp.RequestCtx) {
	ctx.SetBody(transport.Encode(n.identity()))
}

// requestJoin requests of the configured nodes, one after another, to add this one to the group, until the leader accepts.
func (n *Node) requestJoin() {
	request := transport.Encode(transport.JoinRequest{
		Member:       n.self,
		ServerID:     string(n.storage.id),
		AppliedIndex: n.raft.AppliedIndex(),
	})
	for _, member := range n.configuredMembers() {
		if member == n.self {
			continue
		}
		response, err := n.client.Call(member, transport.JoinPath, request, n.requestTimeout())
		if err == nil && response.Status == fasthttp.StatusOK {
			return
		}
	}
}

// handleJoin records a join request, which the leader handles in reconcileMembership.
func (n *Node) handleJoin(ctx *fasthttp.RequestCtx) {
	var request transport.JoinRequest
	if !decodeRequest(ctx, &request) {
		return
	}
	if _, isSelf := n.Leader(); !isSelf {
		n.redirectToLeader(ctx)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	isMember := slices.Contains(n.members, request.Member)
	if !isMember || memberOf(raft.ServerID(request.ServerID)) != request.Member {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	n.joinRequests[request.Member] = request
}
