package register

import "strings"

// Ballot orders proposals (CASPaxos §2.2). Each ballot is used for at most one proposal.
type Ballot struct {
	Number   uint64 `cbor:"1,keyasint"`
	Proposer string `cbor:"2,keyasint,omitempty"` // breaks ties; random for each start of a process
}

// Compare returns -1, 0 or 1 as b is before, equal to or after other.
func (b Ballot) Compare(other Ballot) int {
	switch {
	case b.Number < other.Number:
		return -1
	case b.Number > other.Number:
		return 1
	default:
		return strings.Compare(b.Proposer, other.Proposer)
	}
}

// Before reports whether b is lower than other.
func (b Ballot) Before(other Ballot) bool { return b.Compare(other) < 0 }

// IsZero reports whether b is the ballot of a replica that has accepted nothing.
func (b Ballot) IsZero() bool { return b == Ballot{} }
