package shardmap

import (
	"cmp"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// WebhookID is a webhook's over the whole fleet, from the member that took it from its client to its end.
type WebhookID struct {
	Origin      cluster.MemberID `cbor:"1,keyasint"`
	Incarnation uint64           `cbor:"2,keyasint"` // of the origin's folder: ids begin anew with it
	LocalID     uint64           `cbor:"3,keyasint"` // never used twice in that life
}

// TransferredWebhook is a webhook with what the next owner must know of its past. Times are of its sender's clock, until
// Shifted.
type TransferredWebhook struct {
	ID           WebhookID         `cbor:"1,keyasint"`
	Handoff      HandoffNumber     `cbor:"2,keyasint"` // see Known
	EventType    api.EventTypeID   `cbor:"3,keyasint"`
	Tenant       api.TenantID      `cbor:"4,keyasint"`
	Key          api.Key           `cbor:"5,keyasint"`
	Destination  api.DestinationID `cbor:"6,keyasint"`
	TTL          api.Micros        `cbor:"7,keyasint"`
	Attempts     int               `cbor:"8,keyasint"`
	FirstRunAt   api.Micros        `cbor:"9,keyasint"`  // first attempt that may have run, or Never
	Zone         api.ZoneID        `cbor:"10,keyasint"` // of that attempt's endpoint
	AcceptOrder  uint64            `cbor:"11,keyasint"` // place among its sender's: order by key
	JournalEntry []byte            `cbor:"12,keyasint"` // request id, token, body: as its journal has it
}

// WithClockShift is the same by a clock that shows so much more.
func (c TransferredWebhook) WithClockShift(by api.Micros) TransferredWebhook {
	c.TTL += by
	if c.FirstRunAt != api.Never {
		c.FirstRunAt += by
	}
	return c
}

// ClockOffset is by how much a member's own clock shows more than another's, as far as its messages tell: the least
// lag of any, which is as exact as the quickest message was quick. Its zero value has heard none.
type ClockOffset struct {
	leastLag, observedAt api.Micros
	hasObservation       bool
}

// Observe takes when a message was sent, by its sender's clock. apart: by how much the two differ in rate at
// the most, so that the least lag of long ago tells less and less.
func (c *ClockOffset) Observe(sentAt, now api.Micros, apart float64) api.Micros {
	lag := now - sentAt
	if c.hasObservation {
		lag = min(lag, c.leastLag+api.Micros(apart*float64(now-c.observedAt)))
	}
	c.leastLag, c.observedAt, c.hasObservation = lag, now, true
	return lag
}

// TransferDecision is what becomes of a webhook whose range passes to another home.
type TransferDecision uint8

const (
	TransferWebhook   TransferDecision = iota + 1 // it goes over
	RejectWebhook                                 // too late to be sent, and it never ran: rejected at once
	DeadLetterWebhook                             // it may have run and may not run again: dead-lettered at once
)

// DecideTransfer is the fate of a webhook with no call out, with what its event type says. spare: what a hop and the
// first attempt there take at the least; most: attempts in all.
func (c TransferredWebhook) DecideTransfer(t api.EventType, spare api.Micros, most int, now api.Micros) TransferDecision {
	ran := c.FirstRunAt != api.Never
	late := now+spare >= c.TTL || c.Attempts >= most
	if ran && t.Repeat == api.Tokened {
		late = late || now+spare >= c.FirstRunAt+t.TokenWindow
	}
	switch {
	case ran && (late || t.Repeat == api.AtMostOnce):
		return DeadLetterWebhook
	case late:
		return RejectWebhook
	}
	return TransferWebhook
}

// SortByAcceptOrder sorts what goes over as its source took it, so that those of one key arrive in their order.
func SortByAcceptOrder(all []TransferredWebhook) {
	slices.SortStableFunc(all, func(a, b TransferredWebhook) int { return cmp.Compare(a.AcceptOrder, b.AcceptOrder) })
}
