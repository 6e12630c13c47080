package raftnode

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster/lease"
	"rowanlink/cluster/transport"
)

// A node that meets an entry of a newer format halts: it applies no later entry, writes no snapshot and does not lead. It
// halts again after a restart, as the entry is still in its log.
func TestStateMachine_NewerEntryFormatHaltsNode(t *testing.T) {
	stateDir := t.TempDir()
	n := startLeader(t, stateDir)
	n.apply(t, newLogEntry(lease.OpenSession("a", 7)))
	newer := newLogEntry(lease.OpenSession("b", 8))
	newer.Extensions = transport.Encode(entryHeader{Format: entryFormat + 1})
	require.ErrorIs(t, n.apply(t, newer).err, errNewerFormat)
	require.ErrorIs(t, n.apply(t, newLogEntry(lease.OpenSession("c", 9))).err, errNewerFormat)
	require.Error(t, n.raft.Snapshot().Error())
	require.NoError(t, n.Close())

	restarted, err := Open(singleNode(t, stateDir))
	require.NoError(t, err)
	defer func() { _ = restarted.Close() }()
	isHalted := func() bool { return restarted.haltCause() != nil }
	require.Eventually(t, isHalted, waitTimeout, checkInterval)
	require.Len(t, restarted.leases.Sessions(), 1)
	_, isSelf := restarted.Leader()
	require.False(t, isSelf)
}
