package rebalance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
)

// A range that moves can't be split: the error names it, so that the coordinator can end the move first.
func TestNewPlan_DoesNotSplitAMovingRange(t *testing.T) {
	sim := newSimulation(t, "a", "a", "b", "b")
	sim.mustPropose(shardmap.Coordinator(1).PlanMove(1, "a", "b"))
	f, err := planfile.Parse([]byte(twoMembers+"pin \"p\" {\n destinations = [2]\n to = \"b\"\n}\n"), "f.hcl")
	require.NoError(t, err)
	_, err = NewPlan(f, sim.shards, nil)
	var moving *RangeMovingError
	require.ErrorAs(t, err, &moving)
	assert.Equal(t, cluster.RangeID(1), moving.Range)
}

// Split-off ranges that follow their base range are weighed with it: the base range alone looks cheap.
func TestNewPlan_WeighsSplitOffRangesWithTheirBase(t *testing.T) {
	f, err := planfile.Parse([]byte(twoMembers+"pin \"p\" {\n destinations = [2]\n to = \"a\"\n}\n"), "f.hcl")
	require.NoError(t, err)
	p, err := NewPlan(f, newSimulation(t, "a", "a").shards, func(id cluster.RangeID) uint64 { return 2000 - 500*uint64(id) })
	require.NoError(t, err)
	assert.Equal(t, uint64(1000), p.MovedKeys)
}
