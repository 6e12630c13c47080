package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

// TestSchedule_LeavesTimeForEachStep guards against a good version that is rolled back as undecided because the ramp and
// the full step don't fit into the duration that the order allows.
func TestSchedule_LeavesTimeForEachStep(t *testing.T) {
	for _, duration := range []time.Duration{time.Second, 8 * time.Second, 16 * time.Second, time.Minute, 2 * time.Minute, 15 * time.Minute, 24 * time.Hour} {
		s := newSchedule(duration)
		fullAt := s.rampAt + s.rampTime
		assert.Less(t, s.loadAt, s.rampAt, "%v", duration)
		assert.Less(t, fullAt, s.promoteBy, "%v", duration)
		assert.Less(t, fullAt+s.fullTime, s.rollBackBy, "%v", duration)
		assert.Less(t, s.promoteBy, s.rollBackBy, "%v", duration)
		assert.Less(t, s.rollBackBy, duration, "%v", duration)
	}
}

func TestJudge_LongAndShortRollouts(t *testing.T) {
	for _, duration := range []time.Duration{6 * time.Second, time.Minute, 5 * time.Minute} {
		s := &simulation{random: rand.New(rand.NewPCG(1, 1)), rate: 100, duration: duration}
		assert.Equal(t, state.RolloutPromoted, s.run(), "%v", duration)
		assert.Less(t, s.decided, duration)
	}
}
