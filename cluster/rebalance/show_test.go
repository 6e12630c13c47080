package rebalance

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
)

// The steps are shown with what each waits for, and the keys beside the least possible.
func TestAPlanIsShownWithWhatEachStepWaitsFor(t *testing.T) {
	text := "member \"a\" { room = 1 }\nmember \"b\" { room = 1 }\nmember \"c\" { weight = 0 }\n" +
		"pin \"p\" {\n " + of(0, 2) + "\n to = \"b\"\n}\npin \"q\" {\n " + of(1, 2) + "\n to = \"a\"\n}\n"
	var out strings.Builder
	keys := func(id cluster.RangeID) uint64 { return uint64(10 * id) }
	require.NoError(t, PrintPlan([]byte(text), "f.hcl", newWorld(t, "a", "b").m, keys, &out))
	for _, line := range []string{
		"1     1      a     c   10    starts at once; a stop-over",
		"2     2      b     a   20    waits: a has no room until step 1 is through",
		"3     1      c     b   10    waits: range 1 moves by step 1 first",
		"3 moves, keys moved: 40; the least possible is 30",
	} {
		assert.Contains(t, out.String(), line)
	}
}

// The example that operators start from can be carried out from the first map on.
func TestTheExampleCanBeShown(t *testing.T) {
	example, err := os.ReadFile("../../deploy/fleet.hcl")
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, PrintPlan(example, "fleet.hcl", nil, nil, &out))
	assert.Contains(t, out.String(), `waits: pin "billing"`)
}
