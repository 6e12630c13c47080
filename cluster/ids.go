// Package cluster holds the identifiers, lease resources and log commands that the packages of the cluster
// share. The decisions are made by the packages below it; none of those that are state machines does I/O or
// reads a clock.
package cluster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"rowanlink/webhook/api"
)

// The identifiers. They are compared for equality only, except that epochs and versions increase.
type (
	// MemberID is a member's name in the operator file.
	MemberID string
	// SessionID identifies a member's session: the log index of the entry that opened it, or a higher number;
	// 0: none.
	SessionID uint64
	// Epoch is the fencing token of one grant of a lease. Each grant of a resource has a higher epoch than all
	// grants of that resource before it; 0: never granted.
	Epoch uint64
	// KeyHash is a destination's position in the key space that the ranges divide.
	KeyHash uint64
	// RangeID identifies a range and is never reused for another one.
	RangeID uint32
	// Version is a version of the shard map.
	Version uint64
	// SiteID identifies a site: subscribers that are reached through one relay.
	SiteID string
	// ListID identifies a list of subscribers that announcements are addressed to.
	ListID string
)

// SiteKeyHash is the common position of all subscribers of a site: one member owns their range, is the origin
// of what is sent to their relay, and its session holds the lease on the site's sender.
func SiteKeyHash(s SiteID) KeyHash { return KeyHash(xxhash.Sum64String(siteSenderPrefix + string(s))) }

// DestinationKeyHash is the position of a destination that belongs to no site.
func DestinationKeyHash(d api.DestinationID) KeyHash {
	return KeyHash(xxhash.Sum64(binary.LittleEndian.AppendUint32(nil, uint32(d))))
}
