// Package cluster defines the identifiers, lease resources and log commands that the packages in its
// subdirectories share. Those of them that are state machines do no I/O and read no clock.
package cluster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"rowanlink/webhook/api"
)

// The identifiers. They are compared for equality only, except Epoch and Version, which increase.
type (
	// MemberID is a member's name in the operator file.
	MemberID string
	// SessionID identifies a member's session. It is the log index of the entry that opened the session, or a
	// higher number; 0: no session.
	SessionID uint64
	// Epoch is the fencing token of one grant of a lease. Each grant of a resource has a higher epoch than all
	// grants of that resource before it; 0: never granted.
	Epoch uint64
	// KeyHash is a destination's position in the key space, which is divided into ranges.
	KeyHash uint64
	// RangeID identifies a range of the key space. It is never reused for another range.
	RangeID uint32
	// Version is a version of the shard map.
	Version uint64
	// SiteID identifies a site: a group of subscribers that are reached through one relay.
	SiteID string
	// ListID identifies a list of subscribers that announcements are addressed to.
	ListID string
)

// SiteKeyHash returns the position that all subscribers of a site share. So a single member owns their range, sends
// to their relay, and holds the lease on the site's sender.
func SiteKeyHash(s SiteID) KeyHash { return KeyHash(xxhash.Sum64String(siteSenderPrefix + string(s))) }

// DestinationKeyHash returns the position of a destination that belongs to no site.
func DestinationKeyHash(d api.DestinationID) KeyHash {
	return KeyHash(xxhash.Sum64(binary.LittleEndian.AppendUint32(nil, uint32(d))))
}
