package state

// Record is the value of the replicated register: everything that an acknowledgement to an operator guarantees to keep.
type Record struct {
	Revision      uint64          `cbor:"1,keyasint"` // increases by one with each change
	Configuration Configuration   `cbor:"2,keyasint"`
	History       []AppliedUpdate `cbor:"3,keyasint,omitempty"` // the newest last, at most MaxHistory
	Evacuations   []Evacuation    `cbor:"4,keyasint,omitempty"` // one for each zone that ever was evacuated
	Voters        ReplicaSet      `cbor:"5,keyasint"`
	// TruncatedVersion is the highest version that was removed from History; zero: none.
	TruncatedVersion uint64 `cbor:"6,keyasint,omitempty"`
}

// MaxHistory is the length of a record's History.
const MaxHistory = 512

// AppliedUpdate identifies an update that has set the configuration, by the version that it set and the digest of what
// the operator sent. A repeated update is recognized by it and acknowledged again.
type AppliedUpdate struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  Digest `cbor:"2,keyasint"`
}

// Evacuation is an operator's order to send no more requests to the endpoints of a zone, or the end of that order.
type Evacuation struct {
	Zone     string `cbor:"1,keyasint"`
	Active   bool   `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"` // of the record in which Active was last changed
}

// Evacuated reports whether a zone is being evacuated.
func (r *Record) Evacuated(zone string) bool {
	for _, evacuation := range r.Evacuations {
		if evacuation.Zone == zone {
			return evacuation.Active
		}
	}
	return false
}

// WasApplied reports whether an update was applied, as far as the history goes back.
func (r *Record) WasApplied(version uint64, digest Digest) bool {
	for _, applied := range r.History {
		if applied.Version == version && applied.Digest == digest {
			return true
		}
	}
	return false
}
