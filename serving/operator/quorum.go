package operator

// quorum tells whom this machine needs for a majority of the voters.
type quorum struct {
	voters Voters
	self   string // address for calls between the system's processes
}

// others returns the addresses of the other voters, and of how many of them this machine needs the word so that a
// majority knows what it knows. It returns false while the voters are unknown.
func (q quorum) others() (addresses []string, needed int, known bool) {
	set := q.voters.Replicas()
	needed = set.Quorum()
	for _, voter := range set.Replicas {
		if voter.Address == q.self {
			needed--
			continue
		}
		addresses = append(addresses, voter.Address)
	}
	return addresses, needed, len(set.Replicas) > 0
}
