package session

const (
	minConnections       = 256
	connectionsPerMember = 8
)

// MaxConnections returns the maximum number of connections that a member accepts in a cluster with the given number of
// members. Each member can hold one connection for each of its renewal, poll and proposal; with a lower limit, raft
// nodes would reject connections in a large cluster.
func MaxConnections(members int) int { return max(minConnections, connectionsPerMember*members) }
