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

// EndpointResource takes the calls of endpoints.
type EndpointResource struct {
	endpoints  Endpoints
	replicator Replicator
	quorum     *quorum.Checker
	forwardTo  func(id, zone string) string
	log        *zerolog.Logger
}

// heartbeatResponse is the body of the answer to a heartbeat.
type heartbeatResponse struct {
	ForwardTo string `json:"forward_to,omitempty"`
}

// Heartbeat takes a heartbeat. That an endpoint is closing is acknowledged only when a majority of the voters knows it. All
// others are acknowledged while this machine takes a majority for live: one that is cut off sends endpoints on to where
// the dispatchers hear of them.
func (e *EndpointResource) Heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, maxHeartbeatBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	beat, err := readHeartbeat(body)
	if err != nil {
		writeError(w, err)
		return
	}
	endpoint, change, ok := e.endpoints.ReceiveHeartbeat(r.PathValue("id"), beat)
	if !ok {
		writeError(w, errcode.MemberStopping.With(""))
		return
	}
	e.logHeartbeat(endpoint, change)
	if err := e.replicate(r.Context(), endpoint, change); err != nil {
		writeError(w, err)
		return
	}
	e.acknowledge(w, endpoint)
}

// Deregister takes an endpoint's last word, whether or not it said before that it was closing. The body counts for
// nothing.
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

// replicate passes on what others must know. For an endpoint that takes no new requests it returns when a majority of
// the voters holds that: each dispatcher that is in touch hears it from one of them, and a machine that is cut off
// acknowledges nothing. Errors are errcode.NotReplicated.
func (e *EndpointResource) replicate(ctx context.Context, endpoint state.Endpoint, change endpoints.Change) error {
	if endpoint.State == state.EndpointAccepting {
		if change.Broadcast {
			e.replicator.Put(endpoint)
		}
		if !e.quorum.HasQuorum() {
			return errcode.NotReplicated.With("endpoint %s: too few voters are live", endpoint.ID)
		}
		return nil
	}
	if change.Replicated {
		return nil
	}
	others, copies, known := e.quorum.OtherVoters()
	if !known {
		return errcode.NotReplicated.With("endpoint %s: the voters aren't known yet", endpoint.ID)
	}
	limited, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	if err := e.replicator.PutReplicated(limited, endpoint, others, copies); err != nil {
		event.EndpointNotReplicated.Log(e.log).Str("endpoint", endpoint.ID).Err(err).Send()
		return errcode.NotReplicated.With("endpoint %s: %v", endpoint.ID, err)
	}
	e.endpoints.MarkReplicated(endpoint)
	return nil
}

func (e *EndpointResource) acknowledge(w http.ResponseWriter, endpoint state.Endpoint) {
	var answer heartbeatResponse
	if e.forwardTo != nil {
		answer.ForwardTo = e.forwardTo(endpoint.ID, endpoint.Zone)
	}
	body, err := json.Marshal(answer)
	if err != nil {
		body = emptyBody
	}
	writeJSON(w, http.StatusOK, body)
}

func (e *EndpointResource) logHeartbeat(endpoint state.Endpoint, change endpoints.Change) {
	switch {
	case change.New:
		event.EndpointRegistered.Log(e.log).Str("endpoint", endpoint.ID).Str("service", endpoint.Service).
			Str("address", endpoint.Address).Str("zone", endpoint.Zone).Send()
	case change.Broadcast && endpoint.State == state.EndpointDraining:
		event.EndpointClosing.Log(e.log).Str("endpoint", endpoint.ID).
			Int64("remaining_ms", endpoint.RemovalInMillis).Send()
	}
}
