package state

// Replica is a replica of the record. A replica that has lost its disk rejoins under a new ID.
type Replica struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"` // host:port for calls between the system's processes
}

// ReplicaSet is the set of replicas that vote on changes of the record. It is itself part of the record. The replicas
// of all other core members are learners: they store the committed record but don't vote.
type ReplicaSet struct {
	Epoch    uint64    `cbor:"1,keyasint"` // increases by one with each change of the set
	Replicas []Replica `cbor:"2,keyasint"`
}

// Quorum returns the number of replicas that form a majority.
func (s ReplicaSet) Quorum() int { return len(s.Replicas)/2 + 1 }

// Contains reports whether a replica is in the set.
func (s ReplicaSet) Contains(id string) bool {
	for _, replica := range s.Replicas {
		if replica.ID == id {
			return true
		}
	}
	return false
}
