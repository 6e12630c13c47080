package register

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// discoveryGracePeriod is how long further answers are awaited after the first one that names voters.
	discoveryGracePeriod = 50 * time.Millisecond
	// maxDiscoveryPeers bounds the peers, beyond seeds and voters, that one discovery asks: while there is no majority,
	// all nodes repeat the discovery.
	maxDiscoveryPeers = 8
)

// discover asks seeds, voters and some peers for the committed voters. It returns a predicate for the addresses that
// are down according to this node, or according to every node whose answer named voters.
func (n *Node) discover(ctx context.Context) (isDown func(address string) bool) {
	addresses := n.discoveryTargets()
	answers := make(chan *Description, len(addresses))
	for _, address := range addresses {
		go func() { answers <- n.describe(n.proposer.lifetime, address) }()
	}
	answered, downReports := collectDescriptions(ctx, answers, len(addresses))
	return func(address string) bool {
		return n.isDown(address) || answered > 0 && downReports[address] == answered
	}
}

// collectDescriptions counts the answers that name voters, and for each address how many of these answers report it
// down.
func collectDescriptions(
	ctx context.Context, answers <-chan *Description, expected int,
) (answered int, downReports map[string]int) {
	downReports = map[string]int{}
	var graceEnded <-chan time.Time
	for range expected {
		select {
		case description := <-answers:
			if description == nil || len(description.CommittedVoters.Replicas) == 0 {
				continue
			}
			answered++
			for _, address := range description.Down {
				downReports[address]++
			}
			if graceEnded == nil {
				graceEnded = time.After(discoveryGracePeriod)
			}
		case <-graceEnded:
			return answered, downReports
		case <-ctx.Done():
			return answered, downReports
		}
	}
	return answered, downReports
}

// describe asks one process for its description, and passes the voters in it to the proposer. It returns nil if there
// is no answer. The context should be the node's lifetime, so that late answers are used too.
func (n *Node) describe(ctx context.Context, address string) *Description {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	description, err := n.transport.Describe(ctx, address, &DescribeRequest{})
	if err != nil {
		return nil
	}
	n.proposer.observeVoters(description.CommittedVoters)
	return description
}

// discoveryTargets returns the addresses of processes that may know the voters, except this one: seeds, voters, and a
// random choice of the other peers.
func (n *Node) discoveryTargets() []string {
	addresses := seedAddresses(n.settings)
	peers := n.peers()
	for _, index := range rand.Perm(len(peers))[:min(len(peers), maxDiscoveryPeers)] {
		addresses = append(addresses, peers[index].Address)
	}
	for _, voter := range n.Voters().Replicas {
		addresses = append(addresses, voter.Address)
	}
	slices.Sort(addresses)
	own := n.settings.InternalAddress()
	return slices.DeleteFunc(slices.Compact(addresses), func(address string) bool { return address == own })
}
