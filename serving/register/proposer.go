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
	shortestWait = 10 * time.Millisecond
	firstWait    = 20 * time.Millisecond  // the longest wait after the first try; it doubles
	longestWait  = 100 * time.Millisecond // what it grows to; the length of the lost try is added by chance
)

// Proposer runs changes and reads of the register. It is safe for use by several goroutines.
type Proposer struct {
	id          string
	transport   Transport
	life        context.Context // ends all calls
	knowledge   *actor.Actor[knowledge]
	announcer   *announcer
	turn        chan struct{} // held by the one change that runs
	sequence    uint64        // of the newest change; whoever has the turn touches it
	established func()        // called when a newer set has become known
}

// newProposer makes a proposer that knows no replicas. The ID must be new for each life of a process.
func newProposer(life context.Context, id string, transport Transport, announcer *announcer, established func()) *Proposer {
	return &Proposer{
		id:          id,
		transport:   transport,
		life:        life,
		knowledge:   actor.Start(&knowledge{}),
		announcer:   announcer,
		turn:        make(chan struct{}, 1),
		established: established,
	}
}

// Change applies an update to the newest record and returns the record in force once a majority holds it on disk.
// Changes of one proposer run one after the other.
//
// Errors: what the update refuses with, once the record on which it refused is committed (the change isn't and never
// will be in force); result.RegisterUnavailable and result.RegisterNotReady (nothing was changed);
// result.RegisterUnclear (the change may be in force). The context bounds the wait; after it has ended no further try
// is begun, so a caller who has given up may repeat the change elsewhere.
func (p *Proposer) Change(ctx context.Context, update Update) (state.Record, error) {
	select {
	case p.turn <- struct{}{}:
		defer func() { <-p.turn }()
	case <-ctx.Done():
		return state.Record{}, errcode.RegisterUnavailable.With("earlier changes took too long")
	}
	change := p.newChange(update)
	record, err := p.carryOut(ctx, change)
	if err == nil && change.setChanged {
		p.settle(ctx)
	}
	return record, err
}

// carryOut tries until the change is decided or the context ends.
func (p *Proposer) carryOut(ctx context.Context, change *change) (state.Record, error) {
	last := errNoMajority
	for ; ctx.Err() == nil && p.life.Err() == nil; change.tries++ {
		begun := time.Now()
		record, outcome, err := p.try(ctx, change)
		switch outcome {
		case decided:
			return record, err
		case failed:
			last = err
			ctxsleep.Sleep(ctx, retryWait(change.tries, time.Since(begun)))
		case advanced:
		}
	}
	return state.Record{}, change.abandoned(last)
}

// settle writes the record once more after a change of the set of replicas, so that nobody needs the former set any
// more. It is done as far as the context allows; the next change or read does it otherwise.
func (p *Proposer) settle(ctx context.Context) {
	_, _ = p.carryOut(ctx, p.newChange(unchanged))
}

// newChange gives a change its ID; the caller has the turn.
func (p *Proposer) newChange(update Update) *change {
	p.sequence++
	return &change{id: ChangeID{Proposer: p.id, Sequence: p.sequence}, update: update}
}

// commit takes in a candidate that is known to be committed. A change of the voters is told only once nobody needs the
// former set any more: whoever sees the new one may end those that were replaced.
func (p *Proposer) commit(candidate AcceptedProposal) {
	news, _ := actor.Call(p.knowledge, func(k *knowledge) bool { return k.committed(candidate) })
	if news {
		p.established()
	}
	if !candidate.Proposal.setPending() {
		p.announcer.announce(candidate.Proposal.Record)
	}
}

// learnVote takes in what a replica has told.
func (p *Proposer) learnVote(vote *Vote) {
	news, _ := actor.Call(p.knowledge, func(k *knowledge) bool { return k.voted(vote) })
	if news {
		p.established()
	}
}

// learnSet takes in a set of replicas that is known to be committed.
func (p *Proposer) learnSet(set state.ReplicaSet) {
	news, _ := actor.Call(p.knowledge, func(k *knowledge) bool { return k.establish(set) })
	if news {
		p.established()
	}
}

// learnState takes in the state of this process's replica.
func (p *Proposer) learnState(state *AcceptorState) {
	p.learnVote(&Vote{Promised: state.Promised, Accepted: state.Accepted, Proposal: &state.Proposal})
}

// known returns a copy of what is known; false where that is no set of replicas.
func (p *Proposer) known() (knowledge, bool) {
	known, ok := actor.Call(p.knowledge, func(k *knowledge) knowledge { return *k })
	return known, ok && len(known.established.Replicas) > 0
}

// replicas returns the newest set that is known to be committed; empty where none is.
func (p *Proposer) replicas() state.ReplicaSet {
	known, _ := p.known()
	return known.established
}

func (p *Proposer) close() { p.knowledge.Stop() }

// retryWait draws how long to wait before the next try. The bound grows with each try, and with the time that the
// last one took, so that two proposers that are far away from a majority don't keep on outvoting each other.
func retryWait(attempt int, took time.Duration) time.Duration {
	most := min(firstWait<<min(attempt, 8), longestWait)
	wait := shortestWait + rand.N(most-shortestWait)
	if took > 0 {
		wait += rand.N(took)
	}
	return wait
}

func errNotReady() error { return errcode.RegisterNotReady.With("") }
