package member

import (
	"context"
	"net/http"
	"time"

	"rowanlink/serving/actor"
	"rowanlink/serving/errcode"
	"rowanlink/serving/gossip"
)

// registerHandlers registers the calls of other members.
func (m *Service) registerHandlers(mux *http.ServeMux) {
	heartbeatMethod.Serve(mux, func(_ context.Context, request *heartbeatRequest) (*heartbeatResponse, error) {
		return respond(m, func(now time.Time, n *node) heartbeatResponse { return n.answerHeartbeat(now, request) })
	})
	pushMethod.Serve(mux, func(_ context.Context, message *gossip.Message) (*pushResponse, error) {
		return respond(m, func(now time.Time, n *node) pushResponse { return n.answerPush(now, *message) })
	})
	compareMethod.Serve(mux, func(_ context.Context, request *compareRequest) (*compareResponse, error) {
		return respond(m, func(now time.Time, n *node) compareResponse { return n.answerCompare(now, request) })
	})
	transferMethod.Serve(mux, func(_ context.Context, request *transferRequest) (*transferResponse, error) {
		return respond(m, func(now time.Time, n *node) transferResponse { return n.answerTransfer(now, request) })
	})
}

// respond runs a command on the node and returns its result, or an error after Close.
func respond[Response any](m *Service, command func(now time.Time, n *node) Response) (*Response, error) {
	response, ok := actor.Call(m.actor, func(n *node) Response {
		response := command(time.Now(), n)
		m.wakeIfDue(n)
		return response
	})
	if !ok {
		return nil, errcode.MeshClosed.With("%s", m.options.Self.Name)
	}
	return &response, nil
}
