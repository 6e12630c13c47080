package stream

import (
	"errors"
	"strconv"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// The errors with which a frame or a request to open is rejected, besides cluster.ErrFenced. Nothing of it was
// accepted.
var (
	ErrNotOpen   = errors.New("stream: the relay has no such generation: it has to be opened again")
	ErrMalformed = errors.New("stream: malformed message")
)

// MessageID identifies a webhook or an announcement in the whole cluster.
type MessageID struct {
	_           struct{}         `cbor:",toarray"`
	Origin      cluster.MemberID `cbor:"Owner"` // the member that accepted it, and gets its results
	Incarnation uint64           `cbor:"Life"`  // of the origin's folder: numbers start over with it
	Number      uint64           `cbor:"ID"`    // unique in the incarnation
}

// Delivery identifies what gets a result of its own: one message for one subscriber.
type Delivery struct {
	_           struct{}          `cbor:",toarray"`
	Message     MessageID         `cbor:"Name"`
	Destination api.DestinationID `cbor:"To"`
}

// Item is a webhook, or an announcement for subscribers of one site. Its times are of the sender's clock at the
// sender, and of the relay's at the relay. An announcement is several items if its subscribers differ in their
// earlier attempts.
type Item struct {
	ID             MessageID
	RequestID      string // given by the client
	IsAnnouncement bool
	EventType      api.EventTypeID
	Tenant         api.TenantID
	Token          string
	Key            api.OrderingKey // 0 unless the event type is ordered
	TTL            api.Micros      // when it expires
	Attempts       int
	FirstAttemptAt api.Micros // the first attempt that may have run; api.Never: none
	Zone           api.ZoneID // of that attempt's endpoint
	Body           []byte
	Destinations   []api.DestinationID

	// TokenWindow is how long endpoints remember the token; 0 for event types without tokens. The relay may
	// attempt the item only for that long after it was sent, so that attempts that its origin makes itself after
	// that are within the window, too.
	TokenWindow api.Micros
}

// SubscriberSeparator stands between an announcement's request id and the subscriber's number in the request id
// of a delivery.
const SubscriberSeparator = ".dest="

// RequestIDFor returns the request id of the delivery to one subscriber.
func (i *Item) RequestIDFor(d api.DestinationID) string {
	if !i.IsAnnouncement {
		return i.RequestID
	}
	return i.RequestID + SubscriberSeparator + strconv.FormatUint(uint64(d), 10)
}

// Generation identifies one opening of a stream. A sender whose relay returns opens a further generation: late
// frames of earlier ones are then rejected, so that "never received" is final.
type Generation struct {
	_      struct{}      `cbor:",toarray"`
	Epoch  cluster.Epoch `cbor:"Epoch"`
	Number uint64        `cbor:"No"` // from 1 in each epoch
}

func (g Generation) precedes(o Generation) bool {
	return g.Epoch < o.Epoch || g.Epoch == o.Epoch && g.Number < o.Number
}

// Sequence numbers the frames of a generation, from 1.
type Sequence uint64

// Frame is the unit of transmission. Items refer to bodies and lists of destinations, each of which it has once.
type Frame struct {
	Generation          Generation  `cbor:"1,keyasint"`
	Sequence            Sequence    `cbor:"2,keyasint"`
	ClockOffset         api.Micros  `cbor:"3,keyasint"` // see Sender.clockOffset: all that differs in a retransmission
	Bodies              [][]byte    `cbor:"4,keyasint"`
	DestinationLists    [][]byte    `cbor:"5,keyasint"` // see encodeDestinations
	Items               []FrameItem `cbor:"6,keyasint"` // in the order in which they have to be accepted
	ReceiverIncarnation uint64      `cbor:"7,keyasint"` // of the relay's folder: another one could accept the frame again
}

// FrameItem is an Item in a Frame.
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
	List           int             `cbor:"List"` // index in DestinationLists
}

// OpenRequest opens a generation and asks for the state of deliveries that were sent in earlier ones.
type OpenRequest struct {
	Generation Generation `cbor:"1,keyasint"`
	Sent       []Delivery `cbor:"3,keyasint"`
}

// Ack is the relay's response to a frame or a request to open, and accompanies results.
type Ack struct {
	Incarnation      uint64     `cbor:"1,keyasint"` // of the relay's folder
	Generation       Generation `cbor:"2,keyasint"`
	LastSequence     Sequence   `cbor:"3,keyasint"` // received and journalled
	Credit           uint64     `cbor:"4,keyasint"` // deliveries that the generation may carry in all; it only rises
	DestinationLimit int        `cbor:"5,keyasint"` // in flight to one subscriber
	Pending          []Delivery `cbor:"6,keyasint"` // of OpenRequest.Sent: held, or with a result not yet acknowledged
	ReceiverTime     api.Micros `cbor:"7,keyasint"` // by the relay's clock
}

// Outcome says how a delivery ended. The numbers are transmitted.
type Outcome uint8

// The outcomes.
const (
	Delivered Outcome = iota + 1
	Rejected
	DeadLettered
)

// Result is the result of one delivery, for its origin.
type Result struct {
	_          struct{}   `cbor:",toarray"`
	Delivery   Delivery   `cbor:"Delivery"`
	Outcome    Outcome    `cbor:"How"`
	RetryAfter api.Micros `cbor:"RetryIn"` // of Rejected; 0: not given
	Attempts   int        `cbor:"Attempts"`
	MayHaveRun bool       `cbor:"MayRun"`
}
