package rebalance

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/cluster"
)

func TestPrintPlan_ShowsBlockedSteps(t *testing.T) {
	text := "member \"a\" { room = 1 }\nmember \"b\" { room = 1 }\nmember \"c\" { weight = 0 }\n" +
		"pin \"p\" {\n " + hashesIn(0, 2) + "\n to = \"b\"\n}\npin \"q\" {\n " + hashesIn(1, 2) + "\n to = \"a\"\n}\n"
	var out strings.Builder
	keys := func(id cluster.RangeID) uint64 { return uint64(10 * id) }
	require.NoError(t, PrintPlan([]byte(text), "f.hcl", newSimulation(t, "a", "b").shards, keys, &out))
	for _, line := range []string{
		"1     1      a     c   10    starts now; a detour that frees capacity",
		"2     2      b     a   20    blocked: a has no capacity until step 1 is done",
		"3     1      c     b   10    blocked: range 1 moves by step 1 first",
		"3 moves, keys moved: 40; minimum: 30",
	} {
		assert.Contains(t, out.String(), line)
	}
}

// The example file for operators yields a plan from the initial map.
func TestPrintPlan_ExampleFile(t *testing.T) {
	example, err := os.ReadFile("../../deploy/fleet.hcl")
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, PrintPlan(example, "fleet.hcl", nil, nil, &out))
	assert.Contains(t, out.String(), `blocked: pin "billing"`)
}

func TestPrintPlan_ShowsSplitsAndMerges(t *testing.T) {
	sim := newSimulation(t, "a", "a", "b", "b")
	text := twoMembers + "pin \"p\" {\n destinations = [2]\n to = \"b\"\n}\n"
	var out strings.Builder
	require.NoError(t, PrintPlan([]byte(text), "f.hcl", sim.shards, nil, &out))
	for _, line := range []string{
		"1     1      a     a   0%         starts now: splits range 5 off at 0x277af360cedcb29f",
		"2     1      a     a   0%         splits range 6 off at 0x277af360cedcb29e; blocked: step 1 has to be done first",
		"blocked: range 6 is split off by step 2 first",
		"1 moves, keys moved",
	} {
		assert.Contains(t, out.String(), line)
	}
	require.NoError(t, sim.adoptPlan(text))
	rapid.Check(t, func(t *rapid.T) {
		sim.runToEnd(t)
	})
	require.Len(t, sim.shards.Ranges, 6)
	out.Reset()
	require.NoError(t, PrintPlan([]byte(twoMembers), "f.hcl", sim.shards, nil, &out))
	assert.Contains(t, out.String(), "merges range 6 into it; ")
	assert.Contains(t, out.String(), "merges range 5 into it; ")
}
