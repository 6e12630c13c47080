package agent

import (
	"context"
	"time"

	"rowanlink/serving/actor"
	"rowanlink/serving/endpoints/exchange"
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
)

const (
	// forwardTimeout bounds one call that forwards observations.
	forwardTimeout = 400 * time.Millisecond
	// maxForwardCalls bounds the number of concurrent calls that forward observations.
	maxForwardCalls = 4
)

// observationForwarder forwards the proxy's observations of endpoints to the core members that decide on the endpoints'
// state.
type observationForwarder struct {
	observer    string // name of this member
	client      *rpc.Client
	members     func() []state.Member                // live members
	receiversOf func(ids []string) map[string]string // name of the receiving member by endpoint ID
	callSlots   chan struct{}                        // semaphore; its capacity bounds the concurrent calls
}

// receivers returns, by endpoint ID, the member that receives the endpoint's heartbeats.
func (a *agent) receivers(ids []string) map[string]string {
	receivers, _ := actor.Call(a.stateActor, func(s *agentState) map[string]string {
		byID := make(map[string]string, len(ids))
		for _, id := range ids {
			if endpoint, found := s.publisher.endpoints.Get(time.Now(), id); found {
				byID[id] = endpoint.Receiver
			}
		}
		return byID
	})
	return receivers
}

// forward sends observations without blocking. Observations beyond the limit of concurrent calls are dropped: newer
// ones will follow.
func (f *observationForwarder) forward(ctx context.Context, observations []state.Observation) {
	if len(observations) == 0 {
		return
	}
	for address, group := range f.groupByAddress(observations) {
		select {
		case f.callSlots <- struct{}{}:
		default:
			return
		}
		go func() {
			defer func() { <-f.callSlots }()
			f.send(ctx, address, group)
		}()
	}
}

// send calls one member. Errors are ignored, as newer observations will follow.
func (f *observationForwarder) send(ctx context.Context, address string, observations []state.Observation) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	request := exchange.ObserveRequest{Observer: f.observer, Observations: observations}
	_, _ = exchange.ObserveMethod.Call(ctx, f.client, address, &request)
}

// groupByAddress groups observations by the address of the core member to send them to. This is the receiver of the
// endpoint's heartbeats, which decides on the endpoint's state. If the receiver isn't live, the observation goes to all core
// members, one of which holds the role that decides in its place.
func (f *observationForwarder) groupByAddress(observations []state.Observation) map[string][]state.Observation {
	ids := make([]string, 0, len(observations))
	for _, observation := range observations {
		ids = append(ids, observation.EndpointID)
	}
	receivers := f.receiversOf(ids)
	coreAddresses := map[string]string{} // by name
	for _, member := range f.members() {
		if member.Role == state.RoleCore {
			coreAddresses[member.Name] = member.Address
		}
	}
	groups := map[string][]state.Observation{}
	for _, observation := range observations {
		if address, isLive := coreAddresses[receivers[observation.EndpointID]]; isLive {
			groups[address] = append(groups[address], observation)
			continue
		}
		for _, address := range coreAddresses {
			groups[address] = append(groups[address], observation)
		}
	}
	return groups
}
