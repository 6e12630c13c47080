// Package relay connects a site's Sender and the Receiver at its relay: it transmits what cluster/stream decides,
// over cluster/transport. The dispatchers' journals and policies are behind SenderStore and ReceiverStore.
package relay

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/stream"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// The paths of the requests: to the receiver, and of results to their origin.
const (
	OpenPath    = "/fleet/stream/open"
	FramePath   = "/fleet/stream"
	ResultsPath = "/fleet/stream/answers"
)

// The status codes of responses to frames and requests to open, besides 200.
const (
	statusFenced    = fasthttp.StatusConflict           // a later generation was seen; the ack is valid
	statusNotOpen   = fasthttp.StatusPreconditionFailed // the stream has to be opened again
	statusNotStored = fasthttp.StatusInsufficientStorage
)

// ResultsMessage reports results to their origin, which responds with the deliveries whose results its journal has.
type ResultsMessage struct {
	Ack     stream.Ack      `cbor:"1,keyasint"`
	Results []stream.Result `cbor:"2,keyasint"`
	// DestinationStates has what the relay knows of the destinations; times are of its clock.
	DestinationStates []api.DestinationState `cbor:"3,keyasint,omitempty"`
}

// OpenMessage is a request to open a stream.
type OpenMessage struct {
	stream.OpenRequest
	// DestinationStates has what the sender learned of the site's destinations while it called them itself; times
	// are of its clock.
	DestinationStates []api.DestinationState `cbor:"8,keyasint,omitempty"`
	SentAt            api.Micros             `cbor:"9,keyasint"`
}

// ShiftClock adds the difference between two clocks to the times of the states, and returns them.
func ShiftClock(states []api.DestinationState, by api.Micros) []api.DestinationState {
	for i := range states {
		s := &states[i]
		for _, at := range []*api.Micros{&s.ObservedAt, &s.WaitUntil, &s.NextCanaryAt, &s.SlowStartSince} {
			if *at > 0 {
				*at += by
			}
		}
	}
	return states
}

// Timing has the time-outs and intervals of streams.
type Timing struct {
	RequestTimeout     time.Duration
	UnreachableTimeout time.Duration // a relay without contact for so long counts as unreachable
	PollInterval       time.Duration // between two requests for credit, and between two attempts
}

// TimingFor derives the timing from the lease TTL: a relay that restarts within a third of it does not become
// unreachable.
func TimingFor(ttl api.Micros) Timing {
	t := time.Duration(ttl) * time.Microsecond
	return Timing{RequestTimeout: t / 6, UnreachableTimeout: t / 3, PollInterval: t / 60}
}

func statusOf(err error) int {
	switch {
	case err == nil:
		return fasthttp.StatusOK
	case errors.Is(err, cluster.ErrFenced):
		return statusFenced
	case errors.Is(err, stream.ErrNotOpen):
		return statusNotOpen
	case errors.Is(err, stream.ErrMalformed):
		return fasthttp.StatusBadRequest
	}
	return statusNotStored
}

// Messenger sends a request to a member and returns the status and body of the response. It is implemented by
// *transport.Client.
type Messenger interface {
	Call(to cluster.MemberID, path string, body []byte, timeout time.Duration) (transport.Response, error)
}

var _ Messenger = (*transport.Client)(nil)
