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
	Task      string // what only one member may do at a time
	KeyHash   uint64 // where a destination stands among the ranges
	RangeID   uint32 // never used for another range
	Version   uint64 // of the map of ranges
	SiteID    string
	ListID    string // a list of subscribers that announcements are meant for
)

// The tasks that the fleet itself has. Operators may name others in their own words.
const (
	Conducts Task = "conduct" // runs the plan
	homes         = "home/"
	sends         = "site/"
	leaves        = "leave/"
)

// HomeOf is the task of having a range's home, SenderOf that of sending to a site, LeaveTurn one of the turns
// (from 0 on) by which members leave in a planned restart.
func HomeOf(r RangeID) Task   { return homes + Task(strconv.FormatUint(uint64(r), 10)) }
func SenderOf(s SiteID) Task  { return sends + Task(s) }
func LeaveTurn(turn int) Task { return leaves + Task(strconv.Itoa(turn)) }

// Home is the range whose home a task is of.
func (t Task) Home() (RangeID, bool) {
	text, is := strings.CutPrefix(string(t), homes)
	id, err := strconv.ParseUint(text, 10, 32)
	return RangeID(id), is && err == nil
}

// SiteHash is where a site's subscribers stand among the ranges, together: one member is home of them all,
// owns what goes to their relay, and its session has the site's sender.
func SiteHash(s SiteID) KeyHash { return KeyHash(xxhash.Sum64String(sends + string(s))) }

// Hash is where a destination stands among the ranges, by its own number.
func Hash(d api.DestinationID) KeyHash {
	return KeyHash(xxhash.Sum64(binary.LittleEndian.AppendUint32(nil, uint32(d))))
}

// The parts of the replicated state, as the log's entries name them.
const (
	LeasePart   byte = 'L'
	RangesPart  byte = 'R'
	PlanPart    byte = 'P'
	StreamsPart byte = 'S'
)

// Command is one entry of the log: what a part is told. Where By is named, it acts only if that task was last
// granted with this very epoch and is still held: what a former holder proposes late changes nothing.
type Command struct {
	Part  byte   `cbor:"1,keyasint"`
	By    Task   `cbor:"2,keyasint,omitempty"`
	Epoch Epoch  `cbor:"3,keyasint,omitempty"`
	Body  []byte `cbor:"4,keyasint"`
}

// What a command is refused with. Each says that nothing was changed.
var (
	ErrFenced  = errors.New("a later epoch of the task was granted, or it is not held")
	ErrUnknown = errors.New("no such session, range, step or site")
	ErrHeld    = errors.New("another member holds it")
	ErrStale   = errors.New("the map or the move went on meanwhile")
)

// Part is one core of the replicated state. Apply is told the log's index, which only rises, and must do the
// same on each keeper: no clock, no chance, no order of a map. Its answer goes to whoever proposed.
type Part interface {
	Apply(index uint64, body []byte) (answer []byte, err error)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}
