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
	// observeTimeout bounds a call by which observations are passed on.
	observeTimeout = 400 * time.Millisecond
	// observeCalls bounds those under way.
	observeCalls = 4
)

// observations passes on what the proxy has seen of endpoints to the members that judge them.
type observations struct {
	observer string
	client   *rpc.Client
	members  func() []state.Member
	receiver func(ids []string) map[string]string // by endpoint ID
	calls    chan struct{}
}

// receivers looks up which member receives the heartbeats of each endpoint.
func (a *agent) receivers(ids []string) map[string]string {
	found, _ := actor.Call(a.board, func(b *board) map[string]string {
		receivers := make(map[string]string, len(ids))
		for _, id := range ids {
			if endpoint, known := b.news.endpoints.Get(time.Now(), id); known {
				receivers[id] = endpoint.Receiver
			}
		}
		return receivers
	})
	return found
}

// pass sends observations on and doesn't wait. What can't be sent is lost: newer ones will come.
func (o *observations) pass(ctx context.Context, seen []state.Observation) {
	if len(seen) == 0 {
		return
	}
	for address, part := range o.byAddress(seen) {
		select {
		case o.calls <- struct{}{}:
		default:
			return
		}
		go func() {
			defer func() { <-o.calls }()
			bounded, cancel := context.WithTimeout(ctx, observeTimeout)
			defer cancel()
			request := exchange.ObserveRequest{Observer: o.observer, Observations: part}
			_, _ = exchange.Observe.Call(bounded, o.client, address, &request)
		}()
	}
}

// byAddress groups observations by the core member that judges the endpoint: its receiver or, where that is not live,
// whoever of the others has the duty.
func (o *observations) byAddress(seen []state.Observation) map[string][]state.Observation {
	ids := make([]string, 0, len(seen))
	for _, each := range seen {
		ids = append(ids, each.EndpointID)
	}
	receivers := o.receiver(ids)
	cores := map[string]string{} // addresses by name
	for _, member := range o.members() {
		if member.Role == state.RoleCore {
			cores[member.Name] = member.Address
		}
	}
	grouped := map[string][]state.Observation{}
	for _, each := range seen {
		if address, live := cores[receivers[each.EndpointID]]; live {
			grouped[address] = append(grouped[address], each)
			continue
		}
		for _, address := range cores {
			grouped[address] = append(grouped[address], each)
		}
	}
	return grouped
}
