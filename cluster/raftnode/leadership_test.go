package raftnode

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
)

// An expiry that was decided in one leader epoch and applied in a later one is rejected; the leader then begins a new
// leader epoch, in which the session expires.
func TestNode_RejectsExpiryOfEarlierLeaderEpoch(t *testing.T) {
	n := startLeader(t, t.TempDir())
	defer func() { _ = n.Close() }()
	opened, err := lease.DecodeResult(n.apply(t, newLogEntry(lease.OpenSession("a", 7))).response)
	require.NoError(t, err)
	// This simulates that another node has become leader.
	begun, err := lease.DecodeResult(n.apply(t, newLogEntry(lease.BeginLeaderEpoch())).response)
	require.NoError(t, err)
	expired := lease.ExpiredSession{Session: opened.Session, LeaderEpoch: begun.LeaderEpoch - 1}
	require.ErrorIs(t, n.apply(t, newLogEntry(lease.ExpireSession(expired))).err, cluster.ErrStale)
	n.requireSessionEnded(t)
}

func TestNode_ExpiresSessionsWithoutRenewal(t *testing.T) {
	n := startLeader(t, t.TempDir())
	defer func() { _ = n.Close() }()
	n.apply(t, newLogEntry(lease.OpenSession("a", 7)))
	n.requireSessionEnded(t)
}
