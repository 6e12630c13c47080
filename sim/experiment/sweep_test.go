package experiment

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const grid = `base = "base.toml"
seeds = [1, 2]
policies = ["module", "once"]

[[vary]]
keys = ["dispatchers.count", "clients.rate"]
values = [[1, 30], [2, 60]]

[[vary]]
keys = ["kind.0.answer"]
values = [["50ms"], ["200ms"]]
`

func TestSweep_ContinuesAfterAKill(t *testing.T) {
	dir, out := t.TempDir(), t.TempDir()
	write(t, dir, "base.toml", small())
	path := write(t, dir, "grid.toml", grid)
	run := func(to string) (played int) {
		s, points, err := LoadSweep(path)
		require.NoError(t, err)
		require.Len(t, points, 16)
		_, err = s.Run(to, points, func() { played++ })
		require.NoError(t, err)
		return played
	}
	assert.Equal(t, 16, run(out), "the callback counts all runs")
	whole, rows := read(t, out, "runs.csv"), read(t, out, "rows.jsonl")
	assert.Equal(t, 17, strings.Count(whole, "\n"))

	// Killed after any number of rows, in the middle of a line too.
	for _, cut := range []int{0, 1, len(rows) / 3, len(rows) - 2} {
		again := t.TempDir()
		write(t, again, "rows.jsonl", rows[:cut])
		run(again)
		assert.Equal(t, whole, read(t, again, "runs.csv"), "cut at %d", cut)
		assert.Equal(t, 16, strings.Count(read(t, again, "rows.jsonl"), "\n"))
	}
	before := read(t, out, "rows.jsonl")
	run(out)
	assert.Equal(t, before, read(t, out, "rows.jsonl"), "nothing is played twice")

	// A base that has changed since is not taken for the old one.
	write(t, dir, "base.toml", small("spread = 0.4", "spread = 0.9"))
	run(out)
	assert.Equal(t, 32, strings.Count(read(t, out, "rows.jsonl"), "\n"))
	assert.NotEqual(t, whole, read(t, out, "runs.csv"))
}

func TestLoadSweep_ErrorsHaveTheirPlace(t *testing.T) {
	for _, c := range []struct{ change, to, want string }{
		{`"once"`, `"best"`, `grid.toml:3: policies: no policy is called "best"`},
		{"[1, 30]", "[1]", "grid.toml:7: vary.0.values: [1] has not one value for each of the 2 keys"},
		{"kind.0.answer", "kind.7.answer", `vary kind.7.answer: "7" is no place in a list of 1`},
		{"kind.0.answer", "kind.0.reply", "kind.reply: unknown key"},
		{"seeds", "seed", "grid.toml:2: seed: unknown key"},
		{`"200ms"`, `"0s"`, "kind.0.answer: must be over 0"},
	} {
		dir := t.TempDir()
		write(t, dir, "base.toml", small())
		_, _, err := LoadSweep(write(t, dir, "grid.toml", strings.Replace(grid, c.change, c.to, 1)))
		if assert.Error(t, err, c.to) {
			assert.Contains(t, err.Error(), c.want)
		}
	}
}

func TestCompare(t *testing.T) {
	s := parsed(
		t,
		small("[clients]", "[[trouble]]\nkind = \"errors\"\nfor = \"8s\"\nbusiest = 6\nsize = 0.3\n\n[clients]"),
	)
	c, err := Compare(s, DefaultPolicy, "once", 6, func() {})
	require.NoError(t, err)
	assert.Positive(t, c.Low)
	assert.LessOrEqual(t, c.Low, c.Diff)
	assert.GreaterOrEqual(t, c.High, c.Diff)
	assert.Positive(t, c.DeliveredLow, "more webhooks are delivered in their time with retries")
	assert.LessOrEqual(t, c.DeliveredLow, c.DeliveredDiff)
	same, err := Compare(s, DefaultPolicy, DefaultPolicy, 4, func() {})
	require.NoError(t, err)
	assert.Zero(t, same.Low)
	assert.Zero(t, same.High)
	assert.Zero(t, same.DeliveredDiff)
}
