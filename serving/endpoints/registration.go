package endpoints

import (
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

// maxRemovedEndpoints bounds the departed endpoints that are remembered after their removal from the table.
const maxRemovedEndpoints = 8192

// mayBeSuccessor reports whether a heartbeat that is no newer than what is known may come from a new process that has
// registered under the ID of an endpoint that has departed, is draining, or sends no newer ones any more. It may as
// well be a late one of the former process, however long ago that has departed: only the endpoint itself can tell.
func mayBeSuccessor(former state.Endpoint, heartbeat Heartbeat) bool {
	isServing := former.State == state.EndpointAccepting && !former.Unresponsive
	return !isServing && !heartbeat.Draining
}

// closesSuccessor reports whether a heartbeat that is no newer than what is known says that an endpoint is closing
// which counts as accepting. A process that has said that never accepts again, so that the known count is another
// process's under the same ID and address, and the ID has had several. If the heartbeat is a late one of a former
// process instead, the next one of the present process corrects that.
func closesSuccessor(known state.Endpoint, heartbeat Heartbeat) bool {
	return heartbeat.Draining &&
		heartbeat.Sequence <= known.Sequence &&
		known.State == state.EndpointAccepting &&
		known.Address == heartbeat.Address &&
		known.Registration > 0
}

// ResolveSuccessor ends the check that ReceiveHeartbeat has requested by Change.CheckSuccessor. Where the process at
// the heartbeat's address has confirmed that it accepts requests under the endpoint's ID, it is registered, with the
// time that it still warms up. It returns false if it wasn't confirmed, or if the endpoint has changed since the
// request: the successor itself may have departed.
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

// isOfEarlierRegistration reports whether a heartbeat comes from a process that another one has replaced under its ID.
func isOfEarlierRegistration(current state.Endpoint, heartbeat Heartbeat) bool {
	return current.Registration > 0 &&
		current.State != state.EndpointDeparted &&
		current.Address != heartbeat.Address
}

// removedEndpoints remembers departed endpoints that have left the table. Other members retain their versions, so that
// a new process under the same ID is known to them only with a newer one.
type removedEndpoints struct{ byID map[string]removedEndpoint }

type removedEndpoint struct {
	version      gossip.Version
	registration uint64
	position     uint64 // of its removal
}

func newRemovedEndpoints() removedEndpoints {
	return removedEndpoints{byID: map[string]removedEndpoint{}}
}

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

// raiseRegistration raises the registration of an endpoint that has come back, unless its version is newer anyway.
func (r *removedEndpoints) raiseRegistration(endpoint *state.Endpoint) {
	removed, exists := r.byID[endpoint.ID]
	if exists && !removed.version.Less(VersionOf(*endpoint)) {
		endpoint.Registration = removed.registration + 1
	}
}
