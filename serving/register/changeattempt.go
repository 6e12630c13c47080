package register

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/actor"
	"rowanlink/serving/errcode"
	"rowanlink/serving/state"
)

// attemptOutcome tells how one try of a change ended.
type attemptOutcome uint8

const (
	attemptDecided       attemptOutcome = iota // done, or refused
	attemptFailed                              // outvoted or without a majority; another try may follow after a wait
	attemptFinishedOther                       // somebody else's change of the set was finished first; another try follows at once
)

// change is one call of Proposer.Change.
type change struct {
	id     ChangeID
	update Update

	attempts        int    // that were begun before
	proposed        bool   // some proposal of it was put to the vote
	highestRevision uint64 // the highest that such a proposal had
	changesVoters   bool   // some such proposal changed the set of replicas
}

// decision is what a change makes of the newest proposal.
type decision struct {
	proposal  Proposal // to be put to the vote where write is set
	write     bool
	fence     bool // nothing new to write, but the newest proposal is to be written under this ballot
	rejection error
}

// resolve computes what follows from the newest proposal. It does no I/O.
func (c *change) resolve(newest *Proposal) decision {
	if newest.containsChange(c.id) {
		return decision{}
	}
	if c.proposed && newest.Record.Revision >= c.highestRevision+maxRememberedChanges {
		return decision{rejection: errcode.RegisterInDoubt.With("too many changes since the first try")}
	}
	record, err := c.update(newest.Record)
	switch {
	case errors.Is(err, ErrNoChange):
		return decision{}
	case errors.Is(err, ErrFence):
		return decision{fence: true}
	case err != nil:
		return decision{rejection: err}
	}
	setChanged := !slices.Equal(record.Voters.Replicas, newest.Record.Voters.Replicas)
	return decision{proposal: newest.successor(record, c.id, setChanged), write: true}
}

// recordProposal notes that a proposal of the change is about to be put to the vote.
func (c *change) recordProposal(next *Proposal) {
	c.proposed, c.highestRevision = true, max(c.highestRevision, next.Record.Revision)
	c.changesVoters = c.changesVoters || next.isJoint()
}

// abandonmentError is the error of a change whose context ended.
func (c *change) abandonmentError(last error) error {
	if c.proposed {
		return errcode.RegisterInDoubt.With("%v", last)
	}
	if errcode.RegisterNotReady.Is(last) {
		return last
	}
	return errcode.RegisterUnavailable.With("%v", last)
}

// runAttempt runs both rounds once.
func (p *Proposer) runAttempt(ctx context.Context, change *change) (state.Record, attemptOutcome, error) {
	known, ballot, ok := p.nextBallot()
	if !ok {
		return state.Record{}, attemptFailed, errNotReady()
	}
	votes, err := p.prepare(ctx, ballot, known, attemptTimeout(change.attempts))
	if err != nil {
		return state.Record{}, attemptFailed, err
	}
	if ctx.Err() != nil { // whoever gave the order has left meanwhile, or this process stood still
		return state.Record{}, attemptFailed, errCallerGone
	}
	established, committed := known.committedVoters, votes.isCommitted()
	if committed {
		p.handleCommitted(votes.highestAccepted)
		established = votes.highestAccepted.Proposal.Record.Voters
	}
	newest := votes.highestAccepted.Proposal.leaveJoint(established)
	if newest.isJoint() { // somebody's change of the set is under way: finish it
		err := p.accept(ctx, ballot, newest)
		return state.Record{}, outcomeUnlessError(err, attemptFinishedOther), err
	}
	decision := change.resolve(&newest)
	if !decision.write {
		written := committed && !votes.highestAccepted.Proposal.isJoint() && !decision.fence
		return p.confirm(ctx, ballot, newest, written, decision.rejection)
	}
	change.recordProposal(&decision.proposal)
	if err := p.accept(ctx, ballot, decision.proposal); err != nil {
		return state.Record{}, attemptFailed, err
	}
	return decision.proposal.Record, attemptDecided, nil
}

// confirm ends a change that has nothing of its own to write. Where the proposal that it was decided on isn't known to
// be committed, or still names a former set, or is to be a fence, it is written first.
func (p *Proposer) confirm(ctx context.Context, ballot Ballot, newest Proposal, written bool,
	refusal error) (state.Record, attemptOutcome, error) {
	if !written {
		if err := p.accept(ctx, ballot, newest); err != nil {
			return state.Record{}, attemptFailed, err
		}
	}
	return newest.Record, attemptDecided, refusal
}

func outcomeUnlessError(err error, otherwise attemptOutcome) attemptOutcome {
	if err != nil {
		return attemptFailed
	}
	return otherwise
}

// nextBallot returns what is known and a ballot above all that is known; false where no replicas are known.
func (p *Proposer) nextBallot() (known learnedState, ballot Ballot, ok bool) {
	known, ok = actor.Call(p.learned, func(k *learnedState) learnedState {
		ballot = k.nextBallot(p.id)
		return *k
	})
	return known, ballot, ok && len(known.committedVoters.Replicas) > 0
}

// prepare gathers the promises of a majority and with them the newest proposal.
func (p *Proposer) prepare(ctx context.Context, ballot Ballot, known learnedState, timeout time.Duration) (*prepareTally, error) {
	votes := newPrepareTally(known.committedVoters, known.highestAccepted)
	err := p.newRound(votes, timeout, func(ctx context.Context, replica state.Replica) (*Vote, error) {
		return p.transport.Prepare(ctx, replica.Address, &PrepareRequest{ReplicaID: replica.ID, Ballot: ballot,
			KnownBallot: known.highestAccepted.Ballot, Epoch: known.committedVoters.Epoch})
	}).run(ctx)
	if err == nil && votes.highestAccepted.Ballot.IsZero() && known.committedVoters.Epoch > 0 {
		err = errors.Mark(errors.Newf("replicas of epoch %d hold nothing", known.committedVoters.Epoch), errNoQuorum)
	}
	return votes, err
}

// accept puts a proposal to the vote. Without error it is committed.
func (p *Proposer) accept(ctx context.Context, ballot Ballot, proposal Proposal) error {
	sets := jointConfig{proposal.Record.Voters}
	if proposal.isJoint() {
		sets = append(sets, proposal.OutgoingVoters)
	}
	err := p.newRound(newAcceptTally(sets), callTimeout, func(ctx context.Context, replica state.Replica) (*Vote, error) {
		return p.transport.Accept(ctx, replica.Address, &AcceptRequest{ReplicaID: replica.ID, Ballot: ballot,
			Proposal: proposal, Epoch: proposal.CommittedVoters().Epoch})
	}).run(ctx)
	if err == nil {
		p.handleCommitted(AcceptedProposal{Ballot: ballot, Proposal: proposal})
	}
	return err
}
