package raftnode

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/timing"
	transportpkg "rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// RegisterHandlers has what members ask of a keeper answered by this one. Statuses: 200 with an answer or a refusal,
// 421 where another leads, 503 where it was not done and may be asked again, 504 where that is not known.
func (k *Node) RegisterHandlers(on *transportpkg.Server) {
	on.Handle(transportpkg.SessionPath, k.handleSession)
	on.Handle(transportpkg.ProposePath, k.handlePropose)
	on.Handle(transportpkg.StatePath, k.handleState)
	on.Handle(transportpkg.IdentifyPath, k.handleIdentify)
	on.Handle(transportpkg.JoinPath, k.handleJoin)
}

const maxCommandSize = 4 << 20 // bytes of one entry of the log

// decodeRequest decodes a message, else answers that it can't be.
func decodeRequest(ctx *fasthttp.RequestCtx, v any) bool {
	err := transportpkg.Decode(ctx.Request.Body(), v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
	return err == nil
}

func (k *Node) redirectToLeader(ctx *fasthttp.RequestCtx) {
	k.Redirects.Add(1)
	who, _ := k.Leader()
	if who == k.self {
		who = "" // not yet: its sessions have no terms
	}
	ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
	ctx.SetBody(transportpkg.Encode(transportpkg.NotLeaderResponse{Leader: who}))
}

func (k *Node) handleSession(ctx *fasthttp.RequestCtx) {
	came := k.clock() + 1 // what was sent in this microsecond was sent before
	var ask transportpkg.SessionRequest
	if !decodeRequest(ctx, &ask) {
		return
	}
	if ask.Session == 0 {
		k.openSession(ctx, ask)
		return
	}
	k.renewSession(ctx, ask, came)
}

// renewSession has the session go on, if a majority still follows at or after the moment when the ask came.
func (k *Node) renewSession(ctx *fasthttp.RequestCtx, by transportpkg.SessionRequest, came api.Micros) {
	s, verdicts := by.Session, make(chan renewalResult, 1)
	select {
	case k.renewals <- renewal{s, by.GrantTally, came, verdicts}:
	case <-k.closing:
		k.redirectToLeader(ctx)
		return
	}
	select {
	case v := <-verdicts:
		switch v.outcome {
		case renewalAccepted:
			ctx.SetBody(transportpkg.Encode(transportpkg.SessionResponse{Session: s, TTL: k.sessionTTL, Grants: v.grants}))
		case renewalSessionEnded:
			ctx.SetBody(transportpkg.Encode(transportpkg.SessionResponse{Session: s, TTL: k.sessionTTL,
				ErrorCode: fsm.ErrorCode(cluster.ErrNotFound)}))
		default:
			k.redirectToLeader(ctx)
		}
	case <-k.closing:
		k.redirectToLeader(ctx)
	}
}

func (k *Node) openSession(ctx *fasthttp.RequestCtx, ask transportpkg.SessionRequest) {
	did, _, ok := k.proposeCommand(ctx, lease.OpenSession(ask.Member, ask.Incarnation))
	if !ok {
		return
	}
	answer := transportpkg.SessionResponse{TTL: k.sessionTTL, ErrorCode: fsm.ErrorCode(did.err)}
	if did.err == nil {
		if !did.sessionLive { // it is being ended: the next one asked for is another
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		opened, err := lease.DecodeResult(did.response)
		answer.Session, answer.ErrorCode = opened.Session, fsm.ErrorCode(err)
	}
	ctx.SetBody(transportpkg.Encode(answer))
}

func (k *Node) handlePropose(ctx *fasthttp.RequestCtx) {
	var c cluster.Command
	if !decodeRequest(ctx, &c) {
		return
	}
	if len(c.Body) > maxCommandSize {
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		return
	}
	if answer, sure := k.rejectHeldTasks(c); sure {
		ctx.SetBody(transportpkg.Encode(transportpkg.ProposeResponse{Result: answer}))
		return
	}
	if did, index, ok := k.proposeCommand(ctx, c); ok {
		ctx.SetBody(transportpkg.Encode(transportpkg.ProposeResponse{Result: did.response, ErrorCode: fsm.ErrorCode(did.err), Index: index}))
	}
}

// proposeCommand puts a command into the log and waits until it is applied; else it answers why not.
func (k *Node) proposeCommand(ctx *fasthttp.RequestCtx, c cluster.Command) (did applyResult, index uint64, ok bool) {
	if _, self := k.Leader(); !self {
		k.redirectToLeader(ctx)
		return applyResult{}, 0, false
	}
	k.Proposals.Add(1)
	f := k.raft.ApplyLog(newLogEntry(c), toDuration(timing.ProposalTimeout(k.sessionTTL)))
	switch err := f.Error(); {
	case err == nil:
	case errors.Is(err, raft.ErrNotLeader):
		k.redirectToLeader(ctx)
		return applyResult{}, 0, false
	case errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return applyResult{}, 0, false
	default: // it may be committed all the same
		k.ProposalsOutcomeUnknown.Add(1)
		ctx.Error(err.Error(), fasthttp.StatusGatewayTimeout)
		return applyResult{}, 0, false
	}
	did = f.Response().(applyResult)
	if did.err != nil {
		k.ProposalsRejected.Add(1)
	}
	return did, f.Index(), true
}

// handleState answers with the parts that are newer, and waits a while if none is.
func (k *Node) handleState(ctx *fasthttp.RequestCtx) {
	var ask transportpkg.StateRequest
	if !decodeRequest(ctx, &ask) {
		return
	}
	late := time.NewTimer(toDuration(timing.LongPollTimeout(k.sessionTTL)))
	defer late.Stop()
	for {
		answer, news, err := k.readNewerState(ask)
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		if len(answer.Parts)+len(answer.FreeTasks) == 0 {
			select {
			case <-news:
				continue
			case <-late.C:
			case <-k.closing:
			}
		}
		k.PartsServed.Add(int64(len(answer.Parts)))
		ctx.SetBody(transportpkg.Encode(answer))
		return
	}
}
