package inflight

import (
	"encoding/binary"
	"errors"
	"strconv"
	"strings"

	"rowanlink/webhook/api"
)

var errMalformed = errors.New("a webhook's kept form is broken")

// Broadcast is what a webhook has besides where lists and site streams are on.
type Broadcast struct {
	List       string                      // not taken on yet: for its subscribers, in place of a destination
	AtRelay    bool                        // to a relay, which ends it
	OnFinished func(api.WebhookID, Result) // who hears its end in place of the platform; does not wait. nil: nobody
}

// BroadcastLists is what a fleet adds for announcements; nil in a dispatcher that is none of one.
type BroadcastLists struct {
	HasList func(name string) bool // whether there is such a list
}

// subscriberSeparator stands between an announcement's request id and a subscriber's number.
const subscriberSeparator = ".dest="

// ForSubscriber is the request id of an announcement's delivery to one subscriber.
func ForSubscriber(of RequestID, to api.DestinationID) RequestID {
	return of + subscriberSeparator + RequestID(strconv.FormatUint(uint64(to), 10))
}

// Subscriber takes such an id apart.
func (id RequestID) Subscriber() (of RequestID, to api.DestinationID, is bool) {
	at := strings.LastIndex(string(id), subscriberSeparator)
	if at < 0 {
		return id, 0, false
	}
	n, err := strconv.ParseUint(string(id[at+len(subscriberSeparator):]), 10, 32)
	return id[:at], api.DestinationID(n), err == nil
}

// IsReserved guards against a client's request id that would be taken for a subscriber's.
func (x *Inbox) IsReserved(id string) bool {
	_, _, is := RequestID(id).Subscriber()
	return x.HasList != nil && is
}

// ListInRoute reads `list=prices` among whatever else is said of the route; ok: there is such a list.
func (x *Inbox) ListInRoute(route string) (name string, ok bool) {
	if x.HasList == nil {
		return "", false
	}
	apart := func(r rune) bool { return strings.ContainsRune(";,& ", r) }
	for _, part := range strings.FieldsFunc(route, apart) {
		if name, is := strings.CutPrefix(part, "list="); is {
			return name, x.HasList(name)
		}
	}
	return "", false
}

// Status a webhook ended of which another member is told.
type Status uint8

const (
	StatusDelivered Status = iota + 1
	StatusRejected
	StatusDeadLettered
)

// Result is what it is told. RetryAfter: rejected, come again after it; 0: nothing is said.
type Result struct {
	RequestID  RequestID
	Status     Status
	RetryAfter api.Micros
	Attempts   int
	MayHaveRun bool
}

// resultTag begins an end's kept form: a notice for the platform begins otherwise.
const resultTag = 'R'

const resultFixedLen = 1 + 1 + 8 + 2 + 1

// Encode is the form in which an end outlasts the process.
func (e Result) Encode() []byte {
	b := binary.LittleEndian.AppendUint64([]byte{resultTag, byte(e.Status)}, uint64(e.RetryAfter))
	b = binary.LittleEndian.AppendUint16(b, uint16(e.Attempts))
	ran := byte(0)
	if e.MayHaveRun {
		ran = 1
	}
	return append(append(b, ran), e.RequestID...)
}

// DecodeResult reads that form again; false: it is a notice for the platform.
func DecodeResult(b []byte) (e Result, is bool) {
	if len(b) < resultFixedLen || b[0] != resultTag {
		return Result{}, false
	}
	return Result{Status: Status(b[1]), RetryAfter: api.Micros(binary.LittleEndian.Uint64(b[2:])),
		Attempts: int(binary.LittleEndian.Uint16(b[10:])), MayHaveRun: b[12] != 0,
		RequestID: RequestID(b[resultFixedLen:])}, true
}
