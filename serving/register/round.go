package register

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/state"
)

// Reasons for which a round fails. The change or read that it belongs to may try again.
var (
	errPreempted  = errors.New("a higher ballot was promised")
	errNoQuorum   = errors.New("no majority answered")
	errCallerGone = errors.New("the caller has given up")
)

// tally is what a round gathers: a tally or an agreement.
type tally interface {
	config() jointConfig
	add(id string, vote *Vote)
	hasQuorum() bool
	cannotReachQuorum() bool
}

// requestFunc sends one round's request to one replica.
type requestFunc func(ctx context.Context, replica state.Replica) (*Vote, error)

// roundReply is what came of one call; a nil vote stands for none.
type roundReply struct {
	id   string
	vote *Vote
}

// round sends a request to all replicas of the electorate at once, also to those that only the votes bring into it,
// until the votes are complete or can't be. Calls that are still under way then go on, and what they bring is learned.
type round struct {
	proposer   *Proposer
	tally      tally
	timeout    time.Duration // of each call
	send       requestFunc
	replies    chan roundReply
	done       chan struct{}
	requested  map[string]bool
	replyCount int
	preempted  bool
}

func (p *Proposer) newRound(votes tally, timeout time.Duration, send requestFunc) *round {
	return &round{proposer: p, tally: votes, timeout: timeout, send: send, replies: make(chan roundReply), done: make(chan struct{}),
		requested: map[string]bool{}}
}

// run returns nil once the votes are complete.
func (r *round) run(ctx context.Context) error {
	defer close(r.done)
	return r.collect(ctx, r.tally.hasQuorum, nil)
}

// runUntil waits on for agreed where the votes are complete, but no longer than linger. It returns nil once the votes
// are complete, whether agreed or not.
func (r *round) runUntil(ctx context.Context, agreed func() bool, linger time.Duration) error {
	defer close(r.done)
	if err := r.collect(ctx, r.tally.hasQuorum, nil); err != nil || agreed() {
		return err
	}
	timer := time.NewTimer(linger)
	defer timer.Stop()
	_ = r.collect(ctx, agreed, timer.C) // the votes are complete, so the round has not failed
	return nil
}

// collect takes replies until done, or the round can't go on.
func (r *round) collect(ctx context.Context, done func() bool, enough <-chan time.Time) error {
	for {
		r.sendPending()
		switch {
		case done():
			return nil
		case r.tally.cannotReachQuorum() || r.replyCount == len(r.requested):
			return r.failure()
		}
		select {
		case reply := <-r.replies:
			r.record(reply)
		case <-enough:
			return errNoQuorum
		case <-ctx.Done():
			return r.failure()
		}
	}
}

func (r *round) record(reply roundReply) {
	r.replyCount++
	r.tally.add(reply.id, reply.vote)
	if reply.vote != nil && reply.vote.Result == Rejected {
		r.preempted = true
	}
}

func (r *round) failure() error {
	if r.preempted {
		return errPreempted
	}
	return errNoQuorum
}

// sendPending sends the request to those replicas of the electorate that have not got it.
func (r *round) sendPending() {
	for _, replica := range r.tally.config().replicas() {
		if !r.requested[replica.ID] {
			r.requested[replica.ID] = true
			go r.call(replica)
		}
	}
}

// call makes one call. It lasts as long as its own bound, not the caller's: a record should reach also those replicas
// that the majority didn't wait for.
func (r *round) call(replica state.Replica) {
	ctx, cancel := context.WithTimeout(r.proposer.lifetime, r.timeout)
	defer cancel()
	vote, err := r.send(ctx, replica)
	if err != nil {
		vote = nil
	} else {
		r.proposer.observeVote(vote)
	}
	select {
	case r.replies <- roundReply{id: replica.ID, vote: vote}:
	case <-r.done:
	}
}
