// Package exchange connects a core member's table of endpoints with the other members. It merges the endpoints that
// they gossip, gossips the endpoints that the table detects to be unresponsive, failing or departed, and replicates
// draining and departed endpoints to the disks of the voters. It also determines which member decides on the liveness
// of an endpoint: its receiver, or the holder of LivenessRole while the receiver isn't live.
package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/delivery"
	"rowanlink/serving/endpoints"
	"rowanlink/serving/event"
	"rowanlink/serving/gossip"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
)

// sweepInterval is the time between two sweeps of the table.
const sweepInterval = 500 * time.Millisecond

// LivenessRole is the singleton role of the member that decides on the liveness of endpoints whose receiver is not
// live. Operators see this name.
const LivenessRole = "judge-endpoints"

// Gossip is the part of member.Service that an exchange uses.
type Gossip interface {
	Put(entry gossip.Entry)
	PushDurable(ctx context.Context, address string, entries []gossip.Entry) error
	Subscribe(table gossip.TableID, call func(gossip.Entry))
	delivery.Members
	Self() state.Member
	AcquireRole(name string, scope singleton.Scope) singleton.Assignment
}

// Exchange holds a table of endpoints and keeps it consistent with the other members' tables. It is safe for concurrent
// use.
type Exchange struct {
	gossip   Gossip
	table    *endpoints.SharedTable
	persist  func(ctx context.Context, list []state.Endpoint) error
	replicas *delivery.BatchSender
	agents   *delivery.AgentNotifier
	confirm  Confirm
	// successors is the queue of processes that checkSuccessors checks.
	successors chan state.Endpoint
	log        *zerolog.Logger
}

// Options configures an Exchange.
type Options struct {
	Gossip            Gossip
	HeartbeatInterval time.Duration // between two heartbeats of an endpoint
	// HasQuorum reports whether this member has contact with a majority of the voters.
	HasQuorum func() bool
	// Persist saves endpoints on the local disk and returns once they would survive a loss of power.
	Persist func(ctx context.Context, list []state.Endpoint) error
	// Confirm checks a process whose heartbeat has the ID of an earlier one; see CheckSuccessor.
	Confirm Confirm
	Log     *zerolog.Logger
}

// Start returns an exchange that runs until ctx ends.
func Start(ctx context.Context, options Options) *Exchange {
	members := options.Gossip
	tableOptions := endpoints.Options{
		Self:              members.Self().Name,
		HeartbeatInterval: options.HeartbeatInterval,
		IsResponsibleFor:  newResponsibility(members, options.HasQuorum),
	}
	x := &Exchange{
		gossip:   members,
		table:    endpoints.Start(tableOptions, time.Now),
		persist:  options.Persist,
		replicas: delivery.NewBatchSender(members.PushDurable, replicaCalls),
		agents:   delivery.NewAgentNotifier(members),
		confirm:  options.Confirm,

		successors: make(chan state.Endpoint, maxWaitingSuccessors),
		log:        options.Log,
	}
	members.Subscribe(gossip.TableEndpoints, x.merge)
	for range maxSuccessorChecks {
		go x.checkSuccessors(ctx)
	}
	go x.run(ctx)
	return x
}

// Table returns the table. It stops when the context of Start ends.
func (x *Exchange) Table() *endpoints.SharedTable { return x.table }

// run sweeps the table until the context ends, and then stops the table.
func (x *Exchange) run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	defer x.table.Stop()
	for {
		select {
		case <-ticker.C:
			x.sweep()
		case <-ctx.Done():
			return
		}
	}
}

// sweep sweeps the table once, and gossips and logs the endpoints that the sweep returns.
func (x *Exchange) sweep() {
	for _, endpoint := range x.table.Sweep() {
		x.Put(endpoint)
		switch {
		case endpoint.State == state.EndpointDeparted:
			event.EndpointLost.Log(x.log).Str("endpoint", endpoint.ID).Send()
		case endpoint.Unresponsive:
			event.EndpointUnresponsive.Log(x.log).Str("endpoint", endpoint.ID).Send()
		}
	}
}

// merge merges a gossip entry into the table.
func (x *Exchange) merge(entry gossip.Entry) {
	endpoint, err := endpoints.Decode(entry.Value)
	if err != nil {
		event.EndpointUnreadable.Log(x.log).Str("endpoint", entry.Key).Err(err).Send()
		return
	}
	x.table.Merge(endpoint, nil)
}

// Put gossips an endpoint. It doesn't wait until other members have it.
func (x *Exchange) Put(endpoint state.Endpoint) {
	entry, err := encodeEntry(endpoint)
	if err != nil {
		event.EndpointUnreadable.Log(x.log).Str("endpoint", endpoint.ID).Err(err).Send()
		return
	}
	x.gossip.Put(entry)
}

// encodeEntry returns an endpoint as a gossip entry.
func encodeEntry(endpoint state.Endpoint) (gossip.Entry, error) {
	value, err := endpoints.Encode(endpoint)
	if err != nil {
		return gossip.Entry{}, err
	}
	return gossip.Entry{
		Table:   gossip.TableEndpoints,
		Key:     endpoint.ID,
		Version: endpoints.VersionOf(endpoint),
		Value:   value,
	}, nil
}

// newResponsibility returns a function that reports whether this member decides on the liveness of a receiver's
// endpoints. It decides on its own endpoints, and, as the holder of LivenessRole, on those of a receiver that isn't
// live. The latter needs contact with a majority of the voters: a partitioned member sees all others as down and so
// takes the role, but the endpoints that send heartbeats to those others may be healthy.
func newResponsibility(members Gossip, hasQuorum func() bool) func(receiver string) bool {
	self := members.Self().Name
	return func(receiver string) bool {
		if receiver == self {
			return true
		}
		live := slices.ContainsFunc(members.Members(), func(member state.Member) bool { return member.Name == receiver })
		return !live && hasQuorum() && members.AcquireRole(LivenessRole, singleton.Scope{Role: state.RoleCore}).Local
	}
}
