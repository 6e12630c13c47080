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

// Handle has what members ask of a keeper answered by this one. Statuses: 200 with an answer or a refusal,
// 421 where another leads, 503 where it was not done and may be asked again, 504 where that is not known.
func (k *Keeper) Handle(on *transportpkg.Server) {
	on.Handle(transportpkg.SessionPath, k.session)
	on.Handle(transportpkg.ProposePath, k.propose)
	on.Handle(transportpkg.StatePath, k.states)
	on.Handle(transportpkg.WhoPath, k.who)
	on.Handle(transportpkg.JoinPath, k.join)
}

const mostEntry = 4 << 20 // bytes of one entry of the log

// read decodes a message, else answers that it can't be.
func read(ctx *fasthttp.RequestCtx, v any) bool {
	err := transportpkg.Decode(ctx.Request.Body(), v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
	return err == nil
}

func (k *Keeper) elsewhere(ctx *fasthttp.RequestCtx) {
	k.Elsewhere.Add(1)
	who, _ := k.Leads()
	if who == k.self {
		who = "" // not yet: its sessions have no terms
	}
	ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
	ctx.SetBody(transportpkg.Encode(transportpkg.Elsewhere{Leads: who}))
}

func (k *Keeper) session(ctx *fasthttp.RequestCtx) {
	came := k.clock() + 1 // what was sent in this microsecond was sent before
	var ask transportpkg.SessionAsk
	if !read(ctx, &ask) {
		return
	}
	if ask.Session == 0 {
		k.open(ctx, ask)
		return
	}
	k.renew(ctx, ask, came)
}

// renew has the session go on, if a majority still follows at or after the moment when the ask came.
func (k *Keeper) renew(ctx *fasthttp.RequestCtx, by transportpkg.SessionAsk, came api.Micros) {
	s, verdicts := by.Session, make(chan said, 1)
	select {
	case k.asks <- ask{s, by.Tally, came, verdicts}:
	case <-k.ended:
		k.elsewhere(ctx)
		return
	}
	select {
	case v := <-verdicts:
		switch v.verdict {
		case goesOn:
			ctx.SetBody(transportpkg.Encode(transportpkg.SessionAnswer{Session: s, Term: k.term, Holds: v.holds}))
		case ended:
			ctx.SetBody(transportpkg.Encode(transportpkg.SessionAnswer{Session: s, Term: k.term,
				Refusal: fsm.Code(cluster.ErrNotFound)}))
		default:
			k.elsewhere(ctx)
		}
	case <-k.ended:
		k.elsewhere(ctx)
	}
}

func (k *Keeper) open(ctx *fasthttp.RequestCtx, ask transportpkg.SessionAsk) {
	did, _, ok := k.enter(ctx, lease.OpenSession(ask.Member, ask.Incarnation))
	if !ok {
		return
	}
	answer := transportpkg.SessionAnswer{Term: k.term, Refusal: fsm.Code(did.err)}
	if did.err == nil {
		if !did.lives { // it is being ended: the next one asked for is another
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		opened, err := lease.DecodeResult(did.answer)
		answer.Session, answer.Refusal = opened.Session, fsm.Code(err)
	}
	ctx.SetBody(transportpkg.Encode(answer))
}

func (k *Keeper) propose(ctx *fasthttp.RequestCtx) {
	var c cluster.Command
	if !read(ctx, &c) {
		return
	}
	if len(c.Body) > mostEntry {
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		return
	}
	if answer, sure := k.taken(c); sure {
		ctx.SetBody(transportpkg.Encode(transportpkg.Proposed{Answer: answer}))
		return
	}
	if did, index, ok := k.enter(ctx, c); ok {
		ctx.SetBody(transportpkg.Encode(transportpkg.Proposed{Answer: did.answer, Refusal: fsm.Code(did.err), Index: index}))
	}
}

// enter puts a command into the log and waits until it is applied; else it answers why not.
func (k *Keeper) enter(ctx *fasthttp.RequestCtx, c cluster.Command) (did applied, index uint64, ok bool) {
	if _, self := k.Leads(); !self {
		k.elsewhere(ctx)
		return applied{}, 0, false
	}
	k.Proposed.Add(1)
	f := k.raft.ApplyLog(entry(c), span(timing.ProposalTimeout(k.term)))
	switch err := f.Error(); {
	case err == nil:
	case errors.Is(err, raft.ErrNotLeader):
		k.elsewhere(ctx)
		return applied{}, 0, false
	case errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return applied{}, 0, false
	default: // it may be committed all the same
		k.ProposalsOut.Add(1)
		ctx.Error(err.Error(), fasthttp.StatusGatewayTimeout)
		return applied{}, 0, false
	}
	did = f.Response().(applied)
	if did.err != nil {
		k.ProposalsRefused.Add(1)
	}
	return did, f.Index(), true
}

// states answers with the parts that are newer, and waits a while if none is.
func (k *Keeper) states(ctx *fasthttp.RequestCtx) {
	var ask transportpkg.StateAsk
	if !read(ctx, &ask) {
		return
	}
	late := time.NewTimer(span(timing.LongPollTimeout(k.term)))
	defer late.Stop()
	for {
		answer, news, err := k.newer(ask)
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		if len(answer.Parts)+len(answer.Free) == 0 {
			select {
			case <-news:
				continue
			case <-late.C:
			case <-k.ended:
			}
		}
		k.States.Add(int64(len(answer.Parts)))
		ctx.SetBody(transportpkg.Encode(answer))
		return
	}
}
