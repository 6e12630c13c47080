package timeline

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestReduce_KeepsWhatIsNeeded: of a timeline that breaks a rule by some of its events, those remain and no others, and
// it still breaks no limit.
func TestReduce_KeepsWhatIsNeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generated := Generate(rapid.Uint64().Draw(t, "seed"), Small)
		needed := map[string]bool{}
		for _, event := range generated.Events {
			if rapid.Bool().Draw(t, "needed") {
				needed[event.String()] = true
			}
		}
		breaks := func(candidate Timeline) bool {
			require.NoError(t, candidate.Check())
			found := 0
			for _, event := range candidate.Events {
				if needed[event.String()] {
					found++
				}
			}
			return found >= len(needed)
		}
		reduced := generated.Reduce(breaks)
		assert.Len(t, reduced.Events, len(needed))
		assert.True(t, breaks(reduced))
		assert.Equal(t, generated.Length, reduced.Length)
	})
}

// TestReduce_StopsWhereNothingCanBeLeftOut: the timeline given isn't changed.
func TestReduce_StopsWhereNothingCanBeLeftOut(t *testing.T) {
	generated := Generate(1, Small)
	before := Generate(1, Small)
	assert.Equal(t, before, generated.Reduce(func(Timeline) bool { return false }))
	assert.Empty(t, generated.Reduce(func(Timeline) bool { return true }).Events)
	assert.Equal(t, before, generated)
}
