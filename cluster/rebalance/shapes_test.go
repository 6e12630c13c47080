package rebalance

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
)

// The splits and merges are printed with what waits for them.
func TestSplitsAndMergesAreShown(t *testing.T) {
	w := newWorld(t, "a", "a", "b", "b")
	text := two + "pin \"p\" {\n destinations = [2]\n to = \"b\"\n}\n"
	var out strings.Builder
	require.NoError(t, PrintPlan([]byte(text), "f.hcl", w.m, nil, &out))
	for _, line := range []string{
		"1     1      a     a   0%         at once: splits range 5 off at 0x277af360cedcb29f",
		"2     1      a     a   0%         splits range 6 off at 0x277af360cedcb29e; waits: step 1 goes first",
		"waits: range 6 is split off by step 2 first",
		"1 moves, keys moved",
	} {
		assert.Contains(t, out.String(), line)
	}
	require.NoError(t, w.adopt(text))
	rapid.Check(t, func(t *rapid.T) {
		w.settle(t)
	})
	require.Len(t, w.m.Ranges, 6)
	out.Reset()
	require.NoError(t, PrintPlan([]byte(two), "f.hcl", w.m, nil, &out))
	assert.Contains(t, out.String(), "merges range 6 into it; ")
	assert.Contains(t, out.String(), "merges range 5 into it; ")
}

// A range that moves can't be split: the conductor learns which, to end that first.
func TestARangeThatMovesIsNotSplit(t *testing.T) {
	w := newWorld(t, "a", "a", "b", "b")
	w.must(shardmap.Coordinator(1).PlanMove(1, "a", "b"))
	f, err := planfile.Parse([]byte(two+"pin \"p\" {\n destinations = [2]\n to = \"b\"\n}\n"), "f.hcl")
	require.NoError(t, err)
	_, err = NewPlan(f, w.m, nil)
	var moving *RangeMovingError
	require.ErrorAs(t, err, &moving)
	assert.Equal(t, cluster.RangeID(1), moving.Range)
}

// What follows a range's beginning is weighed with it: the beginning by itself looks cheap.
func TestPiecesAreWeighedWithTheirRange(t *testing.T) {
	f, err := planfile.Parse([]byte(two+"pin \"p\" {\n destinations = [2]\n to = \"a\"\n}\n"), "f.hcl")
	require.NoError(t, err)
	p, err := NewPlan(f, newWorld(t, "a", "a").m, func(id cluster.RangeID) uint64 { return 2000 - 500*uint64(id) })
	require.NoError(t, err)
	assert.Equal(t, uint64(1000), p.MovedKeys)
}
