package state

// Record is the value of the replicated register. It holds everything that must not be lost once it has been
// acknowledged to an operator.
type Record struct {
	Revision      uint64          `cbor:"1,keyasint"` // increases by one with each change
	Configuration Configuration   `cbor:"2,keyasint"`
	History       []AppliedUpdate `cbor:"3,keyasint,omitempty"` // newest last, at most MaxHistory
	Evacuations   []Evacuation    `cbor:"4,keyasint,omitempty"` // one for each zone that was ever evacuated
	Voters        ReplicaSet      `cbor:"5,keyasint"`
	// TruncatedVersion is the highest version that was removed from History, or zero if none was.
	TruncatedVersion uint64 `cbor:"6,keyasint,omitempty"`
	// OlderHistory holds the newest updates that were removed from History, at most MaxOlderHistory.
	OlderHistory PackedHistory `cbor:"7,keyasint,omitempty"`
	// ForgottenVersion is the highest version that was also removed from OlderHistory, or zero if none was.
	ForgottenVersion uint64 `cbor:"8,keyasint,omitempty"`
	// Rollouts holds the newest roll-out of each service that ever had one.
	Rollouts []Rollout `cbor:"9,keyasint,omitempty"`
}

// Evacuation is an operator's order to send no more requests to the endpoints of a zone. Active is false after the
// operator has ended it.
type Evacuation struct {
	Zone     string `cbor:"1,keyasint"`
	Active   bool   `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"` // revision of the record in which Active was last changed
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
