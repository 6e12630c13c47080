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
	// AgentTimeout bounds the wait for the agents. An endpoint waits one second for the acknowledgement of its request, so
	// the wait has to be shorter.
	AgentTimeout = 400 * time.Millisecond
	// AgentSkipTime is how long the notifier doesn't wait for an agent that confirmed an entry too late or not at all.
	// It waits for the agent again earlier if the agent confirms an entry. The agent's machine may be suspended or
	// unreachable, which must not delay the acknowledgements to others.
	AgentSkipTime = 5 * time.Second
	// agentInterval is the least time between two calls to an agent.
	agentInterval = 50 * time.Millisecond
	// JoinTime is the time after a core member's start during which it may not know all agents yet, since they call it one
	// after the other.
	JoinTime = 2 * time.Second
	// joinPollInterval is how often a joining member checks whether more agents have become known.
	joinPollInterval = 20 * time.Millisecond
)

// Members are the members that a notifier sends to; member.Service implements it.
type Members interface {
	Members() []state.Member     // live members
	DownMembers() []state.Member // members that the local one considers down
	// PushApplied sends entries to the member at an address and returns once it has applied them.
	PushApplied(ctx context.Context, address string, entries []gossip.Entry) error
}

// AgentNotifier sends entries to the agents of all machines and waits until their proxies have applied them. Entries that
// a proxy has applied stay in effect there even while no core member runs. It is safe for concurrent use.
type AgentNotifier struct {
	members   Members
	sender    *BatchSender
	startedAt time.Time

	mutex   sync.Mutex
	skipped map[string]time.Time // until when an agent isn't waited for, by address
}

// NewAgentNotifier returns a notifier for the agents among the members.
func NewAgentNotifier(members Members) *AgentNotifier {
	n := &AgentNotifier{
		members:   members,
		startedAt: time.Now(),
		skipped:   map[string]time.Time{},
	}
	n.sender = NewBatchSender(n.push, BatchOptions{
		MaxCalls:    1,
		CallTimeout: AgentTimeout,
		MinInterval: agentInterval,
	})
	return n
}

// push sends entries to an agent. An agent that confirms them is waited for again.
func (n *AgentNotifier) push(ctx context.Context, address string, entries []gossip.Entry) error {
	err := n.members.PushApplied(ctx, address, entries)
	if err == nil {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		delete(n.skipped, address)
	}
	return err
}

// isJoining reports whether this member has started so recently that it may not know all agents yet.
func (n *AgentNotifier) isJoining() bool { return time.Since(n.startedAt) < JoinTime }

// Notification is an entry on its way to the agents.
type Notification struct {
	notifier  *AgentNotifier
	send      func(address string) (result <-chan error)
	timeout   <-chan struct{}         // closed when AgentTimeout has passed since Start
	awaited   map[string]<-chan error // results of the agents that are waited for, by address
	unawaited map[string]bool         // addresses of the agents that got the entry but aren't waited for
}

// Start sends an entry to all agents. If the entry has no value, the agents get the value by gossip, and the calls only
// wait until they have applied it. The end of ctx doesn't cancel the calls, since an agent whose call is cut short would
// count as one that didn't confirm in time.
func (n *AgentNotifier) Start(ctx context.Context, entry gossip.Entry) *Notification {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), AgentTimeout)
	context.AfterFunc(ctx, cancel)
	notification := &Notification{
		notifier:  n,
		timeout:   ctx.Done(),
		awaited:   map[string]<-chan error{},
		unawaited: map[string]bool{},
		send: func(address string) <-chan error {
			result := make(chan error, 1)
			n.sender.Send(ctx, address, entry, result)
			return result
		},
	}
	notification.sendToNew()
	return notification
}

// sendToNew sends the entry to the agents that are known by now and to which it hasn't been sent yet.
func (n *Notification) sendToNew() {
	awaited, unawaited := n.notifier.addresses()
	for _, address := range awaited {
		if !n.isSentTo(address) {
			n.awaited[address] = n.send(address)
		}
	}
	for _, address := range unawaited {
		if !n.isSentTo(address) {
			n.unawaited[address] = true
			n.send(address)
		}
	}
}

func (n *Notification) isSentTo(address string) bool {
	_, isAwaited := n.awaited[address]
	return isAwaited || n.unawaited[address]
}

// addresses returns the addresses of the agents to wait for, and of the others: agents that failed to confirm in time
// lately, and agents that are down. The others get entries too, since they may only be slow, and if all core members fail
// there is no other source from which they could learn the entries.
func (n *AgentNotifier) addresses() (awaited, unawaited []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := time.Now()
	maps.DeleteFunc(n.skipped, func(_ string, until time.Time) bool { return !now.Before(until) })
	for _, member := range n.members.Members() {
		_, isSkipped := n.skipped[member.Address]
		switch {
		case member.Role != state.RoleAgent:
		case isSkipped:
			unawaited = append(unawaited, member.Address)
		default:
			awaited = append(awaited, member.Address)
		}
	}
	for _, member := range n.members.DownMembers() {
		if member.Role == state.RoleAgent {
			unawaited = append(unawaited, member.Address)
		}
	}
	return awaited, unawaited
}

// skip records that an agent hasn't confirmed in time, so that it isn't waited for during AgentSkipTime. It does nothing
// while this member is joining: the agent may have become known too late to confirm in time.
func (n *AgentNotifier) skip(address string) {
	if n.isJoining() {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.skipped[address] = time.Now().Add(AgentSkipTime)
}

// Awaited returns the number of agents that are waited for.
func (n *Notification) Awaited() int { return len(n.awaited) }

// Unawaited returns the number of agents that the entry was sent to without waiting for them.
func (n *Notification) Unawaited() int { return len(n.unawaited) }

// Wait waits until all awaited agents have confirmed the entry or AgentTimeout is over. While this member is joining,
// it also waits for agents that may still become known. It returns the number of awaited agents that haven't confirmed.
func (n *Notification) Wait() (unconfirmed int) {
	n.awaitJoin()
	for address, result := range n.awaited {
		if !isConfirmed(result, n.timeout) {
			unconfirmed++
			n.notifier.skip(address)
		}
	}
	return unconfirmed
}

// awaitJoin sends the entry to agents that become known while this member is joining. It returns when the member has joined
// or AgentTimeout is over.
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

// isConfirmed waits for a result until the timeout, and reports whether it arrived and is a success.
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
