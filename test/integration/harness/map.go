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

// Map is the newest map of ranges that a keeper has, asked for as members do; nil: none can tell.
func (f *Fleet) Map() (newest *shardmap.Map) {
	f.t.Helper()
	says := map[cluster.MemberID]string{}
	for _, m := range f.Keepers() {
		if m.Running() && !m.stopped {
			says[cluster.MemberID(m.Name)] = m.says.Addr
		}
	}
	asks := transport.NewClient("proof", says)
	defer asks.Close()
	for keeper := range says {
		status, raw, err := asks.Call(keeper, transport.StatePath,
			transport.Encode(transport.StateRequest{Versions: map[byte]uint64{cluster.ShardMapComponent: 0}}), 2*time.Second)
		var answer transport.StateResponse
		if err != nil || status != 200 || transport.Decode(raw, &answer) != nil || len(answer.Parts) == 0 {
			continue
		}
		chart := shardmap.New(nil)
		require.NoError(f.t, chart.Restore(answer.Parts[0].Data))
		if newest == nil || chart.Version > newest.Version {
			newest = chart
		}
	}
	return newest
}

// Home is who is home of a destination and serves, or nil.
func (f *Fleet) Home(dest api.DestinationID) *Member {
	if chart := f.Map(); chart != nil {
		if r, ok := chart.RangeOf(chart.KeyOf(dest)); ok && r.Status == shardmap.OwnerServing {
			return f.Member(string(r.Owner))
		}
	}
	return nil
}

// Homed waits until each range has a home that serves, and nothing of a move is left; none is a member of
// but.
func (f *Fleet) Homed(but ...*Member) {
	f.t.Helper()
	f.Soon("all ranges are homed", func() bool { return f.homed(true, but) })
}

// Served waits until each range has a home that runs and serves. A move may be left for a member that doesn't
// run.
func (f *Fleet) Served() {
	f.t.Helper()
	f.Soon("all ranges are served", func() bool { return f.homed(false, nil) })
}

func (f *Fleet) homed(settled bool, but []*Member) bool {
	chart := f.Map()
	if chart == nil || len(chart.Ranges) == 0 || settled && len(chart.DetachedMoves) > 0 {
		return false
	}
	return !slices.ContainsFunc(chart.Ranges, func(r shardmap.Range) bool {
		home := f.Member(string(r.Owner))
		return r.Status != shardmap.OwnerServing || settled && r.Move.IsOpen() || !home.Running() || slices.Contains(but,
			home)
	})
}
