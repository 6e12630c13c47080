package inflight

import (
	"encoding/binary"
	"errors"
	"strconv"
	"strings"

	"rowanlink/webhook/api"
)

var errBroken = errors.New("a webhook's kept form is broken")

// Announced is what a webhook has besides where lists and site streams are on.
type Announced struct {
	List  string                   // not taken on yet: for its subscribers, in place of a destination
	Given bool                     // to a relay, which ends it
	Ends  func(api.WebhookID, End) // who hears its end in place of the platform; does not wait. nil: nobody
}

// Announcing is what a fleet adds for announcements; nil in a dispatcher that is none of one.
type Announcing struct {
	Listed func(name string) bool // whether there is such a list
}

// ofSubscriber stands between an announcement's request id and a subscriber's number.
const ofSubscriber = ".dest="

// ForSubscriber is the request id of an announcement's delivery to one subscriber.
func ForSubscriber(of RequestID, to api.DestinationID) RequestID {
	return of + ofSubscriber + RequestID(strconv.FormatUint(uint64(to), 10))
}

// Subscriber takes such an id apart.
func (id RequestID) Subscriber() (of RequestID, to api.DestinationID, is bool) {
	at := strings.LastIndex(string(id), ofSubscriber)
	if at < 0 {
		return id, 0, false
	}
	n, err := strconv.ParseUint(string(id[at+len(ofSubscriber):]), 10, 32)
	return id[:at], api.DestinationID(n), err == nil
}

// Reserved guards against a client's request id that would be taken for a subscriber's.
func (x *Exchange) Reserved(id string) bool {
	_, _, is := RequestID(id).Subscriber()
	return x.Listed != nil && is
}

// ListIn reads `list=prices` among whatever else is said of the route; ok: there is such a list.
func (x *Exchange) ListIn(route string) (name string, ok bool) {
	if x.Listed == nil {
		return "", false
	}
	apart := func(r rune) bool { return strings.ContainsRune(";,& ", r) }
	for _, part := range strings.FieldsFunc(route, apart) {
		if name, is := strings.CutPrefix(part, "list="); is {
			return name, x.Listed(name)
		}
	}
	return "", false
}

// How a webhook ended of which another member is told.
type How uint8

const (
	EndDelivered How = iota + 1
	EndRejected
	EndDeadLettered
)

// End is what it is told. RetryIn: rejected, come again after it; 0: nothing is said.
type End struct {
	RequestID RequestID
	How       How
	RetryIn   api.Micros
	Attempts  int
	MayRun    bool
}

// endMark begins an end's kept form: a notice for the platform begins otherwise.
const endMark = 'R'

const endFixed = 1 + 1 + 8 + 2 + 1

// Bytes is the form in which an end outlasts the process.
func (e End) Bytes() []byte {
	b := binary.LittleEndian.AppendUint64([]byte{endMark, byte(e.How)}, uint64(e.RetryIn))
	b = binary.LittleEndian.AppendUint16(b, uint16(e.Attempts))
	ran := byte(0)
	if e.MayRun {
		ran = 1
	}
	return append(append(b, ran), e.RequestID...)
}

// EndFrom reads that form again; false: it is a notice for the platform.
func EndFrom(b []byte) (e End, is bool) {
	if len(b) < endFixed || b[0] != endMark {
		return End{}, false
	}
	return End{How: How(b[1]), RetryIn: api.Micros(binary.LittleEndian.Uint64(b[2:])),
		Attempts: int(binary.LittleEndian.Uint16(b[10:])), MayRun: b[12] != 0,
		RequestID: RequestID(b[endFixed:])}, true
}
