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

// handleState answers a poll with the components that are newer than the requester's versions, and with those of the
// wanted resources that nobody holds. If there are neither, it waits for a change, up to timing.LongPollTimeout.
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

// readNewerState returns handleState's response, read under the lock, so that all its parts are of the same log index. If
// the response is empty, stateChanged is closed at the next change.
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

// readComponent returns a component's state if it is newer than the requester's version: as a delta if the requester
// accepts one and the history reaches back to its version, else complete. The caller holds the lock.
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
	// The current snapshot is recorded in the history even if the requester has it already. The next delta is computed
	// from it; without it all requesters would get a complete snapshot at the next change.
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

// rejectHeldResources returns the rejection of a command to acquire leases if other sessions hold all of its resources.
// Such attempts, which members repeat, then need no log entry. All other commands have to be proposed to the log.
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
