// Package cluster holds what the parts of a fleet that acts as one share: its ids, tasks and the form in
// which a command stands in the log. What decides is in the packages below it; none of them does I/O or has
// a clock.
package cluster

import (
	"encoding/binary"
	"errors"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"rowanlink/webhook/api"
)

// The ids. None carries a meaning beyond equality, but that epochs and versions only rise.
type (
	MemberID  string // as the operator file names it
	SessionID uint64 // the log's index of the entry that opened it; 0: none
	Epoch     uint64 // of a grant of a task: each is higher than all before of that task; 0: never granted
	Resource  string // what only one member may do at a time
	KeyHash   uint64 // where a destination stands among the ranges
	RangeID   uint32 // never used for another range
	Version   uint64 // of the map of ranges
	SiteID    string
	ListID    string // a list of subscribers that announcements are meant for
)

// The tasks that the fleet itself has. Operators may name others in their own words.
const (
	CoordinatorResource Resource = "conduct" // runs the plan
	rangeOwnerPrefix             = "home/"
	siteSenderPrefix             = "site/"
	departurePrefix              = "leave/"
)

// RangeOwnerResource is the task of having a range's home, SiteSenderResource that of sending to a site, DepartureSlotResource one of the turns
// (from 0 on) by which members leave in a planned restart.
func RangeOwnerResource(r RangeID) Resource {
	return rangeOwnerPrefix + Resource(strconv.FormatUint(uint64(r), 10))
}
func SiteSenderResource(s SiteID) Resource    { return siteSenderPrefix + Resource(s) }
func DepartureSlotResource(turn int) Resource { return departurePrefix + Resource(strconv.Itoa(turn)) }

// OwnedRange is the range whose home a task is of.
func (t Resource) OwnedRange() (RangeID, bool) {
	text, is := strings.CutPrefix(string(t), rangeOwnerPrefix)
	id, err := strconv.ParseUint(text, 10, 32)
	return RangeID(id), is && err == nil
}

// SiteKeyHash is where a site's subscribers stand among the ranges, together: one member is home of them all,
// owns what goes to their relay, and its session has the site's sender.
func SiteKeyHash(s SiteID) KeyHash { return KeyHash(xxhash.Sum64String(siteSenderPrefix + string(s))) }

// DestinationKeyHash is where a destination stands among the ranges, by its own number.
func DestinationKeyHash(d api.DestinationID) KeyHash {
	return KeyHash(xxhash.Sum64(binary.LittleEndian.AppendUint32(nil, uint32(d))))
}

// The parts of the replicated state, as the log's entries name them.
const (
	LeaseComponent     byte = 'L'
	ShardMapComponent  byte = 'R'
	RebalanceComponent byte = 'P'
	StreamComponent    byte = 'S'
)

// Command is one entry of the log: what a part is told. Where By is named, it acts only if that task was last
// granted with this very epoch and is still held: what a former holder proposes late changes nothing.
type Command struct {
	Component byte     `cbor:"1,keyasint"`
	FencedBy  Resource `cbor:"2,keyasint,omitempty"`
	Epoch     Epoch    `cbor:"3,keyasint,omitempty"`
	Body      []byte   `cbor:"4,keyasint"`
}

// What a command is refused with. Each says that nothing was changed.
var (
	ErrFenced      = errors.New("a later epoch of the task was granted, or it is not held")
	ErrNotFound    = errors.New("no such session, range, step or site")
	ErrAlreadyHeld = errors.New("another member holds it")
	ErrStale       = errors.New("the map or the move went on meanwhile")
)

// Component is one core of the replicated state. Apply is told the log's index, which only rises, and must do the
// same on each keeper: no clock, no chance, no order of a map. Its answer goes to whoever proposed.
type Component interface {
	Apply(index uint64, body []byte) (answer []byte, err error)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}
