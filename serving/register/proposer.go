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

// Waits between tries.
const (
	minBackoff        = 10 * time.Millisecond
	initialMaxBackoff = 20 * time.Millisecond  // the longest wait after the first try; it doubles
	maxBackoff        = 100 * time.Millisecond // what it grows to; the length of the lost try is added by chance
)

// Proposer runs changes and reads of the register. It is safe for use by several goroutines.
type Proposer struct {
	id            string
	transport     Transport
	lifetime      context.Context // ends all calls
	learned       *actor.Actor[learnedState]
	notifier      *commitNotifier
	changeSlot    chan struct{} // held by the one change that runs
	sequence      uint64        // of the newest change; whoever has the turn touches it
	votersChanged func()        // called when a newer set has become known
}

// newProposer makes a proposer that knows no replicas. The ID must be new for each life of a process.
func newProposer(life context.Context, id string, transport Transport, announcer *commitNotifier, established func()) *Proposer {
	return &Proposer{
		id:            id,
		transport:     transport,
		lifetime:      life,
		learned:       actor.Start(&learnedState{}),
		notifier:      announcer,
		changeSlot:    make(chan struct{}, 1),
		votersChanged: established,
	}
}

// Change applies an update to the newest record and returns the record in force once a majority holds it on disk.
// Changes of one proposer run one after the other.
//
// Errors: what the update refuses with, once the record on which it refused is committed (the change isn't and never
// will be in force); errcode.RegisterUnavailable and errcode.RegisterNotReady (nothing was changed);
// errcode.RegisterInDoubt (the change may be in force). The context bounds the wait; after it has ended no further try
// is begun, so a caller who has given up may repeat the change elsewhere.
func (p *Proposer) Change(ctx context.Context, update Update) (state.Record, error) {
	select {
	case p.changeSlot <- struct{}{}:
		defer func() { <-p.changeSlot }()
	case <-ctx.Done():
		return state.Record{}, errcode.RegisterUnavailable.With("earlier changes took too long")
	}
	change := p.newChange(update)
	record, err := p.runToDecision(ctx, change)
	if err == nil && change.changesVoters {
		p.finishReconfiguration(ctx)
	}
	return record, err
}

// runToDecision tries until the change is decided or the context ends.
func (p *Proposer) runToDecision(ctx context.Context, change *change) (state.Record, error) {
	last := errNoQuorum
	for ; ctx.Err() == nil && p.lifetime.Err() == nil; change.attempts++ {
		begun := time.Now()
		record, outcome, err := p.runAttempt(ctx, change)
		switch outcome {
		case attemptDecided:
			return record, err
		case attemptFailed:
			last = err
			ctxsleep.Sleep(ctx, retryBackoff(change.attempts, time.Since(begun)))
		case attemptFinishedOther:
		}
	}
	return state.Record{}, change.abandonmentError(last)
}

// finishReconfiguration writes the record once more after a change of the set of replicas, so that nobody needs the former set any
// more. It is done as far as the context allows; the next change or read does it otherwise.
func (p *Proposer) finishReconfiguration(ctx context.Context) {
	_, _ = p.runToDecision(ctx, p.newChange(confirmOnly))
}

// newChange gives a change its ID; the caller has the turn.
func (p *Proposer) newChange(update Update) *change {
	p.sequence++
	return &change{id: ChangeID{Proposer: p.id, Sequence: p.sequence}, update: update}
}

// handleCommitted takes in a candidate that is known to be committed. A change of the voters is told only once nobody needs the
// former set any more: whoever sees the new one may end those that were replaced.
func (p *Proposer) handleCommitted(candidate AcceptedProposal) {
	news, _ := actor.Call(p.learned, func(k *learnedState) bool { return k.observeCommitted(candidate) })
	if news {
		p.votersChanged()
	}
	if !candidate.Proposal.isJoint() {
		p.notifier.notify(candidate.Proposal.Record)
	}
}

// observeVote takes in what a replica has told.
func (p *Proposer) observeVote(vote *Vote) {
	news, _ := actor.Call(p.learned, func(k *learnedState) bool { return k.observeVote(vote) })
	if news {
		p.votersChanged()
	}
}

// observeVoters takes in a set of replicas that is known to be committed.
func (p *Proposer) observeVoters(set state.ReplicaSet) {
	news, _ := actor.Call(p.learned, func(k *learnedState) bool { return k.observeVoters(set) })
	if news {
		p.votersChanged()
	}
}

// observeOwnState takes in the state of this process's replica.
func (p *Proposer) observeOwnState(state *AcceptorState) {
	p.observeVote(&Vote{Promised: state.Promised, Accepted: state.Accepted, Proposal: &state.Proposal})
}

// learnedCopy returns a copy of what is known; false where that is no set of replicas.
func (p *Proposer) learnedCopy() (learnedState, bool) {
	known, ok := actor.Call(p.learned, func(k *learnedState) learnedState { return *k })
	return known, ok && len(known.committedVoters.Replicas) > 0
}

// voters returns the newest set that is known to be committed; empty where none is.
func (p *Proposer) voters() state.ReplicaSet {
	known, _ := p.learnedCopy()
	return known.committedVoters
}

func (p *Proposer) close() { p.learned.Stop() }

// retryBackoff draws how long to wait before the next try. The bound grows with each try, and with the time that the
// last one took, so that two proposers that are far away from a majority don't keep on outvoting each other.
func retryBackoff(attempt int, took time.Duration) time.Duration {
	most := min(initialMaxBackoff<<min(attempt, 8), maxBackoff)
	wait := minBackoff + rand.N(most-minBackoff)
	if took > 0 {
		wait += rand.N(took)
	}
	return wait
}

func errNotReady() error { return errcode.RegisterNotReady.With("") }
