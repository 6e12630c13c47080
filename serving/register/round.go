package register

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/state"
)

// Reasons for which a round fails. The change or read that it belongs to may try again.
var (
	errOutvoted   = errors.New("a higher ballot was promised")
	errNoMajority = errors.New("no majority answered")
	errGivenUp    = errors.New("the caller has given up")
)

// votes is what a round gathers: a tally or an agreement.
type votes interface {
	electorate() electorate
	add(id string, vote *Vote)
	complete() bool
	hopeless() bool
}

// sending sends one round's request to one replica.
type sending func(ctx context.Context, replica state.Replica) (*Vote, error)

// reply is what came of one call; a nil vote stands for none.
type reply struct {
	id   string
	vote *Vote
}

// round sends a request to all replicas of the electorate at once, also to those that only the votes bring into it,
// until the votes are complete or can't be. Calls that are still under way then go on, and what they bring is learned.
type round struct {
	proposer *Proposer
	votes    votes
	timeout  time.Duration // of each call
	send     sending
	replies  chan reply
	over     chan struct{}
	asked    map[string]bool
	answered int
	outvoted bool
}

func (p *Proposer) newRound(votes votes, timeout time.Duration, send sending) *round {
	return &round{proposer: p, votes: votes, timeout: timeout, send: send, replies: make(chan reply), over: make(chan struct{}),
		asked: map[string]bool{}}
}

// run returns nil once the votes are complete.
func (r *round) run(ctx context.Context) error {
	defer close(r.over)
	return r.gather(ctx, r.votes.complete, nil)
}

// runUntil waits on for agreed where the votes are complete, but no longer than linger. It returns nil once the votes
// are complete, whether agreed or not.
func (r *round) runUntil(ctx context.Context, agreed func() bool, linger time.Duration) error {
	defer close(r.over)
	if err := r.gather(ctx, r.votes.complete, nil); err != nil || agreed() {
		return err
	}
	timer := time.NewTimer(linger)
	defer timer.Stop()
	_ = r.gather(ctx, agreed, timer.C) // the votes are complete, so the round has not failed
	return nil
}

// gather takes replies until done, or the round can't go on.
func (r *round) gather(ctx context.Context, done func() bool, enough <-chan time.Time) error {
	for {
		r.askMissing()
		switch {
		case done():
			return nil
		case r.votes.hopeless() || r.answered == len(r.asked):
			return r.failure()
		}
		select {
		case reply := <-r.replies:
			r.take(reply)
		case <-enough:
			return errNoMajority
		case <-ctx.Done():
			return r.failure()
		}
	}
}

func (r *round) take(reply reply) {
	r.answered++
	r.votes.add(reply.id, reply.vote)
	if reply.vote != nil && reply.vote.Result == Rejected {
		r.outvoted = true
	}
}

func (r *round) failure() error {
	if r.outvoted {
		return errOutvoted
	}
	return errNoMajority
}

// askMissing sends the request to those replicas of the electorate that have not got it.
func (r *round) askMissing() {
	for _, replica := range r.votes.electorate().replicas() {
		if !r.asked[replica.ID] {
			r.asked[replica.ID] = true
			go r.ask(replica)
		}
	}
}

// ask makes one call. It lasts as long as its own bound, not the caller's: a record should reach also those replicas
// that the majority didn't wait for.
func (r *round) ask(replica state.Replica) {
	ctx, cancel := context.WithTimeout(r.proposer.life, r.timeout)
	defer cancel()
	vote, err := r.send(ctx, replica)
	if err != nil {
		vote = nil
	} else {
		r.proposer.learnVote(vote)
	}
	select {
	case r.replies <- reply{id: replica.ID, vote: vote}:
	case <-r.over:
	}
}
