package exchange

import (
	"context"
	"net/http"

	"rowanlink/serving/event"
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
)

// ObserveMethod is the call by which an agent reports its proxy's observations of endpoints to a core member.
var ObserveMethod = rpc.Method[ObserveRequest, ObserveResponse]{Procedure: "/rowanlink.endpoints.v1/Observe"}

// ObserveRequest carries the observations of one proxy.
type ObserveRequest struct {
	Observer     string              `cbor:"1,keyasint"` // the member on the proxy's machine
	Observations []state.Observation `cbor:"2,keyasint"`
}

// ObserveResponse acknowledges the observations.
type ObserveResponse struct{}

// Serve adds the handler of ObserveMethod. It gossips the endpoints that observations eject.
func (x *Exchange) Serve(mux *http.ServeMux) {
	ObserveMethod.Serve(mux, func(_ context.Context, request *ObserveRequest) (*ObserveResponse, error) {
		for _, observation := range request.Observations {
			endpoint, ejected, ok := x.table.RecordObservation(request.Observer, observation)
			if ok && ejected {
				event.EndpointFailing.Log(x.log).Str("endpoint", endpoint.ID).Send()
				x.Put(endpoint)
			}
		}
		return &ObserveResponse{}, nil
	})
}
