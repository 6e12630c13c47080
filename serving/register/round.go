package register

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/state"
)

// Reasons why a round or an attempt fails. The change or read that it belongs to may make another attempt.
var (
	errPreempted       = errors.New("a higher ballot was promised")
	errNoQuorum        = errors.New("no majority answered")
	errCallerCancelled = errors.New("the caller's context has ended")
)

// tally counts the votes of a round: a prepareTally or an acceptTally.
type tally interface {
	config() jointConfig
	add(id string, vote *Vote)
	hasQuorum() bool
	cannotReachQuorum() bool
}

// requestFunc sends a round's request to one replica.
type requestFunc func(ctx context.Context, replica state.Replica) (*Vote, error)

// roundReply is the result of one call; the vote is nil if there was no answer.
type roundReply struct {
	id   string
	vote *Vote
}

// round sends a request to all replicas of a configuration in parallel, until the tally has a quorum or can't reach
// one. Votes may add replicas to the configuration; these get the request too. Calls in flight are not cancelled when
// the round ends, and the proposer still learns from their votes.
type round struct {
	proposer   *Proposer
	tally      tally
	timeout    time.Duration // of each call
	send       requestFunc
	replies    chan roundReply
	done       chan struct{}
	requested  map[string]bool // by replica ID
	replyCount int
	preempted  bool
}

func (p *Proposer) newRound(tally tally, timeout time.Duration, send requestFunc) *round {
	return &round{
		proposer:  p,
		tally:     tally,
		timeout:   timeout,
		send:      send,
		replies:   make(chan roundReply),
		done:      make(chan struct{}),
		requested: map[string]bool{},
	}
}

// run returns nil once the tally has a quorum.
func (r *round) run(ctx context.Context) error {
	defer close(r.done)
	return r.collect(ctx, r.tally.hasQuorum, nil)
}

// runUntil returns nil once the tally has a quorum. If agreed isn't true by then, it first waits until it is, but for
// the grace period at most.
func (r *round) runUntil(ctx context.Context, agreed func() bool, gracePeriod time.Duration) error {
	defer close(r.done)
	if err := r.collect(ctx, r.tally.hasQuorum, nil); err != nil || agreed() {
		return err
	}
	timer := time.NewTimer(gracePeriod)
	defer timer.Stop()
	_ = r.collect(ctx, agreed, timer.C) // the tally has a quorum, so the round has not failed
	return nil
}

// collect takes replies until finished is true, expired fires or the round fails.
func (r *round) collect(ctx context.Context, finished func() bool, expired <-chan time.Time) error {
	for {
		r.sendPending() //nolint:contextcheck // calls outlive the caller, see call
		switch {
		case finished():
			return nil
		case r.tally.cannotReachQuorum() || r.replyCount == len(r.requested):
			return r.failure()
		}
		select {
		case reply := <-r.replies:
			r.record(reply)
		case <-expired:
			return errNoQuorum
		case <-ctx.Done():
			return r.failure()
		}
	}
}

// record adds a reply to the tally.
func (r *round) record(reply roundReply) {
	r.replyCount++
	r.tally.add(reply.id, reply.vote)
	if reply.vote != nil && reply.vote.Result == Rejected {
		r.preempted = true
	}
}

// failure returns why the round has failed.
func (r *round) failure() error {
	if r.preempted {
		return errPreempted
	}
	return errNoQuorum
}

// sendPending sends the request to those replicas of the configuration that haven't got it yet.
func (r *round) sendPending() {
	for _, replica := range r.tally.config().replicas() {
		if !r.requested[replica.ID] {
			r.requested[replica.ID] = true
			go r.call(replica)
		}
	}
}

// call makes one call. It is bounded by the round's own timeout rather than by the caller's context: the record should
// also reach the replicas that answer after the majority.
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
