package stream

import (
	"errors"
	"strconv"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// The errors, besides cluster.ErrFenced, with which a receiver rejects a frame or a request to open. A rejected message
// changes nothing.
var (
	ErrNotOpen   = errors.New("stream: this generation is not open at the relay: the stream must be opened again")
	ErrMalformed = errors.New("stream: malformed message")
)

// MessageID identifies a webhook or an announcement in the whole cluster.
type MessageID struct {
	_           struct{}         `cbor:",toarray"`
	Origin      cluster.MemberID `cbor:"Owner"` // the member that accepted the message and gets its results
	Incarnation uint64           `cbor:"Life"`  // of the origin's folder; a new folder starts its numbers over
	Number      uint64           `cbor:"ID"`    // unique within the incarnation
}

// Delivery identifies the delivery of one message to one subscriber. Each delivery has its own result.
type Delivery struct {
	_           struct{}          `cbor:",toarray"`
	Message     MessageID         `cbor:"Name"`
	Destination api.DestinationID `cbor:"To"`
}

// Item is a webhook, or an announcement for subscribers of one site. Its times are by the sender's clock at the
// sender, and by the relay's clock at the relay. An announcement is split into several items if its subscribers
// differ in their earlier attempts.
type Item struct {
	ID             MessageID
	RequestID      string // given by the client
	IsAnnouncement bool
	EventType      api.EventTypeID
	Tenant         api.TenantID
	Token          string
	Key            api.OrderingKey // 0 unless the event type is ordered
	Deadline       api.Micros      // time at which the item expires
	Attempts       int
	FirstAttemptAt api.Micros // time of the first attempt that may have run; api.Never: there was none
	Zone           api.ZoneID // of that attempt's endpoint
	Body           []byte
	Destinations   []api.DestinationID

	// TokenWindow is how long endpoints remember the token; 0 for event types without tokens. The relay may attempt the
	// item only within this time after it was sent, and so may the origin. Then all attempts of both are within the
	// window.
	TokenWindow api.Micros
}

// SubscriberSeparator separates the announcement's request id from the subscriber's number in the request id of a
// delivery.
const SubscriberSeparator = ".dest="

// RequestIDFor returns the request id of the delivery to a subscriber.
func (i *Item) RequestIDFor(d api.DestinationID) string {
	if !i.IsAnnouncement {
		return i.RequestID
	}
	return i.RequestID + SubscriberSeparator + strconv.FormatUint(uint64(d), 10)
}

// Generation identifies one opening of a stream. When a relay is reachable again, the sender opens the next generation,
// and the relay rejects late frames of earlier ones. So a delivery that the relay does not have at the opening can't
// arrive any more with a frame that was sent before.
type Generation struct {
	_      struct{}      `cbor:",toarray"`
	Epoch  cluster.Epoch `cbor:"Epoch"`
	Number uint64        `cbor:"No"` // from 1 in each epoch
}

// precedes reports whether g is an earlier generation than o.
func (g Generation) precedes(o Generation) bool {
	return g.Epoch < o.Epoch || g.Epoch == o.Epoch && g.Number < o.Number
}

// Sequence numbers the frames of a generation, from 1.
type Sequence uint64

// Frame is the unit of transmission. Its items refer to its bodies and destination lists by index. It contains equal
// bodies and equal lists only once.
type Frame struct {
	Generation          Generation  `cbor:"1,keyasint"`
	Sequence            Sequence    `cbor:"2,keyasint"`
	ClockOffset         api.Micros  `cbor:"3,keyasint"` // see Sender.clockOffset; only this field changes in a retransmission
	Bodies              [][]byte    `cbor:"4,keyasint"`
	DestinationLists    [][]byte    `cbor:"5,keyasint"` // see encodeDestinations
	Items               []FrameItem `cbor:"6,keyasint"` // in the order in which the relay must accept them
	ReceiverIncarnation uint64      `cbor:"7,keyasint"` // of the relay's folder; a new folder could accept the frame twice
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

// Ack is the relay's response to a frame or a request to open. The relay also sends it with results.
type Ack struct {
	Incarnation      uint64     `cbor:"1,keyasint"` // of the relay's folder
	Generation       Generation `cbor:"2,keyasint"`
	LastSequence     Sequence   `cbor:"3,keyasint"` // received and journalled
	Credit           uint64     `cbor:"4,keyasint"` // total deliveries that the generation may carry; it never falls
	DestinationLimit int        `cbor:"5,keyasint"` // maximum deliveries in flight to one subscriber
	Pending          []Delivery `cbor:"6,keyasint"` // of OpenRequest.Sent: pending, or with an unacknowledged result
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
	RetryAfter api.Micros `cbor:"RetryIn"` // delay that a Rejected result asks for; 0: none
	Attempts   int        `cbor:"Attempts"`
	MayHaveRun bool       `cbor:"MayRun"`
}
