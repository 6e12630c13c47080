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

const (
	joinAttemptTimeout  = time.Second            // bounds one attempt to read the record or to join
	minJoinBackoff      = 50 * time.Millisecond  // after the first failure; grows by half with each further one
	maxJoinBackoff      = time.Second            // upper limit of the backoff
	loadRetryInterval   = 200 * time.Millisecond // between attempts to read the store
	failuresBeforeLog   = 8                      // consecutive failed attempts until one is logged
	learnerPollInterval = 500 * time.Millisecond // between a learner's checks for a vote that it could claim
)

// replicaRole is the role of a replica in the register.
type replicaRole uint8

const (
	roleUnknown replicaRole = iota
	roleLearner             // stores the committed record without voting
	roleVoter
)

// runReplica is the background work of a node. It loads the replica's state, then brings the replica up to date as a
// voter or a learner: once after the start, and again whenever newer committed voters have become known.
func (n *Node) runReplica(ctx context.Context) {
	if !n.loadReplica(ctx) {
		return
	}
	failures := 0
	backoff := minJoinBackoff
	role := roleUnknown
	for ctx.Err() == nil && !n.transferring.Load() {
		if err := n.synchronize(ctx, failures > 0); err != nil {
			failures++
			if failures == failuresBeforeLog {
				event.ReplicaWithoutMajority.Log(n.log).Err(err).Send()
			}
			role = roleUnknown
			ctxsleep.Sleep(ctx, backoff)
			backoff = min(backoff*3/2, maxJoinBackoff)
			continue
		}
		failures = 0
		backoff = minJoinBackoff
		role = n.logRoleChange(role)
		n.awaitChange(ctx, role)
	}
}

// logRoleChange returns the replica's present role, and logs it if it differs from the previous one.
func (n *Node) logRoleChange(previous replicaRole) replicaRole {
	current, kind := roleLearner, event.ReplicaIsLearner
	if n.IsVoter() {
		current, kind = roleVoter, event.ReplicaJoined
	}
	if current != previous {
		own, _ := n.acceptor.State()
		kind.Log(n.log).Str("replica", own.ReplicaID).Uint64("epoch", n.Voters().Epoch).Send()
	}
	return current
}

// awaitChange returns when a voter has lost its vote, when a learner may have something to do, or when the context
// ends.
func (n *Node) awaitChange(ctx context.Context, role replicaRole) {
	if role == roleLearner {
		n.awaitLearnerWork(ctx)
		return
	}
	for n.IsVoter() {
		select {
		case <-n.recordChanged:
		case <-ctx.Done():
			return
		}
	}
}

// awaitLearnerWork returns when a newer record or newer voters have become known, and after learnerPollInterval at the
// latest.
func (n *Node) awaitLearnerWork(ctx context.Context) {
	timer := time.NewTimer(learnerPollInterval)
	defer timer.Stop()
	select {
	case <-n.recordChanged:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// loadReplica reads the store, retrying until it succeeds, and initializes the replica if the store has none. It
// returns false if the context ends first.
func (n *Node) loadReplica(ctx context.Context) bool {
	logged := false
	for ctx.Err() == nil {
		own, found, err := n.loadState()
		if err == nil {
			err = n.acceptor.Install(ctx, own, !found)
		}
		if err == nil {
			n.replicaStarted(&own, found)
			return true
		}
		if !logged && ctx.Err() == nil {
			logged = true
			event.ReplicaStoreUnreadable.Log(n.log).Err(err).Send()
		}
		ctxsleep.Sleep(ctx, loadRetryInterval)
	}
	return false
}

// loadState returns the saved state, or an initial one and false. A replica whose saved state is lost gets a new ID,
// even if it was a genesis voter: it may have voted under its former ID.
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

// replicaStarted passes the installed state to the proposer and logs the start.
func (n *Node) replicaStarted(own *AcceptorState, found bool) {
	n.proposer.observeOwnState(own)
	kind := event.ReplicaCreated
	if found {
		kind = event.ReplicaRestored
	}
	kind.Log(n.log).Str("replica", own.ReplicaID).Uint64("revision", own.Proposal.Record.Revision).Send()
}

// synchronize makes one attempt to read the committed record and, for a learner, to store it and to claim the vote of a
// voter that can't vote. The voters are discovered again if the last attempt failed.
func (n *Node) synchronize(ctx context.Context, lastFailed bool) error {
	ctx, cancel := context.WithTimeout(ctx, joinAttemptTimeout)
	defer cancel()
	isDown := n.isDown
	if lastFailed || len(n.Voters().Replicas) == 0 {
		isDown = n.discover(ctx)
	}
	if n.IsVoter() {
		_, err := n.Read(ctx)
		return err
	}
	if len(n.Voters().Replicas) == 0 {
		return errcode.RegisterNotReady.With("no other process that answered knows the voters")
	}
	own, err := n.joiningReplica()
	if err != nil {
		return err
	}
	if err := n.catchUp(ctx); err != nil {
		return err
	}
	return n.claimVote(ctx, own, isDown)
}

// catchUp stores the newest committed record. After each start a learner first reads the record from a majority, even
// if it has one on disk; later records reach it through Learn.
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

// claimVote makes the own replica a voter in two cases: a voter at its address has lost its disk, or a voter is down
// and the own replica is the best of the learners that could replace it. Only the best one tries, because concurrent
// attempts of many learners would preempt each other. Other changes of the voters are left to RepairVoters.
func (n *Node) claimVote(ctx context.Context, own state.Replica, isDown func(address string) bool) error {
	withAllLearners := n.voterPlacement(n.potentialLearners())
	withAllLearners.isDown = isDown
	next, changed := withAllLearners.replaceUnavailable(n.Voters().Replicas)
	isOwn := func(voter state.Replica) bool { return voter.ID == own.ID }
	if !changed || !slices.ContainsFunc(next, isOwn) {
		return nil
	}
	withOwn := n.voterPlacement([]state.Replica{own})
	withOwn.isDown = isDown
	_, err := n.Change(ctx, placementUpdate(withOwn.replaceUnavailable))
	return err
}

// joiningReplica returns this process's replica, ready to join. A replica that was a voter of an earlier set first gets
// a new ID and an empty state, as after the loss of its disk: requests that were meant for the removed voter must not
// reach the one that joins.
func (n *Node) joiningReplica() (state.Replica, error) {
	own, _ := n.acceptor.State()
	if own.removedFrom(n.Voters()) {
		event.ReplicaExpelled.Log(n.log).Str("replica", own.ReplicaID).Send()
		own = AcceptorState{ReplicaID: rand.Text()}
		if latest, known := n.Latest(); known {
			own.Learned = latest
		}
		// Saving may take longer than this attempt. Install therefore isn't bounded by the attempt's context: the next
		// attempt must not generate another ID in the meantime.
		if err := n.acceptor.Install(n.proposer.lifetime, own, true); err != nil {
			return state.Replica{}, err
		}
	}
	return state.Replica{ID: own.ReplicaID, Address: n.settings.InternalAddress()}, nil
}
