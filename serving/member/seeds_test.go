package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func nobody(string) bool { return false }

// TestSeedsAreCalledInQuickSuccessionAtFirst: the first seed in the list may be far away or down, the last one near.
func TestSeedsAreCalledInQuickSuccessionAtFirst(t *testing.T) {
	begun := time.Unix(1000, 0)
	plan := newSeedSchedule(begun, "own", []string{"a", "own", "b", "c"})
	var called []string
	var at []time.Duration
	for now := begun; now.Before(begun.Add(time.Second)); now = now.Add(time.Millisecond) {
		if address := plan.takeDue(now, true, nobody); address != "" {
			called = append(called, address)
			at = append(at, now.Sub(begun))
			plan.finish(address) // refused
		}
	}
	assert.Equal(t, []string{"b", "c", "a"}, called[:3])
	assert.Equal(t, []time.Duration{0, firstSeedInterval, 2 * firstSeedInterval, 2*firstSeedInterval + joinInterval}, at[:4])
	assert.LessOrEqual(t, len(called), 3+int(time.Second/joinInterval))
}

func TestSeedsAreLeftAloneOnceTheyAreMembers(t *testing.T) {
	now := time.Unix(1000, 0)
	plan := newSeedSchedule(now, "own", []string{"a", "b"})
	assert.Equal(t, "b", plan.takeDue(now, true, nobody))
	everybody := func(string) bool { return true }
	assert.Empty(t, plan.takeDue(now.Add(time.Minute), false, everybody))
}
