package rebalance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
)

func TestProgressApply_RejectsStaleCommands(t *testing.T) {
	sim := newSimulation(t, "a")
	text := twoMembers + "leave \"a\" {}\n"
	require.NoError(t, sim.adoptPlan(text))
	p, err := NewPlan(sim.file, sim.shards, nil)
	require.NoError(t, err)
	for name, c := range map[string]struct {
		cmd  cluster.Command
		want error
	}{
		"outdated plan number":      {Coordinator(1).Adopt(0, "f.hcl", []byte(text), p), cluster.ErrStale},
		"step of another plan":      {Coordinator(1).RecordState(2, 0, Started, 5), cluster.ErrStale},
		"no such step":              {Coordinator(1).RecordState(1, 1, Started, 5), cluster.ErrNotFound},
		"stop of another plan":      {Coordinator(1).Stop(2, "x"), cluster.ErrStale},
		"back to the initial state": {Coordinator(1).RecordState(1, 0, Pending, 5), cluster.ErrStale},
	} {
		_, err := sim.propose(c.cmd)
		assert.ErrorIs(t, err, c.want, name)
	}
	sim.mustPropose(Coordinator(1).RecordState(1, 0, Done, 5))
	_, err = sim.propose(Coordinator(1).RecordState(1, 0, Started, 5))
	assert.ErrorIs(t, err, cluster.ErrStale, "the step is done")
}

// FuzzProgress checks that any command or snapshot is either rejected or results in a state that can be scheduled, and
// restored from its snapshot.
func FuzzProgress(f *testing.F) {
	file, err := planfile.Parse([]byte(twoMembers+"leave \"a\" {}\n"), "f.hcl")
	require.NoError(f, err)
	p, err := NewPlan(file, newSimulation(f, "a", "b").shards, nil)
	require.NoError(f, err)
	f.Add(Coordinator(1).Adopt(0, "f.hcl", []byte(twoMembers), p).Body)
	f.Add(Coordinator(1).RecordState(1, 0, Started, 3).Body)
	f.Add(Coordinator(1).Stop(1, "x").Body)
	f.Fuzz(func(t *testing.T, body []byte) {
		var next Progress
		for _, accept := range []func() error{
			func() error { _, err := next.Apply(1, body); return err },
			func() error { return next.Restore(body) },
		} {
			if accept() == nil {
				next.Schedule(file, newSimulation(t, "a", "b").shards, Observations{})
				snapshot, err := next.Snapshot()
				require.NoError(t, err)
				assert.NoError(t, new(Progress).Restore(snapshot))
			}
		}
	})
}
