package main

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

func TestRollout_BeginAndShow(t *testing.T) {
	register := &fakeRegister{}
	s, out := newSession(startCore(t, register))
	assert.ErrorContains(t, (&showRolloutCommand{Service: "writer"}).Run(t.Context(), s), "no roll-out")
	assert.ErrorContains(t, (&beginRolloutCommand{Service: "writer", Target: "v2"}).Run(t.Context(), s), "--over")
	require.NoError(t, (&beginRolloutCommand{Service: "writer", Target: "v2", Over: time.Minute}).Run(t.Context(), s))
	assert.Equal(t, "acknowledged: roll-out of writer to v2\n", out.String())
	out.Reset()
	require.NoError(t, (&showRolloutCommand{Service: "writer"}).Run(t.Context(), s))
	assert.Contains(t, out.String(), "writer to v2: in_transit, step canary\n")

	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorContains(t, (&showRolloutCommand{Service: "writer", Follow: true}).Run(short, s), "still in progress")

	register.record.SetRollout(state.Rollout{Service: "writer", Target: "v2", State: state.RolloutRolledBack,
		Retired: []string{"v2"}, Verdict: state.RolloutVerdict{Reason: state.RolloutFailures, Route: "chat",
			Target: state.AnswerCounts{Answers: 12, Failed: 5, Timed: 11, Slow: 1}, Baseline: state.AnswerCounts{Answers: 400}}})
	out.Reset()
	require.NoError(t, (&showRolloutCommand{Service: "writer", Follow: true}).Run(t.Context(), s))
	assert.Equal(t, "writer to v2: returned\nreason: failures (chat)\ntarget: 12 answers, 5 failed; 11 timed, 1 slow\n"+
		"versions in force: 400 answers, 0 failed; 0 timed, 0 slow\nretired: v2\n", out.String())
}
