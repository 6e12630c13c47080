package session_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
)

// A raft node that has lost its state directory joins as a new raft server. Grants stay valid, and the vote of the lost
// server is removed: otherwise the others would have no majority once one more node is down.
func TestRaftNode_RejoinsAfterStateLoss(t *testing.T) {
	t.Parallel()
	c := startCluster(t, leaseTTL)
	a := c.startSession("a", "home/1")
	epoch := awaitHeld(t, a, "home/1")
	lost := c.names[0] // the one that bootstrapped the raft group
	c.stopNode(lost)
	require.NoError(t, os.RemoveAll(filepath.Join(c.stateDirs[lost], "fleet")))
	c.startNode(lost)
	require.Eventually(t, func() bool {
		servers, voters := 0, 0
		for _, v := range c.running[c.awaitLeader()].Membership() {
			servers++
			if v {
				voters++
			}
		}
		return servers == 3 && voters == 3 && c.running[lost].LastIndex() > 0 && c.running[lost].IsVoter()
	}, longTimeout, 10*time.Millisecond)
	require.Equal(t, epoch, awaitHeld(t, a, "home/1"))
	c.stopNode(c.names[1])
	awaitHeld(t, c.startSession("b", "home/2"), "home/2")
	require.Equal(t, epoch, awaitHeld(t, a, "home/1"))
}

// Of three nodes, m3 is behind, m1 has lost its state directory and m2 is down. No node may lead until m2 is back, so
// that no entry is lost that m1 and m2 had committed. Guards against m1 voting for m3 because it has lost its log.
func TestRaftNode_DoesNotVoteTwiceAfterStateLoss(t *testing.T) {
	t.Parallel()
	c := startCluster(t, leaseTTL)
	awaitHeld(t, c.startSession("x", "home/0"), "home/0")
	for c.awaitLeader() == "m3" {
		c.stopNode("m3")
		c.awaitLeader("m3")
		c.startNode("m3")
	}
	c.partition("m3", c.names...)
	a := c.startSession("a", "home/1")
	epoch := awaitHeld(t, a, "home/1") // by m1 and m2
	c.stopNode("m1")
	c.stopNode("m2")
	require.NoError(t, os.RemoveAll(filepath.Join(c.stateDirs["m1"], "fleet")))
	c.startNode("m1")
	for _, setLinks := range []func(cluster.MemberID, ...cluster.MemberID){c.partition, c.heal} {
		setLinks("m3", c.names...)
		time.Sleep(2 * time.Second)
		for _, m := range []cluster.MemberID{"m1", "m3"} {
			_, leads := c.running[m].Leader()
			require.False(t, leads)
		}
	}
	c.startNode("m2")
	awaitHeld(t, c.startSession("b", "home/2"), "home/2")
	require.GreaterOrEqual(t, awaitHeld(t, a, "home/1"), epoch)
}

func TestRaftNode_MembershipFollowsTheOperatorFile(t *testing.T) {
	t.Parallel()
	c := startCluster(t, leaseTTL)
	a := c.startSession("a", "home/1")
	epoch := awaitHeld(t, a, "home/1")
	c.addNode("m4")
	gone := c.awaitLeader()
	c.names = slices.DeleteFunc(c.names, func(m cluster.MemberID) bool { return m == gone })
	delete(c.raftAddresses, gone)
	c.startNode("m4")
	for m, r := range c.running {
		r.client.SetAddresses(c.addressesFor(m, c.addresses))
		r.SetAddresses(c.addressesFor(m, c.raftAddresses))
	}
	a.Leader.SetNodes(c.names)
	require.Eventually(t, func() bool {
		servers := c.running[c.awaitLeader(gone)].Membership()
		_, still := servers[gone]
		return len(servers) == 3 && !still && servers["m4"]
	}, longTimeout, 10*time.Millisecond)
	c.stopNode(gone)
	c.stopNode(c.names[0])
	require.Equal(t, epoch, awaitHeld(t, a, "home/1"))
	awaitHeld(t, c.startSession("b", "home/2"), "home/2")
}
