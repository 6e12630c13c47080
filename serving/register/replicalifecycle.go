package register

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/errcode"
	"rowanlink/serving/event"
	"rowanlink/serving/state"
)

// Times of taking part.
const (
	joinAttemptTimeout  = time.Second            // bounds one try to read or join
	minJoinBackoff      = 50 * time.Millisecond  // before the second try; it grows by half with each
	maxJoinBackoff      = time.Second            // what it grows to
	loadRetryInterval   = 200 * time.Millisecond // between tries to read the store
	failuresBeforeLog   = 8                      // failed tries in a row after which a line is logged
	learnerPollInterval = 500 * time.Millisecond // between two looks of a learner for a vote that is free
)

// runReplica loads the replica's state and then sees to it that the replica knows what is in force and has its place, as
// a voter or a learner: after the start, and whenever a newer set of replicas has become known.
func (n *Node) runReplica(ctx context.Context) {
	if !n.loadReplica(ctx) {
		return
	}
	failures, wait, part := 0, minJoinBackoff, roleUnknown
	for ctx.Err() == nil && !n.transferring.Load() {
		if err := n.synchronize(ctx, failures > 0); err != nil {
			if failures++; failures == failuresBeforeLog {
				event.ReplicaWithoutMajority.Log(n.log).Err(err).Send()
			}
			part = roleUnknown
			ctxsleep.Sleep(ctx, wait)
			wait = min(wait*3/2, maxJoinBackoff)
			continue
		}
		failures, wait = 0, minJoinBackoff
		part = n.logRoleChange(part)
		n.awaitChange(ctx, part)
	}
}

// replicaRole is what a replica does in the register.
type replicaRole uint8

const (
	roleUnknown replicaRole = iota // not known yet
	roleLearner                    // keeps the committed record, and waits for a vote
	roleVoter
)

// logRoleChange logs what the replica does now where that has changed.
func (n *Node) logRoleChange(before replicaRole) replicaRole {
	now, kind := roleLearner, event.ReplicaIsLearner
	if n.IsVoter() {
		now, kind = roleVoter, event.ReplicaJoined
	}
	if now != before {
		own, _ := n.acceptor.State()
		kind.Log(n.log).Str("replica", own.ReplicaID).Uint64("epoch", n.Voters().Epoch).Send()
	}
	return now
}

// awaitChange returns when a voter has lost its vote, when a learner may have something to do, or when the node ends.
func (n *Node) awaitChange(ctx context.Context, as replicaRole) {
	if as == roleLearner {
		timer := time.NewTimer(learnerPollInterval)
		defer timer.Stop()
		select {
		case <-n.votersChanged:
		case <-timer.C:
		case <-ctx.Done():
		}
		return
	}
	for n.IsVoter() {
		select {
		case <-n.votersChanged:
		case <-ctx.Done():
			return
		}
	}
}

// loadReplica reads the store, with patience, and begins a new replica where there is none. It returns false when the node
// ends first.
func (n *Node) loadReplica(ctx context.Context) bool {
	complained := false
	for ctx.Err() == nil {
		own, found, err := n.loadState()
		if err == nil {
			err = n.acceptor.Install(ctx, own, !found)
		}
		if err == nil {
			n.replicaStarted(&own, found)
			return true
		}
		if !complained && ctx.Err() == nil {
			complained = true
			event.ReplicaStoreUnreadable.Log(n.log).Err(err).Send()
		}
		ctxsleep.Sleep(ctx, loadRetryInterval)
	}
	return false
}

// loadState returns the saved state, or the one that a replica begins with. Where a state was saved and is lost, that
// is never one of the first set: the lost one may have voted.
func (n *Node) loadState() (own AcceptorState, found bool, err error) {
	saved, found, err := n.storage.Load()
	switch {
	case errors.Is(err, ErrStateLost):
		return AcceptorState{ReplicaID: rand.Text()}, false, nil
	case err != nil:
		return AcceptorState{}, false, err
	case !found:
		return initialState(n.settings, rand.Text()), false, nil
	}
	return saved, true, nil
}

