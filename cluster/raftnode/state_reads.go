package raftnode

import (
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/timing"
	"rowanlink/cluster/transport"
)

// handleState answers with the components that are newer than the requester's, and the wanted resources that are free.
// If there are none it waits for a change first, up to the long-poll time-out.
func (n *Node) handleState(ctx *fasthttp.RequestCtx) {
	var request transport.StateRequest
	if !decodeRequest(ctx, &request) {
		return
	}
	timeout := time.NewTimer(timing.LongPollTimeout(n.sessionTTL).Duration())
	defer timeout.Stop()
	for {
		response, stateChanged, err := n.readNewerState(request)
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		if isEmptyResponse(response) {
			select {
			case <-stateChanged:
				continue
			case <-timeout.C:
			case <-n.closing:
			}
		}
		n.ComponentsServed.Add(int64(len(response.Components)))
		ctx.SetBody(transport.Encode(response))
		return
	}
}

func isEmptyResponse(response transport.StateResponse) bool {
	return len(response.Components)+len(response.FreeResources) == 0
}

// readNewerState reads at one point of the log what handleState answers with. If that is nothing, stateChanged is closed
// at the next change.
func (n *Node) readNewerState(
	request transport.StateRequest,
) (response transport.StateResponse, stateChanged <-chan struct{}, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	response.AppliedIndex = n.raft.AppliedIndex()
	for _, component := range slices.Sorted(maps.Keys(request.Versions)) {
		part, isNewer, err := n.readComponent(component, request.Versions[component], request.AcceptDeltas)
		if err != nil {
			return transport.StateResponse{}, nil, err
		}
		if isNewer {
			response.Components = append(response.Components, part)
		}
	}
	for _, resource := range request.WantedResources {
		if _, held := n.leases.Holder(resource); !held {
			response.FreeResources = append(response.FreeResources, resource)
		}
	}
	if isEmptyResponse(response) {
		n.waiters++
	}
	return response, n.stateChanged, nil
}

// readComponent returns a component's state if it is newer than the requester's version, as a delta if that is accepted
// and known. The caller holds the lock.
func (n *Node) readComponent(
	component cluster.ComponentID, requesterVersion uint64, acceptDeltas bool,
) (part transport.ComponentState, isNewer bool, err error) {
	version, history := n.machine.ComponentVersion(component), n.history[component]
	if history == nil {
		history = &fsm.SnapshotHistory{}
		n.history[component] = history
	}
	isCurrent := version == requesterVersion
	if version < requesterVersion || isCurrent && !acceptDeltas || version == 0 {
		return part, false, nil
	}
	// The newest snapshot is recorded even if the requester has it: otherwise all requesters would get a complete
	// snapshot at the next change.
	if history.NewestVersion() != version {
		snapshot, err := n.machine.ComponentSnapshot(component)
		if err != nil {
			return part, false, err
		}
		history.Add(version, snapshot)
	}
	if isCurrent {
		return part, false, nil
	}
	part = transport.ComponentState{Component: component, Version: version}
	if acceptDeltas {
		part.BaseVersion, part.Data = history.DeltaSince(requesterVersion)
	} else {
		_, part.Data = history.DeltaSince(0)
	}
	return part, true, nil
}

// notifyStateChange wakes the requests that wait for newer state. The caller holds the lock.
func (n *Node) notifyStateChange() {
	if n.waiters > 0 {
		close(n.stateChanged)
		n.stateChanged, n.waiters = make(chan struct{}), 0
	}
}

// rejectHeldResources answers a command to acquire leases, without an entry in the log, if all of the resources are held
// by other sessions. This avoids an entry for each attempt. A command is never accepted here.
func (n *Node) rejectHeldResources(command cluster.Command) (result []byte, isRejected bool) {
	var operation lease.Operation
	if command.Component != cluster.LeaseComponent || command.FencedBy != "" {
		return nil, false
	}
	if transport.Decode(command.Body, &operation) != nil || operation.Kind != lease.OpAcquire {
		return nil, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaderTerm == 0 || n.leases.MemberOf(operation.Session) == "" {
		return nil, false
	}
	rejection := lease.Result{Session: operation.Session}
	for _, resource := range operation.Resources {
		holder, held := n.leases.Holder(resource)
		if !held || holder.Session == operation.Session {
			return nil, false
		}
		rejection.Grants = append(rejection.Grants, lease.Grant{Resource: resource})
	}
	return transport.Encode(rejection), len(operation.Resources) > 0
}
