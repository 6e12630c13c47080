package register

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// discoveryGracePeriod is how long further answers are awaited after the first that names replicas.
const discoveryGracePeriod = 50 * time.Millisecond

// maxDiscoveryPeers bounds how many machines beyond seeds and voters are asked at once: where no majority is there, all
// ask again and again.
const maxDiscoveryPeers = 8

// discover asks the seeds, the members and the known replicas which replicas are in force, and learns what they tell.
// It returns who is absent by this node's or by everybody else's judgement.
func (n *Node) discover(ctx context.Context) (absent func(address string) bool) {
	addresses := n.discoveryTargets()
	answers := make(chan *Description, len(addresses))
	for _, address := range addresses {
		go func() { answers <- n.describe(address) }()
	}
	reports := map[string]int{}
	given := n.collectDescriptions(ctx, answers, len(addresses), reports)
	return func(address string) bool {
		return n.isAbsent(address) || given > 0 && reports[address] == given
	}
}

// collectDescriptions counts the answers that name replicas, and how many of them report an address down.
func (n *Node) collectDescriptions(ctx context.Context, answers <-chan *Description, expected int, reports map[string]int) (given int) {
	var enough <-chan time.Time
	for range expected {
		select {
		case description := <-answers:
			if description == nil || len(description.CommittedVoters.Replicas) == 0 {
				continue
			}
			given++
			for _, address := range description.Down {
				reports[address]++
			}
			if enough == nil {
				enough = time.After(discoveryGracePeriod)
			}
		case <-enough:
			return given
		case <-ctx.Done():
			return given
		}
	}
	return given
}

// describe asks one process; nil where it doesn't answer. What it tells is learned, however late it comes.
func (n *Node) describe(address string) *Description {
	ctx, cancel := context.WithTimeout(n.proposer.lifetime, callTimeout)
	defer cancel()
	description, err := n.transport.Describe(ctx, address, &DescribeRequest{})
	if err != nil {
		return nil
	}
	n.proposer.observeVoters(description.CommittedVoters)
	return description
}

// discoveryTargets returns the addresses of processes that may know the replicas, but this one: seeds, voters, and some of
// the other machines by chance.
func (n *Node) discoveryTargets() []string {
	addresses := seedAddresses(n.settings)
	machines := n.peers()
	for _, number := range rand.Perm(len(machines))[:min(len(machines), maxDiscoveryPeers)] {
		addresses = append(addresses, machines[number].Address)
	}
	for _, replica := range n.Voters().Replicas {
		addresses = append(addresses, replica.Address)
	}
	slices.Sort(addresses)
	own := n.settings.InnerAddress()
	return slices.DeleteFunc(slices.Compact(addresses), func(address string) bool { return address == own })
}
