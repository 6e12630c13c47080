package transport

import (
	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/webhook/api"
)

// The paths that keepers hear on.
const (
	SessionPath = "/fleet/session"
	ProposePath = "/fleet/propose"
	StatePath   = "/fleet/state"
	WhoPath     = "/fleet/keeper/who"
	JoinPath    = "/fleet/keeper/join"
)

// SessionAsk asks for a session to go on; with session 0, for one to be opened. Tally is of the grants that
// the member knows of.
type SessionAsk struct {
	Member      cluster.MemberID  `cbor:"1,keyasint"`
	Session     cluster.SessionID `cbor:"2,keyasint,omitempty"`
	Incarnation lease.Incarnation `cbor:"3,keyasint,omitempty"`
	Tally       lease.Digest      `cbor:"4,keyasint,omitempty"`
}

// SessionAnswer is a keeper's yes, or which refusal (state.Code). Term is the one that the keeper counts.
// Holds is all that the session holds by the log, where its tally is another than the member's.
type SessionAnswer struct {
	Session cluster.SessionID `cbor:"1,keyasint,omitempty"`
	Term    api.Micros        `cbor:"2,keyasint"`
	Refusal uint16            `cbor:"3,keyasint,omitempty"`
	Holds   []lease.Grant     `cbor:"4,keyasint,omitempty"`
}

// Proposed is what became of a fleet.Command: the part's answer, or which refusal (state.Code).
type Proposed struct {
	Answer  []byte `cbor:"1,keyasint,omitempty"`
	Refusal uint16 `cbor:"2,keyasint,omitempty"`
	Index   uint64 `cbor:"3,keyasint"` // of its entry in the log
}

// StateAsk asks for each part that is newer than the version named, and which of the tasks are free.
// Changes is whether a part may come as what changed since that version.
type StateAsk struct {
	Versions map[byte]uint64    `cbor:"1,keyasint,omitempty"`
	Wants    []cluster.Resource `cbor:"2,keyasint,omitempty"`
	Changes  bool               `cbor:"3,keyasint,omitempty"`
}

// StateAnswer holds those that are; Index is how far the log's entries were applied where it was read.
type StateAnswer struct {
	Index uint64             `cbor:"1,keyasint"`
	Parts []PartState        `cbor:"2,keyasint,omitempty"`
	Free  []cluster.Resource `cbor:"3,keyasint,omitempty"`
}

// PartState is one part as it was at a version: whole, or by state.Changed from what it was at Since.
type PartState struct {
	Part     byte   `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint"`
	Snapshot []byte `cbor:"3,keyasint"`
	Since    uint64 `cbor:"4,keyasint,omitempty"`
}

// Elsewhere goes with status 421: who leads, as far as is known.
type Elsewhere struct {
	Leads cluster.MemberID `cbor:"1,keyasint,omitempty"`
}

// Who is what a keeper says of itself: the name of its folder, whether the folder holds nothing yet, and who
// the keepers are by its file.
type Who struct {
	Server  string             `cbor:"1,keyasint"`
	Empty   bool               `cbor:"2,keyasint,omitempty"`
	Keepers []cluster.MemberID `cbor:"3,keyasint"`
}

// Join asks the leader to take a keeper's folder into its midst; Applied is how far it has come.
type Join struct {
	Member  cluster.MemberID `cbor:"1,keyasint"`
	Server  string           `cbor:"2,keyasint"`
	Applied uint64           `cbor:"3,keyasint,omitempty"`
}
