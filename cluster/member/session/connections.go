package session

const (
	minConnections       = 256
	connectionsPerMember = 8
)

// MaxConnections returns how many connections a member accepts at the most, in a cluster of so many members. Each
// member's renewal, poll and proposal holds one: with a lower bound raft nodes would reject those of a large cluster.
func MaxConnections(members int) int { return max(minConnections, connectionsPerMember*members) }
