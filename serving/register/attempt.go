package register

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/actor"
	"rowanlink/serving/state"
)

// attemptOutcome says how one attempt of a change ended.
type attemptOutcome uint8

const (
	attemptDecided       attemptOutcome = iota // the change succeeded or was rejected
	attemptFailed                              // preempted or without a majority; the next attempt follows after a backoff
	attemptFinishedOther                       // it finished another reconfiguration; the next attempt follows at once
)

// attemptResult is the result of one attempt. If the outcome is attemptDecided, record is the committed record and err
// the update's rejection.
type attemptResult struct {
	outcome attemptOutcome
	record  state.Record
	err     error
	isJoint bool // the record was committed with outgoing voters, whose majority is still needed
}

func failedAttempt(err error) attemptResult { return attemptResult{outcome: attemptFailed, err: err} }

// runAttempt runs a Prepare and an Accept round (CASPaxos §2.2) for the change.
func (p *Proposer) runAttempt(ctx context.Context, change *change) attemptResult {
	learned, ballot, ok := p.nextBallot()
	if !ok {
		return failedAttempt(errNotReady())
	}
	tally, err := p.prepare(ctx, ballot, learned, attemptTimeout(change.attempts))
	if err != nil {
		return failedAttempt(err)
	}
	// The caller may have gone, or this process may have been suspended, during the round. A change must not begin to
	// take effect after its caller has given up.
	if ctx.Err() != nil {
		return failedAttempt(errCallerGone)
	}
	committedVoters, committed := learned.committedVoters, tally.isCommitted()
	if committed {
		p.handleCommitted(tally.highestAccepted)
		committedVoters = tally.highestAccepted.Proposal.Record.Voters
	}
	newest := tally.highestAccepted.Proposal.leaveJoint(committedVoters)
	if newest.isJoint() {
		return p.finishOther(ctx, ballot, newest)
	}
	resolved := change.resolve(&newest)
	if !resolved.write {
		isWritten := committed && !tally.highestAccepted.Proposal.isJoint() && !resolved.fence
		return p.confirm(ctx, ballot, newest, isWritten, resolved.rejection)
	}
	change.recordProposal(&resolved.proposal)
	if err := p.accept(ctx, ballot, resolved.proposal); err != nil {
		return failedAttempt(err)
	}
	return attemptResult{
		outcome: attemptDecided,
		record:  resolved.proposal.Record,
		isJoint: resolved.proposal.isJoint(),
	}
}

// finishOther commits a reconfiguration that another proposer has begun: changes of the voters must not overlap.
func (p *Proposer) finishOther(ctx context.Context, ballot Ballot, joint Proposal) attemptResult {
	if err := p.accept(ctx, ballot, joint); err != nil {
		return failedAttempt(err)
	}
	return attemptResult{outcome: attemptFinishedOther}
}

// confirm ends a change that has nothing to write. The proposal that it was resolved on is written first unless it is
// known to be committed without outgoing voters and no fence is needed.
func (p *Proposer) confirm(
	ctx context.Context, ballot Ballot, newest Proposal, isWritten bool, rejection error,
) attemptResult {
	if !isWritten {
		if err := p.accept(ctx, ballot, newest); err != nil {
			return failedAttempt(err)
		}
	}
	return attemptResult{outcome: attemptDecided, record: newest.Record, err: rejection}
}

// nextBallot returns a copy of the learned state and a ballot above all in it, and false if no voters are known.
func (p *Proposer) nextBallot() (learned learnedState, ballot Ballot, ok bool) {
	learned, ok = actor.Call(p.learned, func(l *learnedState) learnedState {
		ballot = l.nextBallot(p.id)
		return *l
	})
	return learned, ballot, ok && len(learned.committedVoters.Replicas) > 0
}

// prepare collects the promises of a majority, and with them the highest accepted proposal.
func (p *Proposer) prepare(
	ctx context.Context, ballot Ballot, learned learnedState, timeout time.Duration,
) (*prepareTally, error) {
	tally := newPrepareTally(learned.committedVoters, learned.highestAccepted)
	round := p.newRound(tally, timeout, func(ctx context.Context, replica state.Replica) (*Vote, error) {
		return p.transport.Prepare(ctx, replica.Address, &PrepareRequest{
			ReplicaID:   replica.ID,
			Ballot:      ballot,
			KnownBallot: learned.highestAccepted.Ballot,
			Epoch:       learned.committedVoters.Epoch,
		})
	})
	err := round.run(ctx)
	// Voters beyond the first set were elected by an accepted proposal. A majority of them that has accepted nothing
	// has lost it, and must not be taken for a new register.
	if err == nil && tally.highestAccepted.Ballot.IsZero() && learned.committedVoters.Epoch > 0 {
		empty := errors.Newf("replicas of epoch %d have accepted nothing", learned.committedVoters.Epoch)
		err = errors.Mark(empty, errNoQuorum)
	}
	return tally, err
}

// accept runs an Accept round. If it returns nil, the proposal is committed.
func (p *Proposer) accept(ctx context.Context, ballot Ballot, proposal Proposal) error {
	config := jointConfig{proposal.Record.Voters}
	if proposal.isJoint() {
		config = append(config, proposal.OutgoingVoters)
	}
	round := p.newRound(newAcceptTally(config), callTimeout,
		func(ctx context.Context, replica state.Replica) (*Vote, error) {
			return p.transport.Accept(ctx, replica.Address, &AcceptRequest{
				ReplicaID: replica.ID,
				Ballot:    ballot,
				Proposal:  proposal,
				Epoch:     proposal.CommittedVoters().Epoch,
			})
		})
	if err := round.run(ctx); err != nil {
		return err
	}
	p.handleCommitted(AcceptedProposal{Ballot: ballot, Proposal: proposal})
	return nil
}
