package raftnode

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
)

// The fixture is the folder of a single-node cluster, written by release 63a0b91. In its snapshot, a session of m1 holds
// the leases on firstRange and departureSlot. The log entries after the snapshot open a session of m2, acquire the lease
// on secondRange for it, and release departureSlot.
const (
	fixtureServer      = raft.ServerID("m1/9bb680112c16e9f3")
	fixtureLeaderEpoch = lease.LeaderEpoch(3)
	fixtureSnapshotEnd = uint64(5)
	fixtureLogEnd      = uint64(8)

	firstSession  = cluster.SessionID(4)
	firstEpoch    = cluster.Epoch(5)
	secondSession = cluster.SessionID(6)
	secondEpoch   = cluster.Epoch(7)
)

var (
	firstRange    = cluster.RangeOwnerResource(3)
	secondRange   = cluster.RangeOwnerResource(4)
	departureSlot = cluster.DepartureSlotResource(0)
)

// copyFixture copies the fixture and returns the state directory.
func copyFixture(t *testing.T) string {
	t.Helper()
	stateDir := t.TempDir()
	require.NoError(t, os.CopyFS(stateDir, os.DirFS(filepath.Join("testdata", "compatibility"))))
	return stateDir
}

// openFixture opens the storage of a copy, and returns it with a node whose raft is not started, to apply entries to.
func openFixture(t *testing.T) (*storage, *Node) {
	t.Helper()
	stateDir := copyFixture(t)
	config, listener := singleNode(t, stateDir)
	require.NoError(t, listener.Close())
	opened, err := openStorage(filepath.Join(stateDir, stateFolder), "m1", newRaftLogger(sessionTTL.Duration()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = opened.log.Close() })
	return opened, newNode(config)
}

// TestCompatibility_SnapshotAndLog checks that the current storage and state machine read the snapshot and the log of
// release 63a0b91.
func TestCompatibility_SnapshotAndLog(t *testing.T) {
	opened, n := openFixture(t)
	assert.Equal(t, fixtureServer, opened.id)
	assert.False(t, opened.empty)

	restoreFixture(t, opened, n)
	holder, held := n.leases.Holder(firstRange)
	assert.True(t, held)
	assert.Equal(t, cluster.LeaseHolder{Session: firstSession, Member: "m1", Epoch: firstEpoch}, holder)
	assert.Equal(t, fixtureLeaderEpoch, n.leases.LeaderEpoch())
	assert.Equal(t, []cluster.SessionID{firstSession}, n.leases.Sessions())
	assert.Equal(t, []cluster.Resource{firstRange, departureSlot}, n.leases.ResourcesOf(firstSession))

	applyFixtureLog(t, opened, n)
	holder, held = n.leases.Holder(secondRange)
	assert.True(t, held)
	assert.Equal(t, cluster.LeaseHolder{Session: secondSession, Member: "m2", Epoch: secondEpoch}, holder)
	assert.Equal(t, []cluster.SessionID{firstSession, secondSession}, n.leases.Sessions())
	assert.Equal(t, []cluster.Resource{firstRange}, n.leases.ResourcesOf(firstSession))
	assert.Equal(t, firstEpoch, n.leases.LastEpoch(departureSlot))
}

// restoreFixture restores the only snapshot.
func restoreFixture(t *testing.T, opened *storage, n *Node) {
	t.Helper()
	snapshots, err := opened.snapshots.List()
	require.NoError(t, err)
	require.Len(t, snapshots, 1)
	assert.Equal(t, fixtureSnapshotEnd, snapshots[0].Index)
	require.Len(t, snapshots[0].Configuration.Servers, 1)
	assert.Equal(t, voter(fixtureServer), snapshots[0].Configuration.Servers[0])
	_, content, err := opened.snapshots.Open(snapshots[0].ID)
	require.NoError(t, err)
	require.NoError(t, stateMachine{n}.Restore(content))
}

// applyFixtureLog applies the commands of the log after the snapshot.
func applyFixtureLog(t *testing.T, opened *storage, n *Node) {
	t.Helper()
	last, err := opened.log.LastIndex()
	require.NoError(t, err)
	require.Equal(t, fixtureLogEnd, last)
	for index := fixtureSnapshotEnd + 1; index <= last; index++ {
		var entry raft.Log
		require.NoError(t, opened.log.GetLog(index, &entry))
		require.Equal(t, raft.LogCommand, entry.Type)
		result, isResult := stateMachine{n}.Apply(&entry).(applyResult)
		require.True(t, isResult)
		require.NoError(t, result.err, "entry %d", index)
	}
	assert.NoError(t, n.haltCause())
}

// TestCompatibility_NodeContinuesFolder starts a node from the folder of release 63a0b91. It elects itself and continues
// the epochs. The sessions are not checked: they may have expired by then.
func TestCompatibility_NodeContinuesFolder(t *testing.T) {
	n := startLeader(t, copyFixture(t))
	t.Cleanup(func() { require.NoError(t, n.Close()) })

	assert.Equal(t, fixtureServer, n.storage.id)
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.NoError(t, n.haltErr)
	assert.Equal(t, firstEpoch, n.leases.LastEpoch(firstRange))
	assert.Equal(t, secondEpoch, n.leases.LastEpoch(secondRange))
	assert.Equal(t, firstEpoch, n.leases.LastEpoch(departureSlot))
	assert.Greater(t, uint64(n.leases.LeaderEpoch()), fixtureLogEnd)
}
