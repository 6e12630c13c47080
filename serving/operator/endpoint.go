package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rs/zerolog"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/errcode"
	"rowanlink/serving/event"
	"rowanlink/serving/quorum"
	"rowanlink/serving/state"
)

// EndpointResource handles the requests of endpoints.
type EndpointResource struct {
	endpoints  Endpoints
	replicator Replicator
	quorum     *quorum.Checker
	forwardTo  func(id, zone string) string
	log        *zerolog.Logger
}

// heartbeatResponse is the body of the response to a heartbeat.
type heartbeatResponse struct {
	ForwardTo string `json:"forward_to,omitempty"`
}

// Heartbeat handles a heartbeat. The heartbeat of a closing endpoint is acknowledged only once a majority of the voters
// has its state on disk. All others are acknowledged while this member sees a majority of the voters live: a partitioned
// member thus makes endpoints fail over to members that the dispatchers receive updates from.
func (e *EndpointResource) Heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, maxHeartbeatBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	heartbeat, err := parseHeartbeat(body)
	if err != nil {
		writeError(w, err)
		return
	}
	endpoint, change, ok := e.endpoints.ReceiveHeartbeat(r.PathValue("id"), heartbeat)
	if !ok {
		writeError(w, errcode.MemberStopping.With(""))
		return
	}
	e.logHeartbeat(endpoint, change)
	if change.CheckSuccessor {
		e.replicator.CheckSuccessor(endpoint.ID, heartbeat)
	}
	if heartbeat.Draining && endpoint.State == state.EndpointAccepting {
		// The endpoint would count on having left.
		writeError(w, errcode.NotReplicated.With("endpoint %s: a newer heartbeat says that it accepts requests", endpoint.ID))
		return
	}
	if err := e.replicate(r.Context(), endpoint, change); err != nil {
		writeError(w, err)
		return
	}
	e.acknowledge(w, endpoint)
}

// Deregister handles the deregistration of an endpoint, whether or not it has reported before that it is closing. The
// body is ignored.
func (e *EndpointResource) Deregister(w http.ResponseWriter, r *http.Request) {
	endpoint, change, ok := e.endpoints.Deregister(r.PathValue("id"))
	if !ok {
		writeError(w, errcode.MemberStopping.With(""))
		return
	}
	if change.Broadcast {
		event.EndpointDeregistered.Log(e.log).Str("endpoint", endpoint.ID).Send()
	}
	if err := e.replicate(r.Context(), endpoint, change); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, emptyBody)
}

// replicate sends a change to the other members. For an endpoint that accepts no new requests it returns once a
// majority of the voters has the change on disk: each dispatcher that isn't partitioned receives it from one of them,
// also after all of them have restarted, and a partitioned member acknowledges nothing. Errors are
// errcode.NotReplicated.
func (e *EndpointResource) replicate(ctx context.Context, endpoint state.Endpoint, change endpoints.Change) error {
	if endpoint.State == state.EndpointAccepting {
		return e.gossip(endpoint, change)
	}
	if change.Replicated {
		return nil
	}
	targets, known := e.quorum.Targets()
	if !known {
		return errcode.NotReplicated.With("endpoint %s: the voters aren't known yet", endpoint.ID)
	}
	if !e.quorum.HasQuorum() {
		e.replicator.Put(endpoint)
		return errcode.NotReplicated.With("endpoint %s: too few voters are live", endpoint.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	if err := e.replicator.PutReplicated(ctx, endpoint, targets); err != nil {
		event.EndpointNotReplicated.Log(e.log).Str("endpoint", endpoint.ID).Err(err).Send()
		return errcode.NotReplicated.With("endpoint %s: %v", endpoint.ID, err)
	}
	e.endpoints.MarkReplicated(endpoint)
	return nil
}

// gossip sends a change of an accepting endpoint, if there is one, and fails if this member seems partitioned.
func (e *EndpointResource) gossip(endpoint state.Endpoint, change endpoints.Change) error {
	if change.Broadcast {
		e.replicator.Put(endpoint)
	}
	if !e.quorum.HasQuorum() {
		return errcode.NotReplicated.With("endpoint %s: too few voters are live", endpoint.ID)
	}
	return nil
}

func (e *EndpointResource) acknowledge(w http.ResponseWriter, endpoint state.Endpoint) {
	var response heartbeatResponse
	if e.forwardTo != nil {
		response.ForwardTo = e.forwardTo(endpoint.ID, endpoint.Zone)
	}
	body, err := json.Marshal(response)
	if err != nil {
		body = emptyBody
	}
	writeJSON(w, http.StatusOK, body)
}

func (e *EndpointResource) logHeartbeat(endpoint state.Endpoint, change endpoints.Change) {
	switch {
	case change.New:
		event.EndpointRegistered.Log(e.log).
			Str("endpoint", endpoint.ID).
			Str("service", endpoint.Service).
			Str("address", endpoint.Address).
			Str("zone", endpoint.Zone).
			Send()
	case change.Broadcast && endpoint.State == state.EndpointDraining:
		event.EndpointClosing.Log(e.log).
			Str("endpoint", endpoint.ID).
			Int64("remaining_ms", endpoint.RemovalInMillis).
			Send()
	}
}
