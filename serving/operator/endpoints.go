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

// EndpointsResource takes the calls of endpoints.
type EndpointsResource struct {
	endpoints Endpoints
	spread    Spread
	contact   *quorum.Checker
	forward   func(id, zone string) string
	log       *zerolog.Logger
}

// heartbeatAnswer is the body of the answer to a heartbeat.
type heartbeatAnswer struct {
	ForwardTo string `json:"forward_to,omitempty"`
}

// Beat takes a heartbeat. That an endpoint is closing is acknowledged only when a majority of the voters knows it. All
// others are acknowledged while this machine takes a majority for live: one that is cut off sends endpoints on to where
// the dispatchers hear of them.
func (e *EndpointsResource) Beat(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, heartbeatMost)
	if err != nil {
		writeError(w, err)
		return
	}
	beat, err := readHeartbeat(body)
	if err != nil {
		writeError(w, err)
		return
	}
	endpoint, change, ok := e.endpoints.Beat(r.PathValue("id"), beat)
	if !ok {
		writeError(w, errcode.MemberStopping.With(""))
		return
	}
	e.logBeat(endpoint, change)
	if err := e.tellOthers(r.Context(), endpoint, change); err != nil {
		writeError(w, err)
		return
	}
	e.acknowledge(w, endpoint)
}

// SignOff takes an endpoint's last word, whether or not it said before that it was closing. The body counts for
// nothing.
func (e *EndpointsResource) SignOff(w http.ResponseWriter, r *http.Request) {
	endpoint, change, ok := e.endpoints.SignOff(r.PathValue("id"))
	if !ok {
		writeError(w, errcode.MemberStopping.With(""))
		return
	}
	if change.Spread {
		event.EndpointDeregistered.Log(e.log).Str("endpoint", endpoint.ID).Send()
	}
	if err := e.tellOthers(r.Context(), endpoint, change); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, empty)
}

// tellOthers passes on what others must know. For an endpoint that takes no new requests it returns when a majority of
// the voters holds that: each dispatcher that is in touch hears it from one of them, and a machine that is cut off
// acknowledges nothing. Errors are result.NotReplicated.
func (e *EndpointsResource) tellOthers(ctx context.Context, endpoint state.Endpoint, change endpoints.Change) error {
	if endpoint.State == state.EndpointAccepting {
		if change.Spread {
			e.spread.Put(endpoint)
		}
		if !e.contact.HasQuorum() {
			return errcode.NotReplicated.With("endpoint %s: too few voters are live", endpoint.ID)
		}
		return nil
	}
	if change.Copied {
		return nil
	}
	others, copies, known := e.contact.OtherVoters()
	if !known {
		return errcode.NotReplicated.With("endpoint %s: the voters aren't known yet", endpoint.ID)
	}
	limited, cancel := context.WithTimeout(ctx, replicationLimit)
	defer cancel()
	if err := e.spread.PutReplicated(limited, endpoint, others, copies); err != nil {
		event.EndpointNotReplicated.Log(e.log).Str("endpoint", endpoint.ID).Err(err).Send()
		return errcode.NotReplicated.With("endpoint %s: %v", endpoint.ID, err)
	}
	e.endpoints.Copied(endpoint)
	return nil
}

func (e *EndpointsResource) acknowledge(w http.ResponseWriter, endpoint state.Endpoint) {
	var answer heartbeatAnswer
	if e.forward != nil {
		answer.ForwardTo = e.forward(endpoint.ID, endpoint.Zone)
	}
	body, err := json.Marshal(answer)
	if err != nil {
		body = empty
	}
	writeJSON(w, http.StatusOK, body)
}

func (e *EndpointsResource) logBeat(endpoint state.Endpoint, change endpoints.Change) {
	switch {
	case change.New:
		event.EndpointRegistered.Log(e.log).Str("endpoint", endpoint.ID).Str("service", endpoint.Service).
			Str("address", endpoint.Address).Str("zone", endpoint.Zone).Send()
	case change.Spread && endpoint.State == state.EndpointDraining:
		event.EndpointClosing.Log(e.log).Str("endpoint", endpoint.ID).
			Int64("remaining_ms", endpoint.RemovalInMillis).Send()
	}
}
