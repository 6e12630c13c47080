package delivery

import (
	"context"
	"maps"
	"sync"
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

const (
	// AgentTimeout bounds the wait for the agents. An endpoint waits a second for its acknowledgement.
	AgentTimeout = 400 * time.Millisecond
	// AgentSkipTime is how long an agent that hasn't confirmed in time isn't waited for: its machine may be suspended or
	// unreachable, and the acknowledgements of others mustn't be late because of that.
	AgentSkipTime = 5 * time.Second
	// agentInterval is the least time between two calls to an agent.
	agentInterval = 50 * time.Millisecond
	// JoinTime is how long after its start a core member may not know all agents, which call it one after the other.
	JoinTime = 2 * time.Second
	// joinPollInterval is the time between two looks for agents that have become known.
	joinPollInterval = 20 * time.Millisecond
)

// AgentNotifier sends entries to the agents of all machines and waits until their proxies have applied them. What they
// have applied holds also while no core member runs that could tell them. It is safe for concurrent use.
type AgentNotifier struct {
	members func() []state.Member // those that are live
	sender  *BatchSender
	started time.Time

	mutex   sync.Mutex
	skipped map[string]time.Time // agents that aren't waited for, by address: until when
}

// NewAgentNotifier returns a notifier of the agents among the members that are live.
func NewAgentNotifier(members func() []state.Member, push PushFunc) *AgentNotifier {
	return &AgentNotifier{
		members: members,
		sender: NewBatchSender(push, BatchOptions{
			MaxCalls:    1,
			CallTimeout: AgentTimeout,
			MinInterval: agentInterval,
		}),
		started: time.Now(),
		skipped: map[string]time.Time{},
	}
}

// isJoining reports whether agents may not be known yet.
func (n *AgentNotifier) isJoining() bool { return time.Since(n.started) < JoinTime }

// Notification is an entry on its way to the agents.
type Notification struct {
	notifier *AgentNotifier
	send     func(address string) (result <-chan error)
	timeout  <-chan struct{} // closed AgentTimeout after the start
	cancel   context.CancelFunc
	pending  map[string]<-chan error // the agents that are waited for, by address
}

// Start sends an entry to all agents. One without a value is only awaited: they get it by gossip. The caller calls Wait
// or Cancel; the end of ctx cancels nothing, since agents that aren't given their time would count as unresponsive.
func (n *AgentNotifier) Start(ctx context.Context, entry gossip.Entry) *Notification {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), AgentTimeout)
	started := &Notification{
		notifier: n,
		timeout:  ctx.Done(),
		cancel:   cancel,
		pending:  map[string]<-chan error{},
		send: func(address string) <-chan error {
			result := make(chan error, 1)
			n.sender.Send(ctx, address, entry, result)
			return result
		},
	}
	started.sendToNew()
	return started
}

// sendToNew sends the entry to the agents that it hasn't been sent to.
func (n *Notification) sendToNew() {
	for _, address := range n.notifier.addresses() {
		if _, sent := n.pending[address]; !sent {
			n.pending[address] = n.send(address)
		}
	}
}

// addresses returns the agents to be waited for. The others get the entry by gossip.
func (n *AgentNotifier) addresses() (addresses []string) {
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

// skip records that an agent hasn't confirmed in time. While this member is joining, it may just not have had the time.
func (n *AgentNotifier) skip(address string) {
	if n.isJoining() {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.skipped[address] = time.Now().Add(AgentSkipTime)
}

// Cancel ends the wait. Entries that are still queued aren't sent.
func (n *Notification) Cancel() { n.cancel() }

// Agents returns the number of agents that were notified.
func (n *Notification) Agents() int { return len(n.pending) }

// Wait waits until all agents have confirmed or AgentTimeout is over, and returns the number of those that have not.
func (n *Notification) Wait() (unconfirmed int) {
	defer n.cancel()
	n.awaitJoin()
	for address, result := range n.pending {
		if !isConfirmed(result, n.timeout) {
			unconfirmed++
			n.notifier.skip(address)
		}
	}
	return unconfirmed
}

// awaitJoin sends the entry to the agents that become known while this member is joining, until AgentTimeout is over.
func (n *Notification) awaitJoin() {
	ticker := time.NewTicker(joinPollInterval)
	defer ticker.Stop()
	for n.notifier.isJoining() {
		select {
		case <-ticker.C:
			n.sendToNew()
		case <-n.timeout:
			return
		}
	}
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
