package inflight

import (
	"strconv"
	"strings"

	"rowanlink/webhook/api"
)

const (
	// subscriberSeparator separates a broadcast's request id from a subscriber's number.
	subscriberSeparator = ".dest="
	listPrefix          = "list="
)

// Broadcast has the further fields of a webhook where broadcast lists and site streams are enabled.
type Broadcast struct {
	List    string // until it is accepted: the list to whose subscribers it goes, in place of a destination
	AtRelay bool   // handed to a relay, which ends it
	// OnFinished is called with its result, which then doesn't go to the platform; it must not block. nil: the result goes
	// to the platform.
	OnFinished func(api.WebhookID, Result)
}

// BroadcastLists is what a cluster adds for broadcasts.
type BroadcastLists struct {
	HasList func(name string) bool // nil where there is no cluster
}

// ForSubscriber returns the request id of a broadcast's delivery to one subscriber.
func ForSubscriber(broadcast RequestID, subscriber api.DestinationID) RequestID {
	return broadcast + subscriberSeparator + RequestID(strconv.FormatUint(uint64(subscriber), 10))
}

// Subscriber splits a request id that ForSubscriber made; ok is false for any other one.
func (id RequestID) Subscriber() (broadcast RequestID, subscriber api.DestinationID, ok bool) {
	at := strings.LastIndex(string(id), subscriberSeparator)
	if at < 0 {
		return id, 0, false
	}
	n, err := strconv.ParseUint(string(id[at+len(subscriberSeparator):]), 10, 32)
	return id[:at], api.DestinationID(n), err == nil
}

// IsReserved reports whether a client's request id would be mistaken for that of a broadcast's delivery to a subscriber.
func (x *Inbox) IsReserved(id string) bool {
	_, _, isSubscriber := RequestID(id).Subscriber()
	return x.HasList != nil && isSubscriber
}

// ListInRoute returns the name of a broadcast list that is a part of a route, as in `list=prices`; ok reports whether the
// list exists.
func (x *Inbox) ListInRoute(route string) (name string, ok bool) {
	if x.HasList == nil {
		return "", false
	}
	isSeparator := func(r rune) bool { return strings.ContainsRune(";,& ", r) }
	for _, part := range strings.FieldsFunc(route, isSeparator) {
		if name, isList := strings.CutPrefix(part, listPrefix); isList {
			return name, x.HasList(name)
		}
	}
	return "", false
}
