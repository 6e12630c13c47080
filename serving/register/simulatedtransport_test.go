package register

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rowanlink/internal/ctxsleep"
)

// wire carries the calls of one life of a process.
type wire struct {
	simulation *simulation
	from       *process
}

var errSilence = errors.New("simulated silence")

const (
	leastDelay = 200 * time.Microsecond
	mostDelay  = 20 * time.Millisecond
	lateDelay  = 3 * time.Second
)

func (w *wire) Prepare(ctx context.Context, to string, request *PrepareRequest) (*Vote, error) {
	return carry(ctx, w, to, request, Server.Prepare)
}

func (w *wire) Accept(ctx context.Context, to string, request *AcceptRequest) (*Vote, error) {
	return carry(ctx, w, to, request, Server.Accept)
}

func (w *wire) Query(ctx context.Context, to string, request *QueryRequest) (*Vote, error) {
	return carry(ctx, w, to, request, Server.Query)
}

func (w *wire) Describe(ctx context.Context, to string, request *DescribeRequest) (*Description, error) {
	return carry(ctx, w, to, request, Server.Describe)
}

// carry takes a request to a machine and its answer back, past the points at which faults strike.
func carry[Request, Response any](ctx context.Context, w *wire, to string, request *Request,
	handle func(Server, context.Context, *Request) (*Response, error)) (*Response, error) {
	s := w.simulation
	if !w.from.runs() {
		return nil, errSilence
	}
	struck := s.faults.strike(sendPoint)
	if struck == none {
		struck = s.mishap()
	}
	switch struck {
	case lost:
		return hang[Response](ctx)
	case late:
		go func() { time.Sleep(lateDelay); _, _ = deliver(context.Background(), w, to, request, handle) }()
		return hang[Response](ctx)
	case twice:
		go func() {
			time.Sleep(s.between(0, lateDelay))
			_, _ = deliver(context.Background(), w, to, request, handle)
		}()
	}
	ctxsleep.Sleep(ctx, s.between(leastDelay, mostDelay))
	response, err := deliver(ctx, w, to, request, handle)
	if err != nil {
		return hang[Response](ctx)
	}
	ctxsleep.Sleep(ctx, s.between(leastDelay, mostDelay))
	if s.faults.strike(answerPoint) == lost || s.separated(to, w.from.machine.address) || !w.from.runs() {
		return hang[Response](ctx)
	}
	return response, ctx.Err()
}

// deliver hands a copy of the request to the process that runs at the address now.
func deliver[Request, Response any](ctx context.Context, w *wire, to string, request *Request,
	handle func(Server, context.Context, *Request) (*Response, error)) (*Response, error) {
	if w.simulation.separated(w.from.machine.address, to) || ctx.Err() != nil {
		return nil, errSilence
	}
	for _, m := range w.simulation.all() {
		if m.address != to {
			continue
		}
		process := m.running()
		if process == nil {
			return nil, errSilence
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		response, err := handle(process.server, ctx, copied(request))
		if err != nil || !process.runs() {
			return nil, errSilence
		}
		return copied(response), nil
	}
	return nil, errSilence
}

// copied encodes and decodes a message, as on a real wire.
func copied[Message any](message *Message) *Message {
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

// hang is a call that nobody answers.
func hang[Response any](ctx context.Context) (*Response, error) {
	<-ctx.Done()
	return nil, errSilence
}
