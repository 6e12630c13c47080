package session

import (
	"log/slog"
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/timing"
	"rowanlink/cluster/transport"
)

// watcher watches one component of the replicated state.
type watcher struct {
	version          uint64 // version of snapshot; 0: the next poll requests a full snapshot
	snapshot         []byte
	deliver          func(version uint64, snapshot []byte)
	pending          bool   // snapshot was not delivered yet
	deliveredVersion uint64 // version of the last snapshot that was delivered
}

// Watch calls deliver with new snapshots of a component of the replicated state. It always delivers the newest one and
// may skip those in between. Only one callback runs at a time, for all components. A callback that blocks delays the
// callbacks of other components, but no poll, so that a resource that becomes free is still acquired meanwhile.
func (s *Session) Watch(component cluster.ComponentID, deliver func(version uint64, snapshot []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[component] = &watcher{deliver: deliver}
	s.pollWake.Send()
}

// watchLoop long-polls the raft nodes for newer state and freed resources. It changes to another node after each poll
// that returned nothing new, since a node that is partitioned from the others never has anything new.
func (s *Session) watchLoop() {
	node, failures := cluster.MemberID(""), 0
	for !s.isClosed() {
		request := s.watchRequest()
		if len(request.Versions)+len(request.WantedResources) == 0 {
			select {
			case <-s.pollWake:
				continue
			case <-s.ended:
				return
			}
		}
		node = s.Leader.nextNode(node, failures > 0)
		answer, answered := s.pollState(node, request)
		if !answered {
			failures++
			if !s.sleep(timing.RetryBackoff(s.LeaseTTL, failures, s.Leader.drawRandom())) {
				return
			}
			continue
		}
		failures = 0
		s.applyState(answer)
		if len(answer.Components)+len(answer.FreeResources) == 0 {
			node = ""
		}
	}
}

func (s *Session) pollState(node cluster.MemberID, request transport.StateRequest) (answer transport.StateResponse,
	answered bool) {
	within := (timing.LongPollTimeout(s.LeaseTTL) + timing.RequestTimeout(s.LeaseTTL)).Duration()
	response, err := s.Leader.client.Call(node, transport.StatePath, transport.Encode(request), within)
	if err == nil {
		err = response.Decode(&answer)
	}
	if err != nil {
		slog.Debug("poll of the state failed", "raft_node", node, "error", err)
		return answer, false
	}
	return answer, true
}

func (s *Session) watchRequest() transport.StateRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := transport.StateRequest{
		Versions:        map[cluster.ComponentID]uint64{},
		WantedResources: s.reconciler.Blocked(),
		AcceptDeltas:    true,
	}
	for component, w := range s.watchers {
		request.Versions[component] = w.version
	}
	return request
}

func (s *Session) applyState(answer transport.StateResponse) {
	s.markFreed(answer.FreeResources)
	for _, state := range answer.Components {
		s.applyComponent(state)
	}
}

// applyComponent stores a newer version of a component, which is a full snapshot or a delta to the version stored here.
// If a delta can't be applied, the next poll requests the full snapshot.
func (s *Session) applyComponent(state transport.ComponentState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.watchers[state.Component]
	isDelta := state.BaseVersion != 0
	if w == nil || state.Version <= w.version || isDelta && state.BaseVersion != w.version {
		return
	}
	snapshot := state.Data
	if isDelta {
		var err error
		snapshot, err = fsm.ApplyDelta(w.snapshot, state.Data)
		if err != nil {
			slog.Warn("delta does not apply to the cached state, requesting a full snapshot", "component", state.Component, "error", err)
			w.version = 0
			return
		}
		s.DeltasApplied.Add(1)
	}
	w.version, w.snapshot = state.Version, snapshot
	w.pending = state.Version > w.deliveredVersion
	s.deliverWake.Send()
}

// deliverLoop calls the watchers' callbacks until the session is closed.
func (s *Session) deliverLoop() {
	for {
		select {
		case <-s.deliverWake:
		case <-s.ended:
			return
		}
		for s.deliverNext() {
		}
	}
}

// deliverNext delivers one pending snapshot. It returns false if none is pending.
func (s *Session) deliverNext() bool {
	deliver, version, snapshot := s.nextDelivery()
	if deliver == nil {
		return false
	}
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	if !s.isClosed() {
		s.SnapshotsDelivered.Add(1)
		deliver(version, snapshot)
	}
	return true
}

// nextDelivery marks one pending snapshot as delivered and returns it with its callback. The callback is nil if no
// snapshot is pending.
func (s *Session) nextDelivery() (deliver func(uint64, []byte), version uint64, snapshot []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, component := range slices.Sorted(maps.Keys(s.watchers)) {
		w := s.watchers[component]
		if !w.pending {
			continue
		}
		w.pending, w.deliveredVersion = false, w.version
		return w.deliver, w.version, w.snapshot
	}
	return nil, 0, nil
}