// replicaStarted takes in the state that the replica starts with.
func (n *Node) replicaStarted(own *AcceptorState, found bool) {
	n.proposer.observeOwnState(own)
	kind := event.ReplicaCreated
	if found {
		kind = event.ReplicaRestored
	}
	kind.Log(n.log).Str("replica", own.ReplicaID).Uint64("revision", own.Proposal.Record.Revision).Send()
}

// synchronize makes one try to learn what is in force, and to get a vote where one is to be had.
func (n *Node) synchronize(ctx context.Context, again bool) error {
	ctx, cancel := context.WithTimeout(ctx, joinAttemptTimeout)
	defer cancel()
	absent := n.isAbsent
	if again || len(n.Voters().Replicas) == 0 {
		absent = n.discover(ctx)
	}
	if n.IsVoter() {
		_, err := n.Read(ctx)
		return err
	}
	if len(n.Voters().Replicas) == 0 {
		return errcode.RegisterNotReady.With("no other process knows the replicas")
	}
	own, err := n.joiningReplica()
	if err != nil {
		return err
	}
	if err := n.catchUp(ctx); err != nil {
		return err
	}
	return n.claimVote(ctx, own, absent)
}

// catchUp keeps the newest committed record on disk. Once in each life a learner asks a majority for it, whatever it
// has on disk; later ones are told to it.
func (n *Node) catchUp(ctx context.Context) error {
	if !n.caughtUp.Load() {
		if _, err := n.Read(ctx); err != nil {
			return err
		}
	}
	latest, _ := n.Latest()
	if err := n.acceptor.Learn(ctx, &latest); err != nil {
		return err
	}
	n.caughtUp.Store(true)
	return nil
}

// claimVote makes the own replica a voter where it succeeds one that has lost its disk, or where a voter is absent and
// this learner is the one that fits best: of many learners that try at once, each would outvote the others. All else is
// left to the holder of the duty, see Repair.
func (n *Node) claimVote(ctx context.Context, own state.Replica, absent func(address string) bool) error {
	all := n.voterPlacement(n.potentialLearners())
	all.isDown = absent
	next, free := all.replaceUnavailable(n.Voters().Replicas)
	fits := func(voter state.Replica) bool { return voter.ID == own.ID }
	if !free || !slices.ContainsFunc(next, fits) {
		return nil
	}
	seats := n.voterPlacement([]state.Replica{own})
	seats.isDown = absent
	_, err := n.Change(ctx, placementUpdate(seats.replaceUnavailable))
	return err
}

// joiningReplica returns this process's replica as it may join. Where it was a member of an earlier set it gets a new
// ID and an empty state, as after the loss of its disk: calls that were meant for the one that was replaced must not
// reach the one that joins.
func (n *Node) joiningReplica() (state.Replica, error) {
	own, _ := n.acceptor.State()
	if own.removedFrom(n.Voters()) {
		event.ReplicaExpelled.Log(n.log).Str("replica", own.ReplicaID).Send()
		own = AcceptorState{ReplicaID: rand.Text()}
		if latest, known := n.Latest(); known {
			own.Learned = latest
		}
		// The install may wait for the disk for longer than this try; a second ID must not be drawn meanwhile.
		if err := n.acceptor.Install(n.proposer.lifetime, own, true); err != nil {
			return state.Replica{}, err
		}
	}
	return state.Replica{ID: own.ReplicaID, Address: n.settings.InnerAddress()}, nil
}

// removedFrom tells whether a replica was a member and, by an established set, is one no more. A replica that has
// accepted its own joining, but doesn't know whether that is committed, is not.
func (s *AcceptorState) removedFrom(established state.ReplicaSet) bool {
	accepted := s.Proposal.Record.Voters
	if len(accepted.Replicas) == 0 || established.Contains(s.ReplicaID) {
		return false
	}
	if accepted.Contains(s.ReplicaID) {
		return accepted.Epoch < established.Epoch
	}
	return accepted.Epoch <= established.Epoch // it has voted on its own leaving, or later
}
