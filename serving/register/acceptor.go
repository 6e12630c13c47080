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

// maxQueuedRequests bounds the requests that wait for the disk. Proposers time out and retry, so the sender of a
// request further back in the queue would have given up before the request was processed.
const maxQueuedRequests = 64

// Errors of an acceptor that can't vote at present. A proposer treats them like a missing answer.
var (
	errNotLoaded = errors.New("the replica's state is not loaded yet")
	errQueueFull = errors.New("too many requests are queued for the replica's disk")
)

// Acceptor is the voting part of a replica (CASPaxos §2.2). It makes each state transition durable before it answers.
// Requests that change the state are serialized through the disk; queries read the durable state without waiting for
// the disk. An Acceptor is safe for concurrent use.
type Acceptor struct {
	storageActor *actor.Actor[durableStorage]
	durable      atomic.Pointer[AcceptorState] // the state on disk; nil before Install
	queued       atomic.Int32
}

// durableStorage is owned by the goroutine that writes to disk.
type durableStorage struct {
	storage Storage
	log     *zerolog.Logger
	failing bool // the last save failed
}

// NewAcceptor returns an acceptor that answers no request before Install.
func NewAcceptor(storage Storage, log *zerolog.Logger) *Acceptor {
	return &Acceptor{storageActor: actor.Start(&durableStorage{storage: storage, log: log})}
}

// Install sets the acceptor's state and waits for the storage goroutine. A state that was just loaded is installed
// without save; a new one is saved first. Install is also used to restart a removed replica under a new ID.
func (a *Acceptor) Install(ctx context.Context, state AcceptorState, save bool) error {
	_, err := a.enqueue(ctx, func(AcceptorState) transition {
		return transition{next: state, save: save}
	})
	if err == nil && !save {
		a.durable.Store(&state)
	}
	return err
}

// State returns the durable state, and false before Install.
func (a *Acceptor) State() (AcceptorState, bool) {
	durable := a.durable.Load()
	if durable == nil {
		return AcceptorState{}, false
	}
	return *durable, true
}

// Close stops the acceptor. Queued requests are dropped.
func (a *Acceptor) Close() { a.storageActor.Stop() }

// Prepare answers a PrepareRequest.
func (a *Acceptor) Prepare(ctx context.Context, request *PrepareRequest) (*Vote, error) {
	return a.vote(ctx, func(state AcceptorState) transition { return state.prepare(request) })
}

// Accept answers an AcceptRequest.
func (a *Acceptor) Accept(ctx context.Context, request *AcceptRequest) (*Vote, error) {
	return a.vote(ctx, func(state AcceptorState) transition { return state.accept(request) })
}

// Learn stores a committed record if it is newer than any on disk. Learners use it to keep a durable copy without
// voting.
func (a *Acceptor) Learn(ctx context.Context, record *state.Record) error {
	if a.durable.Load() == nil {
		return errNotLoaded
	}
	_, err := a.enqueue(ctx, func(current AcceptorState) transition { return current.learn(record) })
	return err
}

// Query answers from the durable state without waiting for the disk.
func (a *Acceptor) Query(_ context.Context, request *QueryRequest) (*Vote, error) {
	state, ok := a.State()
	if !ok {
		return nil, errNotLoaded
	}
	vote := state.query(request)
	return &vote, nil
}

// vote applies the transition of a Prepare or Accept request and returns the vote.
func (a *Acceptor) vote(ctx context.Context, step func(AcceptorState) transition) (*Vote, error) {
	if a.durable.Load() == nil {
		return nil, errNotLoaded
	}
	return a.enqueue(ctx, step)
}

// enqueue computes a transition on the storage goroutine and makes it durable. A request whose context ends while it is
// queued is dropped; once its save has begun it takes effect even if the caller no longer waits.
func (a *Acceptor) enqueue(ctx context.Context, step func(AcceptorState) transition) (*Vote, error) {
	type response struct {
		vote *Vote
		err  error
	}
	if a.queued.Add(1) > maxQueuedRequests {
		a.queued.Add(-1)
		return nil, errQueueFull
	}
	responses := make(chan response, 1)
	a.storageActor.Send(func(storage *durableStorage) {
		defer a.queued.Add(-1)
		if err := ctx.Err(); err != nil {
			responses <- response{err: err}
			return
		}
		vote, err := a.apply(storage, step)
		responses <- response{vote: vote, err: err}
	})
	select {
	case received := <-responses:
		return received.vote, received.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// apply runs on the storage goroutine. Invariant: a.durable never holds a state that isn't on disk.
func (a *Acceptor) apply(storage *durableStorage, step func(AcceptorState) transition) (*Vote, error) {
	current, _ := a.State()
	result := step(current)
	if !result.save {
		return &result.vote, nil
	}
	if err := storage.save(result.next); err != nil {
		return nil, err
	}
	a.durable.Store(&result.next)
	return &result.vote, nil
}

// save writes the state, and logs when saves begin to fail and when they succeed again.
func (s *durableStorage) save(next AcceptorState) error {
	err := s.storage.Save(next)
	switch {
	case err != nil && !s.failing:
		s.failing = true
		event.ReplicaStoreFailed.Log(s.log).Err(err).Send()
	case err == nil && s.failing:
		s.failing = false
		event.ReplicaStoreRecovered.Log(s.log).Send()
	}
	return errors.Wrap(err, "save replica state")
}
