package exchange

import (
	"context"
	"net/http"

	"rowanlink/serving/event"
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
)

// ObserveMethod is the call by which an agent tells a core member what its proxy has seen of endpoints.
var ObserveMethod = rpc.Method[ObserveRequest, ObserveResponse]{Procedure: "/rowanlink.endpoints.v1/Observe"}

// ObserveRequest is what one proxy has seen.
type ObserveRequest struct {
	Observer     string              `cbor:"1,keyasint"` // the member that stands beside the proxy
	Observations []state.Observation `cbor:"2,keyasint"`
}

// ObserveResponse acknowledges.
type ObserveResponse struct{}

// Serve registers the answer to Observe.
func (x *Exchange) Serve(mux *http.ServeMux) {
	ObserveMethod.Serve(mux, func(_ context.Context, request *ObserveRequest) (*ObserveResponse, error) {
		for _, told := range request.Observations {
			endpoint, marked, ok := x.table.RecordObservation(request.Observer, told)
			if ok && marked {
				event.EndpointFailing.Log(x.log).Str("endpoint", endpoint.ID).Send()
				x.Put(endpoint)
			}
		}
		return &ObserveResponse{}, nil
	})
}
