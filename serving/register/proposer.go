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
	maxBackoff        = 100 * time.Millisecond // upper limit of the bound; up to the failed attempt's duration is added
	maxBackoffShift   = 8                      // keeps the doubled bound from overflowing
)

// Proposer makes changes and reads of the register (CASPaxos §2.2). It is safe for concurrent use.
type Proposer struct {
	id            string
	transport     Transport
	lifetime      context.Context // its end cancels all calls
	learned       *actor.Actor[learnedState]
	notifier      *commitNotifier
	changeSlot    chan struct{} // holds a token while a change runs
	sequence      uint64        // number of the newest change; guarded by changeSlot
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
// If the update rejects the change, its error is returned once the record that it was applied to is committed: the
// change then never takes effect. errcode.RegisterUnavailable and errcode.RegisterNotReady mean that nothing was
// changed, errcode.RegisterInDoubt that the change may take effect. No attempt is begun after the context has ended, so
// a caller that has given up may repeat the change through another process.
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
		case attemptFinishedReconfiguration:
		}
	}
	return failedAttempt(change.abandonmentError(last))
}

// finishReconfiguration has the record accepted once more after a change of the voters, without the outgoing voters, so
// that their majority is no longer needed. Errors are ignored: the next change or read then does the same.
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

// handleCommitted records a proposal that is known to be committed, and publishes its record. A joint proposal isn't
// published yet: a process that learns of the new voters may shut down the outgoing ones, whose majority is still
// needed.
func (p *Proposer) handleCommitted(committed AcceptedProposal) {
	p.updateLearned(func(l *learnedState) bool { return l.observeCommitted(committed) })
	if !committed.Proposal.isJoint() {
		p.notifier.notify(committed.Proposal.Record)
	}
}

// observeVote updates the learned state from a replica's vote.
func (p *Proposer) observeVote(vote *Vote) {
	p.updateLearned(func(l *learnedState) bool { return l.observeVote(vote) })
}

// observeVoters updates the learned state with a committed set of voters.
func (p *Proposer) observeVoters(set state.ReplicaSet) {
	p.updateLearned(func(l *learnedState) bool { return l.observeVoters(set) })
}

// observeOwnState updates the learned state from this process's own replica.
func (p *Proposer) observeOwnState(state *AcceptorState) {
	p.observeVote(&Vote{Promised: state.Promised, Accepted: state.Accepted, Proposal: &state.Proposal})
}

// updateLearned applies an observation, and calls votersChanged if newer committed voters have become known by it.
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

// retryBackoff returns a random backoff after a failed attempt, numbered from 0. Its bound grows with each attempt and
// with the duration of the last one, so that two proposers with slow links to a majority don't preempt each other
// forever.
func retryBackoff(attempt int, duration time.Duration) time.Duration {
	bound := min(initialMaxBackoff<<min(attempt, maxBackoffShift), maxBackoff)
	backoff := minBackoff + rand.N(bound-minBackoff)
	if duration > 0 {
		backoff += rand.N(duration)
	}
	return backoff
}

func errNotReady() error { return errcode.RegisterNotReady.With("") }
