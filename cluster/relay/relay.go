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
	AnswersPath = "/fleet/stream/answers"
)

// What a frame or an opening is answered with, but for 200.
const (
	statusFenced   = fasthttp.StatusConflict           // a later run was seen; what is held is told
	statusUnopened = fasthttp.StatusPreconditionFailed // to be opened anew
	statusUnkept   = fasthttp.StatusInsufficientStorage
)

// Ends is what a relay tells an owner; the answer is which of them the owner's journal has. Learned is of
// their destinations, times by the relay's clock.
type Ends struct {
	Answer  stream.Answer `cbor:"1,keyasint"`
	Ends    []stream.End  `cbor:"2,keyasint"`
	Learned []api.Learned `cbor:"3,keyasint,omitempty"`
}

// Opening is what a sender asks first, with what it learned of the site's destinations while it called
// for them itself, times by its clock.
type Opening struct {
	stream.Ask
	Learned []api.Learned `cbor:"8,keyasint,omitempty"`
	At      api.Micros    `cbor:"9,keyasint"`
}

// Shifted is what was learned by a clock that shows so much more.
func Shifted(all []api.Learned, by api.Micros) []api.Learned {
	for i := range all {
		l := &all[i]
		for _, at := range []*api.Micros{&l.At, &l.WaitUntil, &l.CanaryAt, &l.ColdSince} {
			if *at > 0 {
				*at += by
			}
		}
	}
	return all
}

// Pace is how fast it goes, by the fleet's term.
type Pace struct {
	Within time.Duration // a message has its answer
	Gone   time.Duration // a relay not heard for so long is gone
	Poll   time.Duration // between two questions for room, and two tries
}

// PaceOf derives it: a relay that is restarted in a third of a term is not gone.
func PaceOf(term api.Micros) Pace {
	t := time.Duration(term) * time.Microsecond
	return Pace{Within: t / 6, Gone: t / 3, Poll: t / 60}
}

func status(err error) int {
	switch {
	case err == nil:
		return fasthttp.StatusOK
	case errors.Is(err, cluster.ErrFenced):
		return statusFenced
	case errors.Is(err, stream.ErrUnopened):
		return statusUnopened
	case errors.Is(err, stream.ErrForm):
		return fasthttp.StatusBadRequest
	}
	return statusUnkept
}

// Said is how this package says things; *talk.Talk does.
type Said interface {
	Call(to cluster.MemberID, path string, body []byte, within time.Duration) (int, []byte, error)
}

var _ Said = (*transport.Client)(nil)
