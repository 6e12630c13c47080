package endpoints

import (
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

// maxRemovedEndpoints bounds the number of departed endpoints that removedEndpoints holds.
const maxRemovedEndpoints = 8192

// mayBeSuccessor reports whether a stale heartbeat (see receiveStaleHeartbeat) may come from a new process, a
// successor, that has registered under the ID of an earlier one and counts its calls anew. That is possible if the
// known process has departed, is draining or is unresponsive. The heartbeat may as well be a delayed one of the known
// process, even if that departed long ago: only the process at the heartbeat's address can tell, so it has to be asked.
//
// If the check of such a delayed heartbeat is answered by a successor at the same address, the table stores the former
// process's sequence for the successor. The successor's own heartbeats, with lower sequences, are then stale until it
// is marked as unresponsive and is checked again.
func mayBeSuccessor(former state.Endpoint, heartbeat Heartbeat) bool {
	isServing := former.State == state.EndpointAccepting && !former.Unresponsive
	return !isServing && !heartbeat.Draining
}

// isSuccessorDraining reports whether a stale heartbeat with Draining set counts nevertheless, because the table has a
// former process's sequence for the present one (see mayBeSuccessor). It counts if the ID has had several processes and
// the table has the endpoint as accepting requests at the same address: a process that is draining never accepts
// requests again, so the known sequence can't be from the process that sent the heartbeat. If the heartbeat is a
// delayed one of a former process instead, the next heartbeat of the present process corrects the state.
func isSuccessorDraining(known state.Endpoint, heartbeat Heartbeat) bool {
	return heartbeat.Draining &&
		heartbeat.Sequence <= known.Sequence &&
		known.State == state.EndpointAccepting &&
		known.Address == heartbeat.Address &&
		known.Registration > 0
}

// ResolveSuccessor takes the result of the check that ReceiveHeartbeat has requested by Change.CheckSuccessor.
// confirmed means that the process at the heartbeat's address accepts requests under the endpoint's ID; it is then
// registered with its remaining warm-up time. ResolveSuccessor returns false if the process isn't registered: it wasn't
// confirmed, or the endpoint has changed since the check was requested, which may mean that the new process itself has
// departed.
func (t *Table) ResolveSuccessor(now time.Time, id string, confirmed bool, warmupLeft time.Duration) (state.Endpoint, bool) {
	e, known := t.entries[id]
	if !known || e.successor == nil {
		return state.Endpoint{}, false
	}
	heartbeat := *e.successor
	e.successor = nil
	if !confirmed {
		return state.Endpoint{}, false
	}
	heartbeat.WarmupLeft = max(heartbeat.WarmupLeft, warmupLeft)
	former := e.endpoint
	e.endpoint.Registration++
	t.acceptHeartbeat(now, e, former, heartbeat)
	return e.snapshotAt(now), true
}

// isOfEarlierRegistration reports whether a heartbeat comes from a process that another one, at another address, has
// replaced under the same ID.
func isOfEarlierRegistration(current state.Endpoint, heartbeat Heartbeat) bool {
	return current.Registration > 0 &&
		current.State != state.EndpointDeparted &&
		current.Address != heartbeat.Address
}

// removedEndpoints holds the last versions of departed endpoints that were removed from the table. The other members'
// gossip still retains these versions and drops older ones, so a new process under the same ID needs a newer version.
type removedEndpoints struct{ byID map[string]removedEndpoint }

type removedEndpoint struct {
	version      gossip.Version
	registration uint64
	position     uint64 // of the table at the removal
}

func newRemovedEndpoints() removedEndpoints {
	return removedEndpoints{byID: map[string]removedEndpoint{}}
}

// add records a removed endpoint. It drops the oldest record if there are maxRemovedEndpoints already.
func (r *removedEndpoints) add(position uint64, removed state.Endpoint) {
	if len(r.byID) >= maxRemovedEndpoints {
		r.dropOldest()
	}
	r.byID[removed.ID] = removedEndpoint{
		version:      VersionOf(removed),
		registration: removed.Registration,
		position:     position,
	}
}

func (r *removedEndpoints) dropOldest() {
	var oldestID string
	var oldest uint64
	for id, removed := range r.byID {
		if oldestID == "" || removed.position < oldest {
			oldestID = id
			oldest = removed.position
		}
	}
	delete(r.byID, oldestID)
}

// raiseRegistration raises the registration of an endpoint that has come back after its removal, so that its version is
// newer than the removed one. It does nothing if the version is newer anyway.
func (r *removedEndpoints) raiseRegistration(endpoint *state.Endpoint) {
	removed, exists := r.byID[endpoint.ID]
	if exists && !removed.version.Less(VersionOf(*endpoint)) {
		endpoint.Registration = removed.registration + 1
	}
}
