package member

import (
	"context"
	"net/http"
	"time"

	"rowanlink/serving/actor"
	"rowanlink/serving/errcode"
	"rowanlink/serving/gossip"
)

// serve registers the calls of other members.
func (m *Service) serve(mux *http.ServeMux) {
	heartbeatMethod.Serve(mux, func(_ context.Context, request *heartbeatRequest) (*heartbeatResponse, error) {
		return answer(m, func(now time.Time, n *node) heartbeatResponse { return n.heartbeat(now, request) })
	})
	pushMethod.Serve(mux, func(_ context.Context, message *gossip.Message) (*pushResponse, error) {
		return answer(m, func(now time.Time, n *node) pushResponse { return n.receive(now, *message) })
	})
	compareMethod.Serve(mux, func(_ context.Context, request *compareRequest) (*compareResponse, error) {
		return answer(m, func(now time.Time, n *node) compareResponse { return n.compare(now, request) })
	})
	transferMethod.Serve(mux, func(_ context.Context, request *transferRequest) (*transferResponse, error) {
		return answer(m, func(now time.Time, n *node) transferResponse { return n.transfer(now, request) })
	})
}

// answer runs a command on the node and returns its result, or an error after Close.
func answer[Response any](m *Service, command func(now time.Time, n *node) Response) (*Response, error) {
	response, ok := actor.Call(m.owner, func(n *node) Response {
		response := command(time.Now(), n)
		m.wakeFor(n)
		return response
	})
	if !ok {
		return nil, errcode.MeshClosed.With("%s", m.options.Self.Name)
	}
	return &response, nil
}
