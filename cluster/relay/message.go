// Package relay runs the stream between the member that sends to a site and the member that is the site's relay: it does
// the I/O for the protocol of cluster/stream, over cluster/transport. SenderStore and ReceiverStore are the interfaces to
// the dispatchers' journals and delivery policies.
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

// The request paths: the receiver serves OpenPath and FramePath, the origin of deliveries serves ResultsPath.
const (
	OpenPath    = "/fleet/stream/open"
	FramePath   = "/fleet/stream"
	ResultsPath = "/fleet/stream/answers"
)

// The status codes, besides 200, of responses to a frame or a request to open.
const (
	statusFenced    = fasthttp.StatusConflict            // the relay has seen a later generation; the body is a valid ack
	statusNotOpen   = fasthttp.StatusPreconditionFailed  // the sender has to open the stream again
	statusNotStored = fasthttp.StatusInsufficientStorage // the relay's write failed; the sender may retry
)

// ResultsMessage reports results to their origin. The response lists the deliveries whose results are in the origin's
// journal.
type ResultsMessage struct {
	Ack     stream.Ack      `cbor:"1,keyasint"`
	Results []stream.Result `cbor:"2,keyasint"`
	// DestinationStates are the states of the results' destinations as the relay observed them. Times are by its clock.
	DestinationStates []api.DestinationState `cbor:"3,keyasint,omitempty"`
}

// OpenMessage is a request to open a stream.
type OpenMessage struct {
	stream.OpenRequest
	// DestinationStates are the states of the site's destinations as the sender observed them while it called them itself.
	// Times are by the sender's clock.
	DestinationStates []api.DestinationState `cbor:"8,keyasint,omitempty"`
	SentAt            api.Micros             `cbor:"9,keyasint"` // by the sender's clock
}

// ShiftClock converts the times in states from another member's clock: it adds by, the difference between the clocks, in
// place, and returns states. Unset times stay.
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

// Timing holds the time-outs and intervals of a stream.
type Timing struct {
	RequestTimeout     time.Duration
	UnreachableTimeout time.Duration // time without contact after which the relay counts as unreachable
	PollInterval       time.Duration // delay between expiry checks, and before a failed request is retried
}

// TimingFor derives the timing from the lease TTL. A relay whose restart takes less than a third of the TTL does not count
// as unreachable.
func TimingFor(ttl api.Micros) Timing {
	t := time.Duration(ttl) * time.Microsecond
	return Timing{RequestTimeout: t / 6, UnreachableTimeout: t / 3, PollInterval: t / 60}
}

// statusOf returns the status code for an error of stream.Receiver or of ReceiverStore.Persist.
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

// Messenger sends a request to a member and returns the status and body of the response. *transport.Client implements it.
type Messenger interface {
	Call(to cluster.MemberID, path string, body []byte, timeout time.Duration) (transport.Response, error)
}

var _ Messenger = (*transport.Client)(nil)
