package member

import (
	"context"
	"net/http"
	"time"

	"rowanlink/serving/actor"
	"rowanlink/serving/errcode"
	"rowanlink/serving/gossip"
)

// registerHandlers registers the handlers of other members' calls.
func (s *Service) registerHandlers(mux *http.ServeMux) {
	heartbeatMethod.Serve(mux, func(_ context.Context, request *heartbeatRequest) (*heartbeatResponse, error) {
		return respond(s, func(now time.Time, n *node) heartbeatResponse { return n.handleHeartbeat(now, request) })
	})
	probeMethod.Serve(mux, func(ctx context.Context, request *probeRequest) (*probeResponse, error) {
		return &probeResponse{Responded: s.caller.relayProbe(ctx, request)}, nil
	})
	pushMethod.Serve(mux, s.servePush)
	compareMethod.Serve(mux, func(_ context.Context, request *compareRequest) (*compareResponse, error) {
		return respond(s, func(now time.Time, n *node) compareResponse { return n.handleCompare(now, request) })
	})
	transferMethod.Serve(mux, func(_ context.Context, request *transferRequest) (*transferResponse, error) {
		return respond(s, func(now time.Time, n *node) transferResponse { return n.handleTransfer(now, request) })
	})
}

// servePush stores the entries of a message. If the sender requests it, servePush responds only once the entries are on
// disk (Message.Durable), or once this process has applied those that the message names (Message.Await).
func (s *Service) servePush(ctx context.Context, message *gossip.Message) (*pushResponse, error) {
	response, err := respond(s, func(now time.Time, n *node) pushResponse { return n.handlePush(now, *message) })
	if err != nil {
		return nil, err
	}
	if message.Durable {
		err = s.persist(ctx, message.Entries)
	}
	if err == nil {
		err = s.awaitApplied(ctx, message.Await)
	}
	if err != nil {
		return nil, err
	}
	return response, nil
}

// respond runs a command on the node's goroutine and returns its result; errcode.MembershipClosed after Close.
func respond[Response any](s *Service, command func(now time.Time, n *node) Response) (*Response, error) {
	response, ok := actor.Call(s.actor, func(n *node) Response {
		response := command(time.Now(), n)
		s.wakeIfDue(n)
		return response
	})
	if !ok {
		return nil, errcode.MembershipClosed.With("%s", s.options.Self.Name)
	}
	return &response, nil
}
