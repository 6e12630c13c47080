package register

import (
	"context"

	"rowanlink/serving/event"
	"rowanlink/serving/state"
)

const (
	// maxLearnerLag is how many revisions a learner may be behind and still become a voter. Records reach learners
	// within a fraction of a second; without this tolerance a burst of changes would disqualify all learners.
	maxLearnerLag = 8
	// maxLearnerQueries bounds the learners that are queried before one change of the voters.
	maxLearnerQueries = 16
)

// learnerProgress is a learner that has caught up after its start and may become a voter.
type learnerProgress struct {
	replica  state.Replica
	revision uint64 // the highest on its disk
}

// caughtUpLearner returns the own replica if it is a learner that may become a voter.
func (n *Node) caughtUpLearner() (learnerProgress, bool) {
	own, loaded := n.acceptor.State()
	if !loaded || n.transferring.Load() || !n.caughtUp.Load() || n.Voters().Contains(own.ReplicaID) {
		return learnerProgress{}, false
	}
	return learnerProgress{
		replica:  state.Replica{ID: own.ReplicaID, Address: n.settings.InternalAddress()},
		revision: own.durableRevision(),
	}, true
}

// IsLearner reports whether the own replica is a learner that has caught up and may become a voter.
func (n *Node) IsLearner() bool {
	_, ok := n.caughtUpLearner()
	return ok
}

// voterPlacement returns the placement for a change of the voters, from this node's settings, failure detector and
// peers and from the given learners.
func (n *Node) voterPlacement(learners []state.Replica) *voterPlacement {
	zones := map[string]string{}
	for _, peer := range n.peers() {
		zones[peer.Address] = peer.Zone
	}
	return &voterPlacement{
		desiredVoters: desiredVoterCount(n.settings),
		isDown:        n.isDown,
		isExpired:     n.isExpired,
		zoneOf:        func(address string) string { return zones[address] },
		learners:      learners,
	}
}

// RepairVoters makes the next change of the voters that is needed: it replaces a voter that is down, or brings their
// number to the desired one. It makes no calls if nothing is needed. One process should call it periodically. Errors
// are those of Change.
func (n *Node) RepairVoters(ctx context.Context) error {
	before := n.Voters()
	if len(before.Replicas) == 0 {
		return nil
	}
	if _, changed := n.voterPlacement(n.potentialLearners()).nextVoters(before.Replicas); !changed {
		return nil
	}
	placement := n.voterPlacement(n.queryLearners(ctx))
	if _, changed := placement.nextVoters(before.Replicas); !changed {
		return nil
	}
	record, err := n.Change(ctx, placementUpdate(placement.nextVoters))
	if err == nil && record.Voters.Epoch > before.Epoch {
		event.ReplicasChanged.Log(n.log).
			Uint64("epoch", record.Voters.Epoch).
			Int("voters", len(record.Voters.Replicas)).
			Send()
	}
	return err
}

// QuorumLoss returns the addresses of the voters that are down if too few are left for a majority, else nil. Without a
// majority the record can be neither changed nor read until enough of them are back with their disks.
func (n *Node) QuorumLoss() (down []string) {
	voters := n.Voters()
	for _, voter := range voters.Replicas {
		if n.isDown(voter.Address) {
			down = append(down, voter.Address)
		}
	}
	if len(voters.Replicas)-len(down) >= voters.Quorum() {
		return nil
	}
	return down
}

// potentialLearners returns the replicas that may be learners, without calling them. The ID of another process's
// replica isn't known, so the address is used as its ID.
func (n *Node) potentialLearners() (learners []state.Replica) {
	excluded := map[string]bool{n.settings.InternalAddress(): true}
	for _, voter := range n.Voters().Replicas {
		excluded[voter.Address] = true
	}
	if own, ok := n.caughtUpLearner(); ok {
		learners = append(learners, own.replica)
	}
	for _, peer := range n.peers() {
		if !excluded[peer.Address] {
			learners = append(learners, state.Replica{ID: peer.Address, Address: peer.Address})
		}
	}
	return learners
}

// queryLearners returns the learners whose record on disk is at most maxLearnerLag revisions behind the latest known
// one. Learners at the address of a voter aren't queried: they claim that voter's place themselves. The calls aren't
// cancelled with the context, because late answers may still name newer voters.
func (n *Node) queryLearners(ctx context.Context) (learners []state.Replica) {
	latest, _ := n.Latest()
	queried := n.potentialLearners()
	queried = queried[:min(len(queried), maxLearnerQueries)]
	answers := make(chan learnerProgress, len(queried))
	for _, learner := range queried {
		go func() { answers <- n.queryLearner(n.proposer.lifetime, learner.Address) }()
	}
	for range queried {
		select {
		case answer := <-answers:
			if answer.replica.ID != "" && answer.revision+maxLearnerLag >= latest.Revision {
				learners = append(learners, answer.replica)
			}
		case <-ctx.Done():
			return learners
		}
	}
	return learners
}

// queryLearner asks the node at an address for its learner. It returns the zero value if the node has none or doesn't
// answer.
func (n *Node) queryLearner(ctx context.Context, address string) learnerProgress {
	if address == n.settings.InternalAddress() {
		own, _ := n.caughtUpLearner()
		return own
	}
	description := n.describe(ctx, address)
	if description == nil || description.Learner.Address != address {
		return learnerProgress{}
	}
	return learnerProgress{replica: description.Learner, revision: description.LearnerRevision}
}
