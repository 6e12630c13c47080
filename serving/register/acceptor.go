package register

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rowanlink/serving/actor"
	"rowanlink/serving/event"
	"rowanlink/serving/state"
)

// maxQueuedRequests is how many requests may wait for the disk. Proposers give up and ask again, so what comes on top
// has nobody who still waits for it soon.
const maxQueuedRequests = 64

// Errors of an acceptor that can't vote now. Whoever asked can't tell them from silence.
var (
	errNotLoaded = errors.New("replica has not read its store yet")
	errQueueFull = errors.New("too many requests wait for the replica's disk")
)

// Acceptor is a replica: it votes on proposals and saves each vote before giving it. Requests that change its state
// go one after the other through the disk; what it has saved is read without waiting for the disk.
type Acceptor struct {
	storageActor *actor.Actor[durableStorage]
	durable      atomic.Pointer[AcceptorState] // what is certainly on disk; nil before Install
	queued       atomic.Int32
}

// durableStorage is what only the goroutine that saves touches.
type durableStorage struct {
	storage Storage
	log     *zerolog.Logger
	failing bool // the last save failed
}

// NewAcceptor makes an acceptor that votes nothing before Install.
func NewAcceptor(storage Storage, log *zerolog.Logger) *Acceptor {
	return &Acceptor{storageActor: actor.Start(&durableStorage{storage: storage, log: log})}
}

// Install gives the acceptor its state: as loaded, or a fresh one, which is saved first. It also replaces the state
// of a replica that has ended and goes on under a new ID. It waits for the disk.
func (a *Acceptor) Install(ctx context.Context, state AcceptorState, save bool) error {
	_, err := a.enqueue(ctx, func(AcceptorState) transition { return transition{next: state, save: save} })
	if err == nil && !save {
		a.durable.Store(&state)
	}
	return err
}

// State returns what is on disk; false before Install.
func (a *Acceptor) State() (AcceptorState, bool) {
	saved := a.durable.Load()
	if saved == nil {
		return AcceptorState{}, false
	}
	return *saved, true
}

// Close stops the acceptor. What waits gets no vote.
func (a *Acceptor) Close() { a.storageActor.Stop() }

// Prepare votes on a PrepareRequest.
func (a *Acceptor) Prepare(ctx context.Context, request *PrepareRequest) (*Vote, error) {
	return a.vote(ctx, func(state AcceptorState) transition { return state.prepare(request) })
}

// Accept votes on an AcceptRequest.
func (a *Acceptor) Accept(ctx context.Context, request *AcceptRequest) (*Vote, error) {
	return a.vote(ctx, func(state AcceptorState) transition { return state.accept(request) })
}

// Learn keeps a committed record on disk, for a replica that doesn't vote.
func (a *Acceptor) Learn(ctx context.Context, record *state.Record) error {
	if a.durable.Load() == nil {
		return errNotLoaded
	}
	_, err := a.enqueue(ctx, func(held AcceptorState) transition { return held.learn(record) })
	return err
}

// Query answers from what is saved, whatever the disk is doing.
func (a *Acceptor) Query(_ context.Context, request *QueryRequest) (*Vote, error) {
	state, ok := a.State()
	if !ok {
		return nil, errNotLoaded
	}
	vote := state.query(request)
	return &vote, nil
}

func (a *Acceptor) vote(ctx context.Context, decision func(AcceptorState) transition) (*Vote, error) {
	if a.durable.Load() == nil {
		return nil, errNotLoaded
	}
	return a.enqueue(ctx, decision)
}

// enqueue runs a decision and saves what follows from it. The decision is dropped if the context ends while it waits
// its turn; once its save has begun it takes effect even if nobody waits any more.
func (a *Acceptor) enqueue(ctx context.Context, decision func(AcceptorState) transition) (*Vote, error) {
	type answer struct {
		vote *Vote
		err  error
	}
	if a.queued.Add(1) > maxQueuedRequests {
		a.queued.Add(-1)
		return nil, errQueueFull
	}
	answers := make(chan answer, 1)
	a.storageActor.Send(func(disk *durableStorage) {
		defer a.queued.Add(-1)
		if err := ctx.Err(); err != nil {
			answers <- answer{err: err}
			return
		}
		vote, err := a.apply(disk, decision)
		answers <- answer{vote, err}
	})
	select {
	case given := <-answers:
		return given.vote, given.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// apply runs on the goroutine that owns the disk. What is in memory never runs ahead of what was saved.
func (a *Acceptor) apply(disk *durableStorage, decision func(AcceptorState) transition) (*Vote, error) {
	current, _ := a.State()
	decided := decision(current)
	if !decided.save {
		return &decided.vote, nil
	}
	if err := disk.save(decided.next); err != nil {
		return nil, err
	}
	a.durable.Store(&decided.next)
	return &decided.vote, nil
}

// save logs when the disk begins to refuse and when it takes saves again.
func (d *durableStorage) save(next AcceptorState) error {
	err := d.storage.Save(next)
	switch {
	case err != nil && !d.failing:
		d.failing = true
		event.ReplicaStoreFailed.Log(d.log).Err(err).Send()
	case err == nil && d.failing:
		d.failing = false
		event.ReplicaStoreRecovered.Log(d.log).Send()
	}
	return errors.Wrap(err, "save replica state")
}
