package session_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/member/session"
	"rowanlink/cluster/transport"
)

func TestSession_ResourceIsExclusiveUntilReleased(t *testing.T) {
	c := startCluster(t, leaseTTL)
	a, b := c.startSession("a", "home/1"), c.startSession("b")
	requireExclusive(t, a, b)
	first := awaitHeld(t, a, "home/1")
	b.Acquire("home/1")
	b.Acquire("home/2")
	awaitHeld(t, b, "home/2")
	_, held := b.Holds("home/1")
	require.False(t, held)
	a.Release("home/1")
	_, held = a.Holds("home/1")
	require.False(t, held)
	second := awaitHeld(t, b, "home/1")
	require.Greater(t, second, first)
	a.Acquire("home/1")
	b.Release("home/1")
	require.Greater(t, awaitHeld(t, a, "home/1"), second)
}

// Guards against a log entry for each renewal, or for each request for a resource that another session holds.
func TestSession_IdleSessionsWriteNoLogEntries(t *testing.T) {
	c := startCluster(t, leaseTTL/2)
	a := c.startSession("a", "home/1")
	awaitHeld(t, a, "home/1")
	b := c.startSession("b", "home/1", "home/2")
	awaitHeld(t, b, "home/2")
	leader := c.running[c.awaitLeader()]
	renewed, entries := leader.RenewalsAccepted.Load(), leader.LastIndex()
	late := c.startSession("c", "home/1")
	require.Eventually(t, func() bool {
		return late.IsActive() && leader.RenewalsAccepted.Load() >= renewed+15
	}, longTimeout, time.Millisecond)
	require.Equal(t, entries+1, leader.LastIndex()) // the entry that opens c's session
}

// A leader that is partitioned from the other raft nodes renews no session, since another node may already lead.
func TestRaftNode_PartitionedLeaderRenewsNoSession(t *testing.T) {
	c := startCluster(t, leaseTTL)
	leader := c.awaitLeader()
	client := transport.NewClient("a", c.addresses)
	defer client.Close()
	renew := func(session cluster.SessionID) (status int, answer transport.SessionResponse) {
		request := transport.SessionRequest{Member: "a", Session: session, Incarnation: 77}
		response, err := client.Call(leader, transport.SessionPath, transport.Encode(request), longTimeout)
		require.NoError(t, err)
		if response.Status == fasthttp.StatusOK {
			require.NoError(t, response.Decode(&answer))
		}
		return response.Status, answer
	}
	_, opened := renew(0)
	status, _ := renew(opened.Session)
	require.Equal(t, fasthttp.StatusOK, status)
	c.partition(leader, c.names...)
	status, _ = renew(opened.Session)
	require.Equal(t, fasthttp.StatusMisdirectedRequest, status)
}

func TestSession_LeasesOutliveTheLeader(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2*leaseTTL)
	a, b := c.startSession("a", "home/1"), c.startSession("b")
	requireExclusive(t, a, b)
	epoch := awaitHeld(t, a, "home/1")
	b.Acquire("home/1")
	old := c.awaitLeader()
	c.partition(old, append(slices.Clone(c.names), "a", "b")...)
	c.awaitLeader(old)
	require.Eventually(t, func() bool { return c.running[old].LeadershipsLost.Load() > 0 }, longTimeout, time.Millisecond)
	time.Sleep(2 * 2 * time.Second) // two lease TTLs
	still, held := a.Holds("home/1")
	require.True(t, held)
	require.Equal(t, epoch, still)
	c.heal(old, append(slices.Clone(c.names), "a", "b")...)
	a.Close()
	require.Greater(t, awaitHeld(t, b, "home/1"), epoch)
}

func TestSession_PartitionedHolderExpiresBeforeNextGrant(t *testing.T) {
	t.Parallel()
	c := startCluster(t, leaseTTL)
	a, b := c.startSession("a", "home/1"), c.startSession("b")
	requireExclusive(t, a, b)
	epoch := awaitHeld(t, a, "home/1")
	b.Acquire("home/1")
	c.partition("a", c.names...)
	later := awaitHeld(t, b, "home/1")
	require.Greater(t, later, epoch)
	c.heal("a", c.names...)
	b.Close()
	require.Greater(t, awaitHeld(t, a, "home/1"), later)
}

func TestSession_NoLeaseWithoutQuorum(t *testing.T) {
	t.Parallel()
	c := startCluster(t, leaseTTL)
	a := c.startSession("a", "home/1")
	epoch := awaitHeld(t, a, "home/1")
	c.stopNode("m1")
	c.stopNode("m2")
	require.Eventually(t, func() bool {
		_, held := a.Holds("home/1")
		return !held && c.running["m3"].QuorumLosses.Load() > 0 && a.SessionsLost.Load() > 0
	}, longTimeout, time.Millisecond)
	b := c.startSession("b", "home/2")
	time.Sleep(time.Second)
	_, held := b.Holds("home/2")
	require.False(t, held)
	c.startNode("m1")
	require.GreaterOrEqual(t, awaitHeld(t, a, "home/1"), epoch)
	awaitHeld(t, b, "home/2")
}

// All raft nodes stop and start again from their disks. The session and its leases are preserved.
func TestSession_LeasesOutliveARestartOfAllRaftNodes(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4*leaseTTL)
	a, b := c.startSession("a", "home/1", "home/2"), c.startSession("b")
	requireExclusive(t, a, b)
	epoch := awaitHeld(t, a, "home/1")
	b.Acquire("home/1")
	c.awaitLeader()
	for _, m := range c.names {
		c.stopNode(m)
	}
	for _, m := range c.names {
		c.startNode(m)
	}
	leader := c.running[c.awaitLeader()]
	require.Eventually(t, func() bool { return leader.RenewalsAccepted.Load() > 4 }, longTimeout, time.Millisecond)
	require.Equal(t, epoch, awaitHeld(t, a, "home/1"))
}

func TestSession_WatchersAreDeliveredNewState(t *testing.T) {
	t.Parallel()
	c := startCluster(t, leaseTTL)
	a := c.startSession("a")
	var delivered atomic.Pointer[lease.Table]
	var versions []uint64
	a.Watch(cluster.LeaseComponent, func(version uint64, snapshot []byte) {
		versions = append(versions, version)
		leases := lease.NewTable()
		if leases.Restore(snapshot) == nil {
			delivered.Store(leases)
		}
	})
	awaitDelivered := func(holder *session.Session, resource cluster.Resource) {
		t.Helper()
		epoch := awaitHeld(t, holder, resource)
		require.Eventually(t, func() bool {
			leases := delivered.Load()
			return leases != nil && leases.IsCurrent(resource, epoch)
		}, longTimeout, time.Millisecond)
	}
	b := c.startSession("b", "home/1")
	awaitDelivered(b, "home/1")
	for i, m := range c.names { // guards against polling only a partitioned node, which never has new state
		c.partition(m, c.names...)
		resource := cluster.RangeOwnerResource(cluster.RangeID(10 + i))
		b.Acquire(resource)
		awaitDelivered(b, resource)
		c.heal(m, c.names...)
	}
	many := make([]cluster.Resource, 0, 200)
	for i := range cap(many) {
		many = append(many, cluster.RangeOwnerResource(cluster.RangeID(100+i)))
		b.Acquire(many[i])
	}
	for i, resource := range append(many, "home/13", "home/14") { // guards against a full snapshot after each change
		if i >= len(many) {
			b.Acquire(resource)
		}
		awaitDelivered(b, resource)
	}
	require.Positive(t, a.DeltasApplied.Load())
	a.Close()
	require.True(t, slices.IsSorted(versions))
}
