// Package stream decides how a site's sender and its relay speak: what is packed together, in which order
// and how much of it is out, what is said again after a cut, and who is owed which end. No I/O, no clock, no
// chance.
//
// Whoever calls a Sender asks for Free after each Add, Ended, Gone, Leaves and Opened, and for Next when Due
// says so. What Next brings is noted in the journal before its first byte leaves.
package stream

import (
	"errors"
	"strconv"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// What a frame or an opening is refused with, beside cluster.ErrFenced. Nothing of it was taken.
var (
	ErrNotOpen   = errors.New("streams: the relay knows no such run: it has to be opened anew")
	ErrMalformed = errors.New("streams: not read")
)

// MessageID is a webhook's or an announcement's over the whole fleet, from its owner's journal to its end.
type MessageID struct {
	_           struct{}         `cbor:",toarray"`
	Origin      cluster.MemberID `cbor:"Owner"` // hears how it ended
	Incarnation uint64           `cbor:"Life"`  // of the owner's folder: numbers begin anew with it
	Number      uint64           `cbor:"ID"`    // never used twice in that life
}

// Delivery is what ends by itself: one name for one subscriber.
type Delivery struct {
	_           struct{}          `cbor:",toarray"`
	Message     MessageID         `cbor:"Name"`
	Destination api.DestinationID `cbor:"To"`
}

// Item is a webhook or an announcement for subscribers of one site. Its times are of the sender's clock, at
// the relay of the relay's. Of an announcement whose subscribers differ in their past there are several.
type Item struct {
	ID             MessageID
	RequestID      string // id that the client gave
	IsAnnouncement bool   // an announcement
	EventType      api.EventTypeID
	Tenant         api.TenantID
	Token          string
	Key            api.OrderingKey // 0 but of ordered event types
	TTL            api.Micros
	Attempts       int
	FirstAttemptAt api.Micros // first attempt that may have run, or api.Never
	Zone           api.ZoneID // of that attempt's endpoint
	Body           []byte
	Destinations   []api.DestinationID

	// Tokened: how long a token is remembered, else 0. The relay may call for so long after it was sent and no
	// longer: whatever its owner then sends by itself comes within that time too.
	TokenWindow api.Micros
}

// SubscriberSeparator stands between an announcement's request id and a subscriber's number.
const SubscriberSeparator = ".dest="

// RequestIDFor is the request id of the delivery to one subscriber.
func (i *Item) RequestIDFor(to api.DestinationID) string {
	if !i.IsAnnouncement {
		return i.RequestID
	}
	return i.RequestID + SubscriberSeparator + strconv.FormatUint(uint64(to), 10)
}

// Generation is one opening of a stream. A sender that finds its relay again after it was gone opens a further one:
// a frame of the one before that is late on its way is then refused, so that "never taken" stays true.
type Generation struct {
	_      struct{}      `cbor:",toarray"`
	Epoch  cluster.Epoch `cbor:"Epoch"`
	Number uint64        `cbor:"No"` // from 1 on in each epoch
}

func (r Generation) precedes(o Generation) bool {
	return r.Epoch < o.Epoch || r.Epoch == o.Epoch && r.Number < o.Number
}

// Sequence counts the frames of a run, from 1 on.
type Sequence uint64

// Frame is the unit on the wire. Each body and each list of subscribers stands in it once.
type Frame struct {
	Generation          Generation  `cbor:"1,keyasint"`
	Sequence            Sequence    `cbor:"2,keyasint"`
	ClockOffset         api.Micros  `cbor:"3,keyasint"` // see Sender.lag: all that differs when it goes again
	Bodies              [][]byte    `cbor:"4,keyasint"`
	DestinationLists    [][]byte    `cbor:"5,keyasint"` // see packList
	Items               []FrameItem `cbor:"6,keyasint"` // in the order in which they are to be taken
	ReceiverIncarnation uint64      `cbor:"7,keyasint"` // of the relay's folder meant: another could take it once more
}

// FrameItem is an item in a frame.
type FrameItem struct {
	_              struct{}        `cbor:",toarray"`
	ID             MessageID       `cbor:"Name"`
	RequestID      string          `cbor:"Request"`
	IsAnnouncement bool            `cbor:"Many"`
	EventType      api.EventTypeID `cbor:"Event"`
	Tenant         api.TenantID    `cbor:"Tenant"`
	Token          string          `cbor:"Token"`
	Key            api.OrderingKey `cbor:"Key"`
	TTL            api.Micros      `cbor:"TTL"`
	Attempts       int             `cbor:"Attempts"`
	FirstAttemptAt api.Micros      `cbor:"MayRun"`
	Zone           api.ZoneID      `cbor:"Zone"`
	Body           int             `cbor:"Body"` // index in Bodies
	List           int             `cbor:"List"` // index in Lists
}

// OpenRequest opens a run and asks what became of deliveries that were sent in earlier ones.
type OpenRequest struct {
	Generation Generation `cbor:"1,keyasint"`
	Sent       []Delivery `cbor:"3,keyasint"`
}

// Ack is what the relay says to a frame, to an opening and with ends.
type Ack struct {
	Incarnation      uint64     `cbor:"1,keyasint"` // of the relay's folder
	Generation       Generation `cbor:"2,keyasint"`
	LastSequence     Sequence   `cbor:"3,keyasint"` // taken and journalled
	Credit           uint64     `cbor:"4,keyasint"` // deliveries that the run may carry in all: only rises
	DestinationLimit int        `cbor:"5,keyasint"` // of one subscriber, sent and not ended
	Pending          []Delivery `cbor:"6,keyasint"` // of those asked: held, or ended and not yet heard by the owner
	ReceiverTime     api.Micros `cbor:"7,keyasint"` // the relay's clock
}

// Outcome a delivery ended.
type Outcome uint8

const (
	Delivered Outcome = iota + 1
	Rejected
	DeadLettered
)

// Result is one delivery's, for its owner.
type Result struct {
	_          struct{}   `cbor:",toarray"`
	Delivery   Delivery   `cbor:"Delivery"`
	Outcome    Outcome    `cbor:"How"`
	RetryAfter api.Micros `cbor:"RetryIn"` // rejected: come again after it; 0: nothing is said
	Attempts   int        `cbor:"Attempts"`
	MayHaveRun bool       `cbor:"MayRun"`
}
