package raftnode

import (
	"bytes"
	"maps"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/transport"
)

// metricsText returns the node's metrics in the Prometheus text format.
func (n *Node) metricsText() string {
	var text bytes.Buffer
	n.WriteMetrics(&text)
	return text.String()
}

func TestNode_CountsJoinsAndRemovals(t *testing.T) {
	config, listener := singleNode(t, t.TempDir())
	n, err := Open(config, listener)
	require.NoError(t, err)
	defer func() { _ = n.Close() }()
	requireMetrics := func(joined, removed string) {
		t.Helper()
		require.Eventually(t, func() bool {
			text := n.metricsText()
			return strings.Contains(text, "rowanlink_keeper_joined_total "+joined+"\n") &&
				strings.Contains(text, "rowanlink_keeper_removed_total "+removed+"\n")
		}, waitTimeout, checkInterval)
	}
	require.Eventually(t, func() bool { _, isSelf := n.Leader(); return isSelf }, waitTimeout, checkInterval)
	requireMetrics("0", "0")

	withSecond := maps.Clone(config.Addresses)
	withSecond["m2"] = "127.0.0.1:1" // nothing listens there; a learner is not needed for a quorum
	n.SetAddresses(withSecond)
	n.mu.Lock()
	n.joinRequests["m2"] = transport.JoinRequest{Member: "m2", ServerID: "m2/0123456789abcdef"}
	n.mu.Unlock()
	requireMetrics("1", "0")
	require.Equal(t, map[cluster.MemberID]bool{"m1": true, "m2": false}, n.Membership())

	n.SetAddresses(config.Addresses)
	requireMetrics("1", "1")
	require.Equal(t, map[cluster.MemberID]bool{"m1": true}, n.Membership())
}
