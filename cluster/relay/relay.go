// Package relay has a site's sender and its relay speak: it says and hears what cluster/stream decides.
// What a dispatcher keeps and calls is behind Books and Shelf.
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

// The paths that are heard on.
const (
	OpenPath    = "/fleet/stream/open"
	FramePath   = "/fleet/stream"
	ResultsPath = "/fleet/stream/answers"
)

// What a frame or an opening is answered with, but for 200.
const (
	statusFenced   = fasthttp.StatusConflict           // a later run was seen; what is held is told
	statusUnopened = fasthttp.StatusPreconditionFailed // to be opened anew
	statusUnkept   = fasthttp.StatusInsufficientStorage
)

// ResultsMessage is what a relay tells an owner; the answer is which of them the owner's journal has. Learned is of
// their destinations, times by the relay's clock.
type ResultsMessage struct {
	Ack     stream.Ack             `cbor:"1,keyasint"`
	Results []stream.Result        `cbor:"2,keyasint"`
	Learned []api.DestinationState `cbor:"3,keyasint,omitempty"`
}

// OpenMessage is what a sender asks first, with what it learned of the site's destinations while it called
// for them itself, times by its clock.
type OpenMessage struct {
	stream.OpenRequest
	Learned []api.DestinationState `cbor:"8,keyasint,omitempty"`
	SentAt  api.Micros             `cbor:"9,keyasint"`
}

// ShiftClock is what was learned by a clock that shows so much more.
func ShiftClock(all []api.DestinationState, by api.Micros) []api.DestinationState {
	for i := range all {
		l := &all[i]
		for _, at := range []*api.Micros{&l.ObservedAt, &l.WaitUntil, &l.NextCanaryAt, &l.SlowStartSince} {
			if *at > 0 {
				*at += by
			}
		}
	}
	return all
}

// Timing is how fast it goes, by the fleet's term.
type Timing struct {
	RequestTimeout     time.Duration // a message has its answer
	UnreachableTimeout time.Duration // a relay not heard for so long is gone
	PollInterval       time.Duration // between two questions for room, and two tries
}

// TimingFor derives it: a relay that is restarted in a third of a term is not gone.
func TimingFor(term api.Micros) Timing {
	t := time.Duration(term) * time.Microsecond
	return Timing{RequestTimeout: t / 6, UnreachableTimeout: t / 3, PollInterval: t / 60}
}

func status(err error) int {
	switch {
	case err == nil:
		return fasthttp.StatusOK
	case errors.Is(err, cluster.ErrFenced):
		return statusFenced
	case errors.Is(err, stream.ErrNotOpen):
		return statusUnopened
	case errors.Is(err, stream.ErrMalformed):
		return fasthttp.StatusBadRequest
	}
	return statusUnkept
}

// Messenger is how this package says things; *talk.Talk does.
type Messenger interface {
	Call(to cluster.MemberID, path string, body []byte, within time.Duration) (int, []byte, error)
}

var _ Messenger = (*transport.Client)(nil)
