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
	ErrUnopened = errors.New("streams: the relay knows no such run: it has to be opened anew")
	ErrForm     = errors.New("streams: not read")
)

// Name is a webhook's or an announcement's over the whole fleet, from its owner's journal to its end.
type Name struct {
	_     struct{}         `cbor:",toarray"`
	Owner cluster.MemberID // hears how it ended
	Life  uint64           // of the owner's folder: numbers begin anew with it
	ID    uint64           // never used twice in that life
}

// Delivery is what ends by itself: one name for one subscriber.
type Delivery struct {
	_    struct{} `cbor:",toarray"`
	Name Name
	To   api.DestinationID
}

// Item is a webhook or an announcement for subscribers of one site. Its times are of the sender's clock, at
// the relay of the relay's. Of an announcement whose subscribers differ in their past there are several.
type Item struct {
	Name     Name
	Request  string // id that the client gave
	Many     bool   // an announcement
	Event    api.EventTypeID
	Tenant   api.TenantID
	Token    string
	Key      api.OrderingKey // 0 but of ordered event types
	TTL      api.Micros
	Attempts int
	MayRun   api.Micros // first attempt that may have run, or api.Never
	Zone     api.ZoneID // of that attempt's endpoint
	Body     []byte
	To       []api.DestinationID

	// Tokened: how long a token is remembered, else 0. The relay may call for so long after it was sent and no
	// longer: whatever its owner then sends by itself comes within that time too.
	Window api.Micros
}

// OfSubscriber stands between an announcement's request id and a subscriber's number.
const OfSubscriber = ".dest="

// RequestOf is the request id of the delivery to one subscriber.
func (i *Item) RequestOf(to api.DestinationID) string {
	if !i.Many {
		return i.Request
	}
	return i.Request + OfSubscriber + strconv.FormatUint(uint64(to), 10)
}

// Run is one opening of a stream. A sender that finds its relay again after it was gone opens a further one:
// a frame of the one before that is late on its way is then refused, so that "never taken" stays true.
type Run struct {
	_     struct{} `cbor:",toarray"`
	Epoch cluster.Epoch
	No    uint64 // from 1 on in each epoch
}

func (r Run) before(o Run) bool { return r.Epoch < o.Epoch || r.Epoch == o.Epoch && r.No < o.No }

// Seq counts the frames of a run, from 1 on.
type Seq uint64

// Frame is the unit on the wire. Each body and each list of subscribers stands in it once.
type Frame struct {
	Run    Run        `cbor:"1,keyasint"`
	Seq    Seq        `cbor:"2,keyasint"`
	Lag    api.Micros `cbor:"3,keyasint"` // see Sender.lag: all that differs when it goes again
	Bodies [][]byte   `cbor:"4,keyasint"`
	Lists  [][]byte   `cbor:"5,keyasint"` // see packList
	Items  []Packed   `cbor:"6,keyasint"` // in the order in which they are to be taken
	Life   uint64     `cbor:"7,keyasint"` // of the relay's folder meant: another could take it once more
}

// Packed is an item in a frame.
type Packed struct {
	_        struct{} `cbor:",toarray"`
	Name     Name
	Request  string
	Many     bool
	Event    api.EventTypeID
	Tenant   api.TenantID
	Token    string
	Key      api.OrderingKey
	TTL      api.Micros
	Attempts int
	MayRun   api.Micros
	Zone     api.ZoneID
	Body     int // index in Bodies
	List     int // index in Lists
}

// Ask opens a run and asks what became of deliveries that were sent in earlier ones.
type Ask struct {
	Run  Run        `cbor:"1,keyasint"`
	Sent []Delivery `cbor:"3,keyasint"`
}

// Answer is what the relay says to a frame, to an opening and with ends.
type Answer struct {
	Life  uint64     `cbor:"1,keyasint"` // of the relay's folder
	Run   Run        `cbor:"2,keyasint"`
	Upto  Seq        `cbor:"3,keyasint"` // taken and journalled
	Limit uint64     `cbor:"4,keyasint"` // deliveries that the run may carry in all: only rises
	Each  int        `cbor:"5,keyasint"` // of one subscriber, sent and not ended
	Held  []Delivery `cbor:"6,keyasint"` // of those asked: held, or ended and not yet heard by the owner
	At    api.Micros `cbor:"7,keyasint"` // the relay's clock
}

// How a delivery ended.
type How uint8

const (
	Delivered How = iota + 1
	Rejected
	DeadLettered
)

// End is one delivery's, for its owner.
type End struct {
	_        struct{} `cbor:",toarray"`
	Delivery Delivery
	How      How
	RetryIn  api.Micros // rejected: come again after it; 0: nothing is said
	Attempts int
	MayRun   bool
}
