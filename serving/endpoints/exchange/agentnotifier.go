package exchange

import (
	"context"
	"maps"
	"sync"
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

const (
	// agentTimeout bounds the wait for the agents. An endpoint waits a second for its acknowledgement.
	agentTimeout = 400 * time.Millisecond
	// agentSkipTime is how long an agent that hasn't confirmed in time isn't waited for: its machine may be suspended or
	// unreachable, and the acknowledgements of others mustn't be late because of that.
	agentSkipTime = 5 * time.Second
)

// agentNotifier sends entries to the agents of all machines and waits until their proxies have applied them. What they
// have applied holds also while no core member runs that could tell them. It is safe for concurrent use.
type agentNotifier struct {
	members func() []state.Member // those that are live
	sender  *batchSender

	mutex   sync.Mutex
	skipped map[string]time.Time // agents that aren't waited for, by address: until when
}

func newAgentNotifier(members func() []state.Member, push pushFunc) *agentNotifier {
	return &agentNotifier{
		members: members,
		sender:  newBatchSender(push, batchOptions{maxCalls: 1, callTimeout: agentTimeout}),
		skipped: map[string]time.Time{},
	}
}

// notification is an entry on its way to the agents.
type notification struct {
	notifier *agentNotifier
	timeout  <-chan struct{} // closed agentTimeout after the start
	cancel   context.CancelFunc
	pending  map[string]<-chan error // the agents that are waited for, by address
}

// start sends an entry to all agents. The caller calls wait or cancel.
func (n *agentNotifier) start(ctx context.Context, entry gossip.Entry) *notification {
	ctx, cancel := context.WithTimeout(ctx, agentTimeout)
	started := &notification{notifier: n, timeout: ctx.Done(), cancel: cancel, pending: map[string]<-chan error{}}
	for _, address := range n.addresses() {
		result := make(chan error, 1)
		n.sender.send(ctx, address, entry, result)
		started.pending[address] = result
	}
	return started
}

// addresses returns the agents to be waited for. The others get the entry by gossip.
func (n *agentNotifier) addresses() (addresses []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := time.Now()
	maps.DeleteFunc(n.skipped, func(_ string, until time.Time) bool { return !now.Before(until) })
	for _, member := range n.members() {
		_, isSkipped := n.skipped[member.Address]
		if member.Role == state.RoleAgent && !isSkipped {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// skip records that an agent hasn't confirmed in time.
func (n *agentNotifier) skip(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.skipped[address] = time.Now().Add(agentSkipTime)
}

// wait waits until all agents have confirmed or agentTimeout is over, and returns the number of those that have not.
func (n *notification) wait() (unconfirmed int) {
	defer n.cancel()
	for address, result := range n.pending {
		if !isConfirmed(result, n.timeout) {
			unconfirmed++
			n.notifier.skip(address)
		}
	}
	return unconfirmed
}

// isConfirmed waits for a result until the time-out, and reports whether it came and is a success.
func isConfirmed(result <-chan error, timeout <-chan struct{}) bool {
	select {
	case err := <-result:
		return err == nil
	case <-timeout:
	}
	select {
	case err := <-result:
		return err == nil
	default:
		return false
	}
}
