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
	// attemptDecided: the change succeeded or was rejected.
	attemptDecided attemptOutcome = iota
	// attemptFailed: the attempt was preempted or got no majority. The next one follows after a backoff.
	attemptFailed
	// attemptFinishedReconfiguration: the attempt committed another proposer's unfinished reconfiguration. The next one
	// follows at once.
	attemptFinishedReconfiguration
)

// attemptResult is the result of one attempt. If the outcome is attemptDecided, record is the committed record, and err
// is the reason for which the update was rejected, or nil.
type attemptResult struct {
	outcome attemptOutcome
	record  state.Record
	err     error
	isJoint bool // the committed record has outgoing voters: a majority of them is still needed, too
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
	// The context may have ended during the round, for example because this process was suspended. No Accept round may
	// begin after that: the caller has given up, and the change must not begin to take effect.
	if ctx.Err() != nil {
		return failedAttempt(errCallerCancelled)
	}
	committedVoters, committed := learned.committedVoters, tally.isCommitted()
	if committed {
		p.handleCommitted(tally.highestAccepted)
		committedVoters = tally.highestAccepted.Proposal.Record.Voters
	}
	newest := tally.highestAccepted.Proposal.leaveJoint(committedVoters)
	if newest.isJoint() {
		return p.commitUnfinishedReconfiguration(ctx, ballot, newest)
	}
	resolved := change.resolve(&newest)
	if !resolved.write {
		skipAccept := committed && !tally.highestAccepted.Proposal.isJoint() && !resolved.fence
		return p.confirm(ctx, ballot, newest, skipAccept, resolved.rejection)
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

// commitUnfinishedReconfiguration commits a change of the voters that another proposer has begun: changes of the voters
// must not overlap.
func (p *Proposer) commitUnfinishedReconfiguration(ctx context.Context, ballot Ballot, joint Proposal) attemptResult {
	if err := p.accept(ctx, ballot, joint); err != nil {
		return failedAttempt(err)
	}
	return attemptResult{outcome: attemptFinishedReconfiguration}
}

// confirm ends a change that has nothing to write; rejection is the update's error, if any. Unless skipAccept is set,
// the newest proposal is first accepted under the present ballot. That round can be skipped if the proposal is known to
// be committed without outgoing voters and no fence is needed (see ErrFence).
func (p *Proposer) confirm(
	ctx context.Context, ballot Ballot, newest Proposal, skipAccept bool, rejection error,
) attemptResult {
	if !skipAccept {
		if err := p.accept(ctx, ballot, newest); err != nil {
			return failedAttempt(err)
		}
	}
	return attemptResult{outcome: attemptDecided, record: newest.Record, err: rejection}
}

// nextBallot returns a copy of the learned state and a ballot above all ballots in it, and false if no voters are
// known.
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
	// Voters of an epoch above 0 were installed by an accepted proposal. If a majority of them reports no accepted
	// proposal, they have lost their state, and the register must not be taken for an empty one.
	if err == nil && tally.highestAccepted.Ballot.IsZero() && learned.committedVoters.Epoch > 0 {
		empty := errors.Newf("a majority of the voters of epoch %d reports no accepted proposal",
			learned.committedVoters.Epoch)
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
