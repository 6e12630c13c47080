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

// ShardMap is the newest map of ranges that a keeper has, asked for as members do; nil: none can tell.
func (f *Cluster) ShardMap() (newest *shardmap.Map) {
	f.t.Helper()
	says := map[cluster.MemberID]string{}
	for _, m := range f.RaftNodes() {
		if m.Running() && !m.paused {
			says[cluster.MemberID(m.Name)] = m.peerPort.Addr
		}
	}
	asks := transport.NewClient("proof", says)
	defer asks.Close()
	for keeper := range says {
		status, raw, err := asks.Call(keeper, transport.StatePath,
			transport.Encode(transport.StateRequest{Versions: map[byte]uint64{cluster.ShardMapComponent: 0}}), 2*time.Second)
		var answer transport.StateResponse
		if err != nil || status != 200 || transport.Decode(raw, &answer) != nil || len(answer.Components) == 0 {
			continue
		}
		chart := shardmap.New(nil)
		require.NoError(f.t, chart.Restore(answer.Components[0].Data))
		if newest == nil || chart.Version > newest.Version {
			newest = chart
		}
	}
	return newest
}

// Owner is who is home of a destination and serves, or nil.
func (f *Cluster) Owner(dest api.DestinationID) *Member {
	if chart := f.ShardMap(); chart != nil {
		if r, ok := chart.RangeOf(chart.KeyOf(dest)); ok && r.Status == shardmap.OwnerServing {
			return f.Member(string(r.Owner))
		}
	}
	return nil
}

// AwaitStable waits until each range has a home that serves, and nothing of a move is left; none is a member of
// but.
func (f *Cluster) AwaitStable(but ...*Member) {
	f.t.Helper()
	f.Eventually("all ranges are homed", func() bool { return f.isServed(true, but) })
}

// AwaitServed waits until each range has a home that runs and serves. A move may be left for a member that doesn't
// run.
func (f *Cluster) AwaitServed() {
	f.t.Helper()
	f.Eventually("all ranges are served", func() bool { return f.isServed(false, nil) })
}

func (f *Cluster) isServed(settled bool, but []*Member) bool {
	chart := f.ShardMap()
	if chart == nil || len(chart.Ranges) == 0 || settled && len(chart.DetachedMoves) > 0 {
		return false
	}
	return !slices.ContainsFunc(chart.Ranges, func(r shardmap.Range) bool {
		home := f.Member(string(r.Owner))
		return r.Status != shardmap.OwnerServing || settled && r.Move.IsOpen() || !home.Running() || slices.Contains(but,
			home)
	})
}
