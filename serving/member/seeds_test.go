package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// neverMember reports for every address that no member has it.
func neverMember(string) bool { return false }

// TestSeedSchedule_FirstCalls checks that at first all seeds are called in quick succession: some may be far away or down,
// while another one is near.
func TestSeedSchedule_FirstCalls(t *testing.T) {
	start := time.Unix(1000, 0)
	schedule := newSeedSchedule(start, "own", []string{"a", "own", "b", "c"})
	var called []string
	var at []time.Duration
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
		if address := schedule.takeDue(now, true, neverMember); address != "" {
			called = append(called, address)
			at = append(at, now.Sub(start))
			schedule.finish(address) // the connection was refused
		}
	}
	assert.Equal(t, []string{"b", "c", "a"}, called[:3])
	wantTimes := []time.Duration{0, firstSeedInterval, 2 * firstSeedInterval, 2*firstSeedInterval + joinInterval}
	assert.Equal(t, wantTimes, at[:4])
	assert.LessOrEqual(t, len(called), 3+int(time.Second/joinInterval))
}

func TestSeedSchedule_SkipsMembers(t *testing.T) {
	now := time.Unix(1000, 0)
	schedule := newSeedSchedule(now, "own", []string{"a", "b"})
	assert.Equal(t, "b", schedule.takeDue(now, true, neverMember))
	allMembers := func(string) bool { return true }
	assert.Empty(t, schedule.takeDue(now.Add(time.Minute), false, allMembers))
}
