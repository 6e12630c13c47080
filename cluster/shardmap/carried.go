package shardmap

import (
	"cmp"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// Name is a webhook's over the whole fleet, from the member that took it from its client to its end.
type Name struct {
	Origin cluster.MemberID `cbor:"1,keyasint"`
	Life   uint64           `cbor:"2,keyasint"` // of the origin's folder: ids begin anew with it
	ID     uint64           `cbor:"3,keyasint"` // never used twice in that life
}

// Carried is a webhook with what the next owner must know of its past. Times are of its sender's clock, until
// Shifted.
type Carried struct {
	Name     Name              `cbor:"1,keyasint"`
	Hand     Hand              `cbor:"2,keyasint"` // see Known
	Event    api.EventTypeID   `cbor:"3,keyasint"`
	Tenant   api.TenantID      `cbor:"4,keyasint"`
	Key      api.OrderingKey   `cbor:"5,keyasint"`
	Dest     api.DestinationID `cbor:"6,keyasint"`
	TTL      api.Micros        `cbor:"7,keyasint"`
	Attempts int               `cbor:"8,keyasint"`
	MayRun   api.Micros        `cbor:"9,keyasint"`  // first attempt that may have run, or Never
	Zone     api.ZoneID        `cbor:"10,keyasint"` // of that attempt's endpoint
	Taken    uint64            `cbor:"11,keyasint"` // place among its sender's: order by key
	Whole    []byte            `cbor:"12,keyasint"` // request id, token, body: as its journal has it
}

// Shifted is the same by a clock that shows so much more.
func (c Carried) Shifted(by api.Micros) Carried {
	c.TTL += by
	if c.MayRun != api.Never {
		c.MayRun += by
	}
	return c
}

// Clock is by how much a member's own clock shows more than another's, as far as its messages tell: the least
// lag of any, which is as exact as the quickest message was quick. Its zero value has heard none.
type Clock struct {
	least, at api.Micros
	heard     bool
}

// Heard takes when a message was sent, by its sender's clock. apart: by how much the two differ in rate at
// the most, so that the least lag of long ago tells less and less.
func (c *Clock) Heard(sentAt, now api.Micros, apart float64) api.Micros {
	lag := now - sentAt
	if c.heard {
		lag = min(lag, c.least+api.Micros(apart*float64(now-c.at)))
	}
	c.least, c.at, c.heard = lag, now, true
	return lag
}

// Fate is what becomes of a webhook whose range passes to another home.
type Fate uint8

const (
	Goes    Fate = iota + 1 // it goes over
	Rejects                 // too late to be sent, and it never ran: rejected at once
	Dies                    // it may have run and may not run again: dead-lettered at once
)

// Goes is the fate of a webhook with no call out, with what its event type says. spare: what a hop and the
// first attempt there take at the least; most: attempts in all.
func (c Carried) Goes(t api.EventType, spare api.Micros, most int, now api.Micros) Fate {
	ran := c.MayRun != api.Never
	late := now+spare >= c.TTL || c.Attempts >= most
	if ran && t.Semantics == api.Deduplicated {
		late = late || now+spare >= c.MayRun+t.DedupWindow
	}
	switch {
	case ran && (late || t.Semantics == api.AtMostOnce):
		return Dies
	case late:
		return Rejects
	}
	return Goes
}

// InOrder sorts what goes over as its source took it, so that those of one key arrive in their order.
func InOrder(all []Carried) {
	slices.SortStableFunc(all, func(a, b Carried) int { return cmp.Compare(a.Taken, b.Taken) })
}
