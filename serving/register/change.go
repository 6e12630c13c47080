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

// outcome tells how one try of a change ended.
type outcome uint8

const (
	decided  outcome = iota // done, or refused
	failed                  // outvoted or without a majority; another try may follow after a wait
	advanced                // somebody else's change of the set was finished first; another try follows at once
)

// change is one call of Proposer.Change.
type change struct {
	id     ChangeID
	update Update

	tries      int    // that were begun before
	begun      bool   // some proposal of it was put to the vote
	revision   uint64 // the highest that such a proposal had
	setChanged bool   // some such proposal changed the set of replicas
}

// verdict is what a change makes of the newest proposal.
type verdict struct {
	next    Proposal // to be put to the vote where write is set
	write   bool
	fence   bool // nothing new to write, but the newest proposal is to be written under this ballot
	refusal error
}

// decide computes what follows from the newest proposal. It does no I/O.
func (c *change) decide(newest *Proposal) verdict {
	if newest.includes(c.id) {
		return verdict{}
	}
	if c.begun && newest.Record.Revision >= c.revision+rememberedChanges {
		return verdict{refusal: errcode.RegisterInDoubt.With("too many changes since the first try")}
	}
	record, err := c.update(newest.Record)
	switch {
	case errors.Is(err, ErrNoChange):
		return verdict{}
	case errors.Is(err, ErrFence):
		return verdict{fence: true}
	case err != nil:
		return verdict{refusal: err}
	}
	setChanged := !slices.Equal(record.Voters.Replicas, newest.Record.Voters.Replicas)
	return verdict{next: newest.successor(record, c.id, setChanged), write: true}
}

// begin notes that a proposal of the change is about to be put to the vote.
func (c *change) begin(next *Proposal) {
	c.begun, c.revision = true, max(c.revision, next.Record.Revision)
	c.setChanged = c.setChanged || next.setPending()
}

// abandoned is the error of a change whose context ended.
func (c *change) abandoned(last error) error {
	if c.begun {
		return errcode.RegisterInDoubt.With("%v", last)
	}
	if errcode.RegisterNotReady.Is(last) {
		return last
	}
	return errcode.RegisterUnavailable.With("%v", last)
}

// try runs both rounds once.
func (p *Proposer) try(ctx context.Context, change *change) (state.Record, outcome, error) {
	known, ballot, ok := p.nextBallot()
	if !ok {
		return state.Record{}, failed, errNotReady()
	}
	votes, err := p.prepare(ctx, ballot, known, timeoutOf(change.tries))
	if err != nil {
		return state.Record{}, failed, err
	}
	if ctx.Err() != nil { // whoever gave the order has left meanwhile, or this process stood still
		return state.Record{}, failed, errGivenUp
	}
	established, committed := known.established, votes.committed()
	if committed {
		p.commit(votes.highest)
		established = votes.highest.Proposal.Record.Voters
	}
	newest := votes.highest.Proposal.settled(established)
	if newest.setPending() { // somebody's change of the set is under way: finish it
		err := p.accept(ctx, ballot, newest)
		return state.Record{}, outcomeOf(err, advanced), err
	}
	decision := change.decide(&newest)
	if !decision.write {
		written := committed && !votes.highest.Proposal.setPending() && !decision.fence
		return p.confirm(ctx, ballot, newest, written, decision.refusal)
	}
	change.begin(&decision.next)
	if err := p.accept(ctx, ballot, decision.next); err != nil {
		return state.Record{}, failed, err
	}
	return decision.next.Record, decided, nil
}

// confirm ends a change that has nothing of its own to write. Where the proposal that it was decided on isn't known to
// be committed, or still names a former set, or is to be a fence, it is written first.
func (p *Proposer) confirm(ctx context.Context, ballot Ballot, newest Proposal, written bool,
	refusal error) (state.Record, outcome, error) {
	if !written {
		if err := p.accept(ctx, ballot, newest); err != nil {
			return state.Record{}, failed, err
		}
	}
	return newest.Record, decided, refusal
}

func outcomeOf(err error, otherwise outcome) outcome {
	if err != nil {
		return failed
	}
	return otherwise
}

// nextBallot returns what is known and a ballot above all that is known; false where no replicas are known.
func (p *Proposer) nextBallot() (known knowledge, ballot Ballot, ok bool) {
	known, ok = actor.Call(p.knowledge, func(k *knowledge) knowledge {
		ballot = k.nextBallot(p.id)
		return *k
	})
	return known, ballot, ok && len(known.established.Replicas) > 0
}

// prepare gathers the promises of a majority and with them the newest proposal.
func (p *Proposer) prepare(ctx context.Context, ballot Ballot, known knowledge, timeout time.Duration) (*tally, error) {
	votes := newTally(known.established, known.newest)
	err := p.newRound(votes, timeout, func(ctx context.Context, replica state.Replica) (*Vote, error) {
		return p.transport.Prepare(ctx, replica.Address, &PrepareRequest{ReplicaID: replica.ID, Ballot: ballot,
			KnownBallot: known.newest.Ballot, Epoch: known.established.Epoch})
	}).run(ctx)
	if err == nil && votes.highest.Ballot.IsZero() && known.established.Epoch > 0 {
		err = errors.Mark(errors.Newf("replicas of epoch %d hold nothing", known.established.Epoch), errNoMajority)
	}
	return votes, err
}

// accept puts a proposal to the vote. Without error it is committed.
func (p *Proposer) accept(ctx context.Context, ballot Ballot, proposal Proposal) error {
	sets := electorate{proposal.Record.Voters}
	if proposal.setPending() {
		sets = append(sets, proposal.OutgoingVoters)
	}
	err := p.newRound(newAgreement(sets), callTimeout, func(ctx context.Context, replica state.Replica) (*Vote, error) {
		return p.transport.Accept(ctx, replica.Address, &AcceptRequest{ReplicaID: replica.ID, Ballot: ballot,
			Proposal: proposal, Epoch: proposal.CommittedVoters().Epoch})
	}).run(ctx)
	if err == nil {
		p.commit(AcceptedProposal{Ballot: ballot, Proposal: proposal})
	}
	return err
}
