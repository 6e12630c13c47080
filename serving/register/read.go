package register

import (
	"context"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/errcode"
	"rowanlink/serving/state"
)

// quorumGracePeriod is how long a read waits for further votes if the majority's votes don't name the same ballot.
const quorumGracePeriod = 100 * time.Millisecond

// Read returns the committed record, which is at least as new as any that was acknowledged before the call. Usually a
// read takes one Query round and writes nothing; a change that was left unfinished is completed first. Errors:
// errcode.RegisterUnavailable and errcode.RegisterNotReady.
func (p *Proposer) Read(ctx context.Context) (state.Record, error) {
	last := errNoQuorum
	for attempt := 0; ctx.Err() == nil && p.lifetime.Err() == nil; attempt++ {
		tally, err := p.query(ctx, attemptTimeout(attempt))
		switch {
		case err != nil:
			last = err
			ctxsleep.Sleep(ctx, retryBackoff(attempt, 0))
		case tally.isCommitted() && !tally.highestAccepted.Proposal.isJoint():
			p.handleCommitted(tally.highestAccepted)
			return tally.highestAccepted.Proposal.Record, nil
		default:
			return p.Change(ctx, confirmOnly)
		}
	}
	if errcode.RegisterNotReady.Is(last) {
		return state.Record{}, last
	}
	return state.Record{}, errcode.RegisterUnavailable.With("%v", last)
}

// query asks the replicas what they have accepted, until a majority has answered, and for up to quorumGracePeriod
// longer if the answers so far don't show the highest proposal to be committed.
func (p *Proposer) query(ctx context.Context, timeout time.Duration) (*prepareTally, error) {
	learned, ok := p.learnedCopy()
	if !ok {
		return nil, errNotReady()
	}
	tally := newPrepareTally(learned.committedVoters, learned.highestAccepted)
	round := p.newRound(tally, timeout, func(ctx context.Context, replica state.Replica) (*Vote, error) {
		return p.transport.Query(ctx, replica.Address, &QueryRequest{
			ReplicaID:   replica.ID,
			KnownBallot: learned.highestAccepted.Ballot,
			Epoch:       learned.committedVoters.Epoch,
		})
	})
	return tally, round.runUntil(ctx, tally.isCommitted, quorumGracePeriod)
}
