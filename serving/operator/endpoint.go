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

// EndpointResource handles the heartbeats and deregistrations of endpoints.
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

// Heartbeat handles a heartbeat. If it reports that the endpoint is draining, it is acknowledged only once a majority
// of the voters has the endpoint's state on disk. Any other heartbeat is acknowledged only while this member sees a
// majority of the voters live. A partitioned member thus makes its endpoints send their heartbeats to other members,
// whose updates reach the proxies.
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
		// The draining state was ignored. After an acknowledgement the endpoint would expect no more requests and still
		// get some.
		writeError(w, errcode.NotReplicated.With("endpoint %s: a newer heartbeat reports that it accepts requests", endpoint.ID))
		return
	}
	if err := e.replicate(r.Context(), endpoint, change); err != nil {
		writeError(w, err)
		return
	}
	e.acknowledge(w, endpoint)
}

// Deregister handles the deregistration of an endpoint. The endpoint needn't have reported before that it is draining.
// The body is ignored.
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

// replicate sends a change of an endpoint's state to the other members. If the endpoint accepts no new requests,
// replicate returns only once a majority of the voters has the state on disk. Every proxy that isn't partitioned then
// receives it from one of these voters, even if all these voters restart first, and a partitioned member acknowledges
// nothing. Errors are errcode.NotReplicated.
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

// gossip sends the state of an accepting endpoint to the other members if it has changed. It fails with
// errcode.NotReplicated if this member doesn't see a majority of the voters live, so that it may be partitioned.
func (e *EndpointResource) gossip(endpoint state.Endpoint, change endpoints.Change) error {
	if change.Broadcast {
		e.replicator.Put(endpoint)
	}
	if !e.quorum.HasQuorum() {
		return errcode.NotReplicated.With("endpoint %s: too few voters are live", endpoint.ID)
	}
	return nil
}

// acknowledge responds to a heartbeat with the address to send the next heartbeats to.
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

// logHeartbeat logs a heartbeat that registers an endpoint or begins its draining.
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
