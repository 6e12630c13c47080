package harness

import (
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// ShardMap returns the newest shard map that a raft node has, requested as members do, or nil if none responds.
func (c *Cluster) ShardMap() (newest *shardmap.Map) {
	c.t.Helper()
	addrs := map[cluster.MemberID]string{}
	for _, m := range c.RaftNodes() {
		if m.IsRunning() && !m.paused {
			addrs[cluster.MemberID(m.Name)] = m.peerPort.Addr
		}
	}
	client := transport.NewClient("proof", addrs)
	defer client.Close()
	for node := range addrs {
		response, ok := requestShardMap(client, node, 0, 2*time.Second)
		if !ok || len(response.Components) == 0 {
			continue
		}
		m := shardmap.New(nil)
		require.NoError(c.t, m.Restore(response.Components[0].Data))
		if newest == nil || m.Version > newest.Version {
			newest = m
		}
	}
	return newest
}

// requestShardMap requests the shard map of a raft node if it is newer than a version.
func requestShardMap(client *transport.Client, node cluster.MemberID, version uint64,
	timeout time.Duration) (state transport.StateResponse, ok bool) {
	request := transport.StateRequest{Versions: map[cluster.ComponentID]uint64{cluster.ShardMapComponent: version}}
	response, err := client.Call(node, transport.StatePath, transport.Encode(request), timeout)
	if err != nil {
		return state, false
	}
	return state, response.Decode(&state) == nil
}

// Owner returns the member that owns and serves a destination's range, or nil.
func (c *Cluster) Owner(destination api.DestinationID) *Member {
	m := c.ShardMap()
	if m == nil {
		return nil
	}
	r, ok := m.RangeOf(m.KeyOf(destination))
	if !ok || r.Status != shardmap.OwnerServing {
		return nil
	}
	return c.Member(string(r.Owner))
}

// AwaitStable waits until each range has an owner that serves it, nothing of a move is left, and none of some members
// owns a range.
func (c *Cluster) AwaitStable(except ...*Member) {
	c.t.Helper()
	c.Eventually("all ranges have an owner and no move is open", func() bool {
		m := c.ShardMap()
		return m != nil && c.isServed(m, except) && !hasOpenMoves(m)
	})
}

// AwaitServed waits until each range has an owner that runs and serves it. Moves with members that don't run may be
// open.
func (c *Cluster) AwaitServed() {
	c.t.Helper()
	c.Eventually("all ranges are served", func() bool {
		m := c.ShardMap()
		return m != nil && c.isServed(m, nil)
	})
}

func (c *Cluster) isServed(m *shardmap.Map, except []*Member) bool {
	if len(m.Ranges) == 0 {
		return false
	}
	return !slices.ContainsFunc(m.Ranges, func(r shardmap.Range) bool {
		owner := c.Member(string(r.Owner))
		return r.Status != shardmap.OwnerServing || !owner.IsRunning() || slices.Contains(except, owner)
	})
}

func hasOpenMoves(m *shardmap.Map) bool {
	return len(m.DetachedMoves) > 0 ||
		slices.ContainsFunc(m.Ranges, func(r shardmap.Range) bool { return r.Move.IsOpen() })
}
