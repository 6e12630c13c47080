package raftnode

import (
	"log/slog"
	"slices"

	"github.com/hashicorp/raft"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/transport"
)

// bootstrap creates the raft group if this is the first of the configured nodes and the folders of all are empty. Every
// node must have confirmed that: otherwise a node that lost its folder could create a second group while the others can't
// be reached. bootstrap returns false if the node has to join instead, because another node has a log or this node is not
// configured. It returns true if it created the group or has to try again later.
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

// identifyAll requests the identity of all other nodes. It returns the servers of a new group, or nil if a node did not
// answer, answered for another member or is configured with other members. exists reports whether a node has a log.
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

// identify requests the identity of a member's node.
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

// isEmpty reports whether the node has neither a log entry nor a raft configuration.
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

// requestJoin sends a join request to the configured nodes, one after another, until one accepts it: the leader.
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

// handleJoin records a join request for the next reconcileMembership. A node that is not the leader redirects the request.
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
