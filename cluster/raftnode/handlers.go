package raftnode

import (
	"errors"

	"github.com/hashicorp/raft"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/timing"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// RegisterHandlers registers the handlers of the members' requests. The status of a response is 200 if the body is the
// response message, which may hold an error code; 421 if this node does not lead; 503 if the command was not executed and
// may be repeated; 504 if it is unknown whether the command was or will be executed.
func (n *Node) RegisterHandlers(server *transport.Server) {
	server.Handle(transport.SessionPath, n.handleSession)
	server.Handle(transport.ProposePath, n.handlePropose)
	server.Handle(transport.StatePath, n.handleState)
	server.Handle(transport.IdentifyPath, n.handleIdentify)
	server.Handle(transport.JoinPath, n.handleJoin)
}

// maxCommandSize bounds a command, in bytes.
const maxCommandSize = 4 << 20

// decodeRequest decodes a request's body into v. On an error it answers with status 400 and returns false.
func decodeRequest(ctx *fasthttp.RequestCtx, v any) bool {
	err := transport.Decode(ctx.Request.Body(), v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
	return err == nil
}

// redirectToLeader answers with status 421 and the leader, if this node knows it.
func (n *Node) redirectToLeader(ctx *fasthttp.RequestCtx) {
	n.Redirects.Add(1)
	leader, _ := n.Leader()
	if leader == n.self {
		leader = "" // this node is raft's leader, but can't answer requests before it has set the session deadlines
	}
	ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
	ctx.SetBody(transport.Encode(transport.NotLeaderResponse{Leader: leader}))
}

func (n *Node) handleSession(ctx *fasthttp.RequestCtx) {
	receivedAt := n.clock() + 1 // a heartbeat that was sent in this microsecond may have been sent before the request came
	var request transport.SessionRequest
	if !decodeRequest(ctx, &request) {
		return
	}
	if request.Session == 0 {
		n.openSession(ctx, request)
		return
	}
	n.renewSession(ctx, request, receivedAt)
}

// renewSession has runLeadership renew a session, which waits until a quorum has acknowledged heartbeats that this leader
// sent at receivedAt or later. It proves that no other node led when the request came.
func (n *Node) renewSession(ctx *fasthttp.RequestCtx, request transport.SessionRequest, receivedAt api.Micros) {
	results := make(chan renewalResult, 1)
	r := renewal{
		session:     request.Session,
		grantDigest: request.GrantDigest,
		receivedAt:  receivedAt,
		result:      results,
	}
	select {
	case n.renewals <- r:
	case <-n.closing:
		n.redirectToLeader(ctx)
		return
	}
	select {
	case result := <-results:
		n.respondToRenewal(ctx, request.Session, result)
	case <-n.closing:
		n.redirectToLeader(ctx)
	}
}

func (n *Node) respondToRenewal(ctx *fasthttp.RequestCtx, session cluster.SessionID, result renewalResult) {
	response := transport.SessionResponse{Session: session, TTL: n.sessionTTL}
	switch result.outcome {
	case renewalAccepted:
		response.Grants = result.grants
	case renewalSessionEnded:
		response.ErrorCode = fsm.ErrorCode(cluster.ErrNotFound)
	default:
		n.redirectToLeader(ctx)
		return
	}
	ctx.SetBody(transport.Encode(response))
}

func (n *Node) openSession(ctx *fasthttp.RequestCtx, request transport.SessionRequest) {
	applied, _, ok := n.proposeCommand(ctx, lease.OpenSession(request.Member, request.Incarnation))
	if !ok {
		return
	}
	response := transport.SessionResponse{TTL: n.sessionTTL, ErrorCode: fsm.ErrorCode(applied.err)}
	if applied.err == nil {
		if !applied.sessionLive { // the session was open before and is being ended: a repeated request opens another one
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		opened, err := lease.DecodeResult(applied.response)
		response.Session, response.ErrorCode = opened.Session, fsm.ErrorCode(err)
	}
	ctx.SetBody(transport.Encode(response))
}

func (n *Node) handlePropose(ctx *fasthttp.RequestCtx) {
	var command cluster.Command
	if !decodeRequest(ctx, &command) {
		return
	}
	if len(command.Body) > maxCommandSize {
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		return
	}
	if result, isRejected := n.rejectHeldResources(command); isRejected {
		ctx.SetBody(transport.Encode(transport.ProposeResponse{Result: result}))
		return
	}
	applied, index, ok := n.proposeCommand(ctx, command)
	if !ok {
		return
	}
	ctx.SetBody(transport.Encode(transport.ProposeResponse{
		Result:    applied.response,
		ErrorCode: fsm.ErrorCode(applied.err),
		Index:     index,
	}))
}

// proposeCommand proposes a command to the log and waits until it is applied. It returns the result and the entry's
// index. If the command was not applied, or its outcome is unknown, it answers the request with the status for that and
// returns false.
func (n *Node) proposeCommand(
	ctx *fasthttp.RequestCtx, command cluster.Command,
) (applied applyResult, index uint64, ok bool) {
	if _, isSelf := n.Leader(); !isSelf {
		n.redirectToLeader(ctx)
		return applyResult{}, 0, false
	}
	n.Proposals.Add(1)
	future := n.raft.ApplyLog(newLogEntry(command), timing.ProposalTimeout(n.sessionTTL).Duration())
	if err := future.Error(); err != nil {
		n.respondToFailedProposal(ctx, err)
		return applyResult{}, 0, false
	}
	applied = resultOf(future)
	if applied.err != nil {
		n.ProposalsRejected.Add(1)
	}
	return applied, future.Index(), true
}

// respondToFailedProposal answers a request whose command raft has not reported as applied.
func (n *Node) respondToFailedProposal(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		n.redirectToLeader(ctx)
	case errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	default: // the entry may still be committed
		n.ProposalsOutcomeUnknown.Add(1)
		ctx.Error(err.Error(), fasthttp.StatusGatewayTimeout)
	}
}
