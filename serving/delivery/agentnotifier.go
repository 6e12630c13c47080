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
	// AgentSkipTime is how long an agent that hasn't confirmed in time isn't waited for, unless it confirms before: its
	// machine may be suspended or unreachable, and the acknowledgements of others mustn't be late because of that.
	AgentSkipTime = 5 * time.Second
	// agentInterval is the least time between two calls to an agent.
	agentInterval = 50 * time.Millisecond
	// JoinTime is how long after its start a core member may not know all agents, which call it one after the other.
	JoinTime = 2 * time.Second
	// joinPollInterval is the time between two looks for agents that have become known.
	joinPollInterval = 20 * time.Millisecond
)

// Members are the members that a notifier sends to; member.Service implements it.
type Members interface {
	Members() []state.Member     // those that are live
	DownMembers() []state.Member // those that are down, as far as is known here
	PushApplied(ctx context.Context, address string, entries []gossip.Entry) error
}

// AgentNotifier sends entries to the agents of all machines and waits until their proxies have applied them. What they
// have applied holds also while no core member runs that could tell them. It is safe for concurrent use.
type AgentNotifier struct {
	members Members
	sender  *BatchSender
	started time.Time

	mutex   sync.Mutex
	skipped map[string]time.Time // agents that aren't waited for, by address: until when
}

// NewAgentNotifier returns a notifier of the agents among the members.
func NewAgentNotifier(members Members) *AgentNotifier {
	n := &AgentNotifier{
		members: members,
		started: time.Now(),
		skipped: map[string]time.Time{},
	}
	n.sender = NewBatchSender(n.push, BatchOptions{
		MaxCalls:    1,
		CallTimeout: AgentTimeout,
		MinInterval: agentInterval,
	})
	return n
}

// push sends entries to an agent. One that confirms them is waited for again.
func (n *AgentNotifier) push(ctx context.Context, address string, entries []gossip.Entry) error {
	err := n.members.PushApplied(ctx, address, entries)
	if err == nil {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		delete(n.skipped, address)
	}
	return err
}

// isJoining reports whether agents may not be known yet.
func (n *AgentNotifier) isJoining() bool { return time.Since(n.started) < JoinTime }

// Notification is an entry on its way to the agents.
type Notification struct {
	notifier  *AgentNotifier
	send      func(address string) (result <-chan error)
	timeout   <-chan struct{}         // closed AgentTimeout after the start
	awaited   map[string]<-chan error // by address
	unawaited map[string]bool         // by address: agents that the entry was sent to all the same
}

// Start sends an entry to all agents. One without a value is only awaited: they get it by gossip. The end of ctx cancels
// nothing, since agents that aren't given their time would count as unresponsive.
func (n *AgentNotifier) Start(ctx context.Context, entry gossip.Entry) *Notification {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), AgentTimeout)
	context.AfterFunc(ctx, cancel)
	started := &Notification{
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
	started.sendToNew()
	return started
}

// sendToNew sends the entry to the agents that it hasn't been sent to.
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

// addresses returns the agents that are waited for, and the others: those that haven't confirmed lately, and those that
// are down. They may be just slow, and may have no other source once no core member runs.
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

// skip records that an agent hasn't confirmed in time. While this member is joining, it may just not have had the time.
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

// Wait waits until the awaited agents have confirmed or AgentTimeout is over, and returns the number of those that have
// not.
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
