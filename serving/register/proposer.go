package register

import (
	"context"
	"math/rand/v2"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/actor"
	"rowanlink/serving/errcode"
	"rowanlink/serving/state"
)

// The backoff between attempts is random between minBackoff and a bound, which doubles with each attempt.
const (
	minBackoff        = 10 * time.Millisecond
	initialMaxBackoff = 20 * time.Millisecond
	maxBackoff        = 100 * time.Millisecond // highest bound; the duration of the failed attempt comes on top
	maxBackoffShift   = 8                      // keeps the doubled bound from overflowing
)

// Proposer makes changes and reads of the register (CASPaxos §2.2). It is safe for concurrent use.
type Proposer struct {
	id            string
	transport     Transport
	lifetime      context.Context // ends all calls
	learned       *actor.Actor[learnedState]
	notifier      *commitNotifier
	changeSlot    chan struct{} // holds a token while a change runs
	sequence      uint64        // of the newest change; guarded by changeSlot
	votersChanged func()        // called when newer committed voters have become known
}

// newProposer returns a proposer that knows no voters. The ID has to be new for each start of a process, because it
// makes ballots and change IDs unique.
func newProposer(
	lifetime context.Context, id string, transport Transport, notifier *commitNotifier, votersChanged func(),
) *Proposer {
	return &Proposer{
		id:            id,
		transport:     transport,
		lifetime:      lifetime,
		learned:       actor.Start(&learnedState{}),
		notifier:      notifier,
		changeSlot:    make(chan struct{}, 1),
		votersChanged: votersChanged,
	}
}

// Change applies an update to the newest record and returns the committed record once a majority has it on disk.
// Changes of one proposer run one after the other.
//
// It returns the update's own error once the record that the update rejected is committed: the change then never takes
// effect. errcode.RegisterUnavailable and errcode.RegisterNotReady mean that nothing was changed,
// errcode.RegisterInDoubt that the change may take effect. No attempt is begun after the context has ended, so a caller
// that has given up may repeat the change through another process.
func (p *Proposer) Change(ctx context.Context, update Update) (state.Record, error) {
	select {
	case p.changeSlot <- struct{}{}:
		defer func() { <-p.changeSlot }()
	case <-ctx.Done():
		return state.Record{}, errcode.RegisterUnavailable.With("earlier changes took too long")
	}
	change := p.newChange(update)
	result := p.runToDecision(ctx, change)
	if result.err == nil && result.isJoint {
		p.finishReconfiguration(ctx)
	}
	return result.record, result.err
}

// runToDecision makes attempts until the change is decided or the context ends, and returns the last one's result.
func (p *Proposer) runToDecision(ctx context.Context, change *change) attemptResult {
	last := errNoQuorum
	for ; ctx.Err() == nil && p.lifetime.Err() == nil; change.attempts++ {
		begun := time.Now()
		result := p.runAttempt(ctx, change)
		switch result.outcome {
		case attemptDecided:
			return result
		case attemptFailed:
			last = result.err
			ctxsleep.Sleep(ctx, retryBackoff(change.attempts, time.Since(begun)))
		case attemptFinishedOther:
		}
	}
	return failedAttempt(change.abandonmentError(last))
}

// finishReconfiguration writes the record once more after a change of the voters, without the outgoing voters, so that
// their majority is no longer needed. Errors are ignored: the next change or read does it otherwise.
func (p *Proposer) finishReconfiguration(ctx context.Context) {
	_ = p.runToDecision(ctx, p.newChange(confirmOnly))
}

// newChange assigns the next change ID. The caller holds the change slot.
func (p *Proposer) newChange(update Update) *change {
	p.sequence++
	return &change{
		id:     ChangeID{Proposer: p.id, Sequence: p.sequence},
		update: update,
	}
}

// handleCommitted takes a proposal that is known to be committed. A joint one isn't published yet: whoever learns of
// the new voters may stop the outgoing ones, whose majority is still needed.
func (p *Proposer) handleCommitted(committed AcceptedProposal) {
	p.updateLearned(func(l *learnedState) bool { return l.observeCommitted(committed) })
	if !committed.Proposal.isJoint() {
		p.notifier.notify(committed.Proposal.Record)
	}
}

// observeVote learns from a replica's vote.
func (p *Proposer) observeVote(vote *Vote) {
	p.updateLearned(func(l *learnedState) bool { return l.observeVote(vote) })
}

// observeVoters learns of a committed set of voters.
func (p *Proposer) observeVoters(set state.ReplicaSet) {
	p.updateLearned(func(l *learnedState) bool { return l.observeVoters(set) })
}

// observeOwnState learns from the state of this process's own replica.
func (p *Proposer) observeOwnState(state *AcceptorState) {
	p.observeVote(&Vote{Promised: state.Promised, Accepted: state.Accepted, Proposal: &state.Proposal})
}

// updateLearned applies an observation, and calls votersChanged if that showed newer committed voters.
func (p *Proposer) updateLearned(observe func(*learnedState) (changed bool)) {
	changed, _ := actor.Call(p.learned, observe)
	if changed {
		p.votersChanged()
	}
}

// learnedCopy returns a copy of the learned state, and false if no voters are known.
func (p *Proposer) learnedCopy() (learnedState, bool) {
	learned, ok := actor.Call(p.learned, func(l *learnedState) learnedState { return *l })
	return learned, ok && len(learned.committedVoters.Replicas) > 0
}

// voters returns the newest set of voters known to be committed, empty if there is none.
func (p *Proposer) voters() state.ReplicaSet {
	learned, _ := p.learnedCopy()
	return learned.committedVoters
}

func (p *Proposer) close() { p.learned.Stop() }

// retryBackoff returns a random backoff before the next attempt, counted from 0. Its bound grows with each attempt and
// with the duration of the last one, so that two proposers far from a majority don't preempt each other forever.
func retryBackoff(attempt int, duration time.Duration) time.Duration {
	bound := min(initialMaxBackoff<<min(attempt, maxBackoffShift), maxBackoff)
	backoff := minBackoff + rand.N(bound-minBackoff)
	if duration > 0 {
		backoff += rand.N(duration)
	}
	return backoff
}

func errNotReady() error { return errcode.RegisterNotReady.With("") }
