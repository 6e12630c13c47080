package endpoints

import (
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

const (
	// lateHeartbeatTimeout is how long after its departure heartbeats of an endpoint may still arrive.
	lateHeartbeatTimeout = 10 * time.Second
	// maxRemovedEndpoints bounds the departed endpoints that are remembered after their removal from the table.
	maxRemovedEndpoints = 8192
)

// sequenceRestart is a heartbeat with a sequence that the process of a departed endpoint had passed before.
type sequenceRestart struct {
	sequence uint64
	at       time.Time
}

// isNewRegistration reports whether a heartbeat comes from a new process that has registered under the ID of an endpoint
// that has departed or is draining. A process keeps its address and its sequence rises: a new process has another
// address, or has begun to count anew. The latter takes two heartbeats, and that the departure is long enough ago, since
// a heartbeat may be late.
func (t *Table) isNewRegistration(now time.Time, e *entry, heartbeat Heartbeat) bool {
	former := &e.endpoint
	switch {
	case former.State == state.EndpointAccepting || heartbeat.Draining:
		return false
	case former.Address != "" && heartbeat.Address != former.Address:
		return true
	case e.restart.at.IsZero() && heartbeat.Sequence > lastSequence(e.endpoint):
		return false
	case e.restart.at.IsZero() || heartbeat.Sequence <= e.restart.sequence:
		e.restart = sequenceRestart{sequence: heartbeat.Sequence, at: now}
		return false
	}
	isDepartureOld := former.State == state.EndpointDeparted && now.Sub(e.departedAt) >= lateHeartbeatTimeout
	return isDepartureOld && now.Sub(e.restart.at) >= t.options.HeartbeatInterval/2
}

// isOfEarlierRegistration reports whether a heartbeat comes from a process that another one has replaced under its ID.
func isOfEarlierRegistration(current state.Endpoint, heartbeat Heartbeat) bool {
	return current.Registration > 0 &&
		current.State != state.EndpointDeparted &&
		current.Address != heartbeat.Address
}

// lastSequence returns the last known sequence of an endpoint's heartbeats.
func lastSequence(e state.Endpoint) uint64 {
	if e.Sequence == deregisteredSequence {
		return e.LastSequence
	}
	return e.Sequence
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
