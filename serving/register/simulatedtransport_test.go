package register

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rowanlink/internal/ctxsleep"
)

// simulatedTransport carries the calls of one run of a process.
type simulatedTransport struct {
	simulation *simulation
	from       *processRun
}

var errNoAnswer = errors.New("simulated call without an answer")

const (
	minDelay  = 200 * time.Microsecond // of a message
	maxDelay  = 20 * time.Millisecond
	longDelay = 3 * time.Second // of a message that arrives after its call's time-out
)

func (w *simulatedTransport) Prepare(ctx context.Context, to string, request *PrepareRequest) (*Vote, error) {
	return roundTrip(ctx, w, to, request, Server.Prepare)
}

func (w *simulatedTransport) Accept(ctx context.Context, to string, request *AcceptRequest) (*Vote, error) {
	return roundTrip(ctx, w, to, request, Server.Accept)
}

func (w *simulatedTransport) Query(ctx context.Context, to string, request *QueryRequest) (*Vote, error) {
	return roundTrip(ctx, w, to, request, Server.Query)
}

func (w *simulatedTransport) Describe(ctx context.Context, to string, request *DescribeRequest) (*Description, error) {
	return roundTrip(ctx, w, to, request, Server.Describe)
}

// roundTrip carries a request to a machine and its answer back, and injects the faults of both directions.
func roundTrip[Request, Response any](ctx context.Context, w *simulatedTransport, to string, request *Request,
	handle func(Server, context.Context, *Request) (*Response, error)) (*Response, error) {
	s := w.simulation
	if !w.from.isRunning() {
		return nil, errNoAnswer
	}
	fault := s.faults.next(beforeRequest)
	if fault == noFault {
		fault = s.randomNetworkFault()
	}
	switch fault {
	case messageLost:
		return nil, awaitTimeout(ctx)
	case messageDelayed:
		go func() {
			time.Sleep(longDelay)
			_, _ = deliverRequest(context.WithoutCancel(ctx), w, to, request, handle)
		}()
		return nil, awaitTimeout(ctx)
	case messageDuplicated:
		go func() {
			time.Sleep(s.randomDuration(0, longDelay))
			_, _ = deliverRequest(context.WithoutCancel(ctx), w, to, request, handle)
		}()
	}
	ctxsleep.Sleep(ctx, s.randomDuration(minDelay, maxDelay))
	response, err := deliverRequest(ctx, w, to, request, handle)
	if err != nil {
		return nil, awaitTimeout(ctx)
	}
	ctxsleep.Sleep(ctx, s.randomDuration(minDelay, maxDelay))
	if s.faults.next(beforeResponse) == messageLost || s.isPartitioned(to, w.from.machine.address) || !w.from.isRunning() {
		return nil, awaitTimeout(ctx)
	}
	return response, ctx.Err()
}

// deliverRequest passes a copy of the request to the process that runs at the address now.
func deliverRequest[Request, Response any](ctx context.Context, w *simulatedTransport, to string, request *Request,
	handle func(Server, context.Context, *Request) (*Response, error)) (*Response, error) {
	if w.simulation.isPartitioned(w.from.machine.address, to) || ctx.Err() != nil {
		return nil, errNoAnswer
	}
	for _, m := range w.simulation.all() {
		if m.address != to {
			continue
		}
		process := m.running()
		if process == nil {
			return nil, errNoAnswer
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		response, err := handle(process.server, ctx, reencode(request))
		if err != nil || !process.isRunning() {
			return nil, errNoAnswer
		}
		return reencode(response), nil
	}
	return nil, errNoAnswer
}

// reencode returns a decoded copy of a message, as a real transport would deliver it.
func reencode[Message any](message *Message) *Message {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	into := new(Message)
	if err := cbor.Unmarshal(encoded, into); err != nil {
		panic(err)
	}
	return into
}

// awaitTimeout is the result of a call that gets no answer: it returns when the caller's context ends.
func awaitTimeout(ctx context.Context) error {
	<-ctx.Done()
	return errNoAnswer
}
