package experiment

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const ownershipSweep = `base = "small.toml"
seeds = [1, 2, 3]

[[vary]]
keys = ["dispatchers.count"]
values = [[2], [8]]
`

func TestCompareOwnership(t *testing.T) {
	dir := t.TempDir()
	write(t, dir, "small.toml", small("[clients]", "[[trouble]]\nkind = \"down\"\nat = \"2s\"\nfor = \"2s\"\n"+
		"busiest = 2\n\n[homes]\nterm = \"1s\"\nhop = 4.0\n\n[clients]\nskew = 0.8"))
	compared := func() []OwnershipResult {
		s, points, err := LoadSweep(write(t, dir, "sweep.toml", ownershipSweep))
		require.NoError(t, err)
		runs := make(chan bool, 100)
		all, err := s.CompareOwnership(points, true, func() { runs <- true })
		require.NoError(t, err)
		assert.Len(t, runs, 2*3*3)
		return all
	}
	all := compared()
	require.Len(t, all, 2*3)
	for i, s := range all {
		assert.Equal(t, []int{2, 8}[i/3], s.Dispatchers)
		assert.Equal(t, []string{EvenShares, "homes, hop 4, lost 0%", "homes, hop 0, lost 0%"}[i%3], s.Mode)
		assert.InDelta(t, s.Value-all[i-i%3].Value, s.Difference, 1e-9)
		assert.Equal(t, i%3 > 0, s.Handoffs > 0, "%+v", s)
		assert.Equal(t, 2*3, s.Returns)
	}
	assert.Greater(t, all[4].HandoffP50, all[5].HandoffP50, "a hop takes time")
	assert.Greater(t, all[3].CallersDuringOutage, all[4].CallersDuringOutage, "one home sends the canaries")
	assert.Equal(t, all, compared(), "the same each time")
	table := OwnershipTable(all)
	assert.Equal(t, 2+6, strings.Count(table, "\n"))
	assert.Contains(t, table, "| small | 8 | homes, hop 4, lost 0% | ")

	write(t, dir, "small.toml", small())
	s, points, err := LoadSweep(write(t, dir, "sweep.toml", ownershipSweep))
	require.NoError(t, err)
	_, err = s.CompareOwnership(points, true, func() {})
	assert.ErrorContains(t, err, "no table homes")
}
