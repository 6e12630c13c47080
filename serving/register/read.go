package register

import (
	"context"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/errcode"
	"rowanlink/serving/state"
)

// queryLinger is how long a read waits for replicas beyond a majority that doesn't agree.
const queryLinger = 100 * time.Millisecond

// Read returns the record in force: at least as new as whatever was acknowledged before the call. In the usual case
// that is one round, and nothing is written; a change that was left half-way is finished. Errors: result.RegisterUnavailable and result.RegisterNotReady.
func (p *Proposer) Read(ctx context.Context) (state.Record, error) {
	last := errNoMajority
	for attempt := 0; ctx.Err() == nil && p.life.Err() == nil; attempt++ {
		votes, err := p.query(ctx, timeoutOf(attempt))
		switch {
		case err != nil:
			last = err
			ctxsleep.Sleep(ctx, retryWait(attempt, 0))
		case votes.committed() && !votes.highest.Proposal.setPending():
			p.commit(votes.highest)
			return votes.highest.Proposal.Record, nil
		default:
			return p.Change(ctx, unchanged)
		}
	}
	if errcode.RegisterNotReady.Is(last) {
		return state.Record{}, last
	}
	return state.Record{}, errcode.RegisterUnavailable.With("%v", last)
}

// query asks the replicas what they have accepted until a majority has answered, and a little longer where that
// majority doesn't agree.
func (p *Proposer) query(ctx context.Context, timeout time.Duration) (*tally, error) {
	known, ok := p.known()
	if !ok {
		return nil, errNotReady()
	}
	votes := newTally(known.established, known.newest)
	query := p.newRound(votes, timeout, func(ctx context.Context, replica state.Replica) (*Vote, error) {
		return p.transport.Query(ctx, replica.Address, &QueryRequest{ReplicaID: replica.ID,
			KnownBallot: known.newest.Ballot, Epoch: known.established.Epoch})
	})
	return votes, query.runUntil(ctx, votes.committed, queryLinger)
}
