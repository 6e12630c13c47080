// Package exchange joins a core member's table of endpoints to the other members: what they tell is merged, what is
// found here is told, and silence is judged, also for members that are down.
package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/event"
	"rowanlink/serving/gossip"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
)

// sweepInterval is the time between two looks for silent endpoints.
const sweepInterval = 500 * time.Millisecond

// JudgeRole is the duty of judging the silence of endpoints whose receiver is not live.
const JudgeRole = "judge-endpoints"

// Gossip is what is needed of the members' mesh; mesh.Mesh is one.
type Gossip interface {
	Put(entry gossip.Entry)
	PutReplicated(ctx context.Context, entry gossip.Entry, addresses []string, copies int) error
	Subscribe(table gossip.TableID, call func(gossip.Entry))
	Members() []state.Member // those that are live
	Self() state.Member
	AcquireRole(name string, scope singleton.Scope) singleton.Assignment
}

// Exchange is a table of endpoints and its link to the mesh. It is safe for use by several goroutines.
type Exchange struct {
	gossip Gossip
	table  *endpoints.SharedTable
	log    *zerolog.Logger
}

// Options of an exchange.
type Options struct {
	Gossip            Gossip
	HeartbeatInterval time.Duration // between two heartbeats of an endpoint
	// HasQuorum tells whether this member is in touch with a majority of the voters.
	HasQuorum func() bool
	Log       *zerolog.Logger
}

// Start makes a table and keeps it in touch with the mesh until ctx ends.
func Start(ctx context.Context, options Options) *Exchange {
	mesh := options.Gossip
	table := endpoints.Options{Self: mesh.Self().Name, HeartbeatInterval: options.HeartbeatInterval,
		IsResponsibleFor: newResponsibility(mesh, options.HasQuorum)}
	x := &Exchange{gossip: mesh, table: endpoints.Start(table, time.Now), log: options.Log}
	mesh.Subscribe(gossip.TableEndpoints, x.merge)
	go x.run(ctx)
	return x
}

// Table returns the table. It ends with the context that Start was given.
func (x *Exchange) Table() *endpoints.SharedTable { return x.table }

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

func (x *Exchange) sweep() {
	for _, endpoint := range x.table.Sweep() {
		x.Put(endpoint)
		switch {
		case endpoint.State == state.EndpointDeparted:
			event.EndpointLost.Log(x.log).Str("endpoint", endpoint.ID).Send()
		case endpoint.Unresponsive:
			event.EndpointSilent.Log(x.log).Str("endpoint", endpoint.ID).Send()
		}
	}
}

// merge merges an entry that the mesh has taken in.
func (x *Exchange) merge(entry gossip.Entry) {
	endpoint, err := endpoints.Decode(entry.Value)
	if err != nil {
		event.EndpointUnreadable.Log(x.log).Str("endpoint", entry.Key).Err(err).Send()
		return
	}
	x.table.Merge(endpoint, nil)
}

// Put tells the other members of an endpoint and doesn't wait.
func (x *Exchange) Put(endpoint state.Endpoint) {
	entry, err := encodeEntry(endpoint)
	if err != nil {
		event.EndpointUnreadable.Log(x.log).Str("endpoint", endpoint.ID).Err(err).Send()
		return
	}
	x.gossip.Put(entry)
}

// PutReplicated tells the other members and returns when so many of those at the addresses hold the endpoint. Errors are
// the mesh's.
func (x *Exchange) PutReplicated(ctx context.Context, endpoint state.Endpoint, addresses []string, copies int) error {
	entry, err := encodeEntry(endpoint)
	if err != nil {
		return err
	}
	return x.gossip.PutReplicated(ctx, entry, addresses, copies)
}

func encodeEntry(endpoint state.Endpoint) (gossip.Entry, error) {
	value, err := endpoints.Encode(endpoint)
	if err != nil {
		return gossip.Entry{}, err
	}
	major, minor := endpoints.Version(endpoint)
	return gossip.Entry{Table: gossip.TableEndpoints, Key: endpoint.ID, Version: gossip.NewVersion(major, minor),
		Value: value}, nil
}

// newResponsibility tells whether this member judges the endpoints of a receiver: its own, and as the holder of the duty those
// of a receiver that isn't live. A member that is cut off from the voters takes the others for dead and the duty for
// its own; the endpoints that it doesn't hear may be well.
func newResponsibility(mesh Gossip, inTouch func() bool) func(receiver string) bool {
	self := mesh.Self().Name
	return func(receiver string) bool {
		if receiver == self {
			return true
		}
		live := slices.ContainsFunc(mesh.Members(), func(member state.Member) bool { return member.Name == receiver })
		return !live && inTouch() && mesh.AcquireRole(JudgeRole, singleton.Scope{Role: state.RoleCore}).Local
	}
}
