package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/errcode"
	"rowanlink/serving/register"
	"rowanlink/serving/state"
)

func always(uint64) bool                     { return true }
func never(uint64) bool                      { return false }
func knownService(state.Configuration) error { return nil }

func orderOf(target string) Order {
	return Order{Service: "s", Target: target, Duration: 12 * time.Second}
}

// apply applies an update to a record in the way of the register.
func apply(t require.TestingT, record state.Record, update register.Update) state.Record {
	next, err := update(record)
	if err != nil {
		require.ErrorIs(t, err, register.ErrNoChange)
		return record
	}
	next.Revision = record.Revision + 1
	return next
}

// decide applies an action to the service's roll-out, based on its newest revision.
func decide(t require.TestingT, record state.Record, action Action, replaced ...string) state.Record {
	known, _ := record.Rollout("s")
	transition := Transition{Service: "s", Revision: known.Revision, Decision: Decision{Action: action}, Replaced: replaced}
	return apply(t, record, transition.Apply)
}

func stateOf(record state.Record) (string, state.RolloutState, state.RolloutStep) {
	known, _ := record.Rollout("s")
	return known.Target, known.State, known.Step
}

func TestTransitions(t *testing.T) {
	inProgress := apply(t, state.Record{Revision: 4}, Begin(orderOf("v2"), never, knownService))
	known, _ := inProgress.Rollout("s")
	assert.Equal(t, state.Rollout{Service: "s", Target: "v2", State: state.RolloutInProgress, DurationMillis: 12000,
		OrderRevision: 5, Revision: 5}, known)
	full := decide(t, decide(t, decide(t, inProgress, Advance), Advance), Advance)
	promoted := decide(t, full, Promote, "v1", "v2")
	rolledBack := decide(t, inProgress, RollBack)

	for _, test := range []struct {
		name    string
		record  state.Record
		target  string
		state   state.RolloutState
		step    state.RolloutStep
		retired []string
	}{
		{"sent again", apply(t, inProgress, Begin(orderOf("v2"), always, knownService)), "v2", state.RolloutInProgress, 0, nil},
		{"sent again with another time", apply(t, inProgress, Begin(Order{Service: "s", Target: "v2", Duration: 1}, never, knownService)), "v2", state.RolloutInProgress, 0, nil},
		{"another target", apply(t, inProgress, Begin(orderOf("v3"), always, knownService)), "v3", state.RolloutInProgress, 0, []string{"v2"}},
		{"advanced to the last step", full, "v2", state.RolloutInProgress, state.RolloutFull, nil},
		{"advanced beyond the last step", decide(t, full, Advance), "v2", state.RolloutInProgress, state.RolloutFull, nil},
		{"promoted too early", decide(t, inProgress, Promote), "v2", state.RolloutInProgress, 0, nil},
		{"delivered", promoted, "v2", state.RolloutPromoted, state.RolloutFull, []string{"v1"}},
		{"promoted, sent again", apply(t, promoted, Begin(orderOf("v2"), never, knownService)), "v2", state.RolloutPromoted, state.RolloutFull, []string{"v1"}},
		{"promoted, then the former version ordered", apply(t, promoted, Begin(orderOf("v1"), never, knownService)), "v1", state.RolloutInProgress, 0, nil},
		{"returned", rolledBack, "v2", state.RolloutRolledBack, 0, []string{"v2"}},
		{"rolled back, sent again soon", apply(t, rolledBack, Begin(orderOf("v2"), always, knownService)), "v2", state.RolloutRolledBack, 0, []string{"v2"}},
		{"rolled back, ordered again", apply(t, rolledBack, Begin(orderOf("v2"), never, knownService)), "v2", state.RolloutInProgress, 0, nil},
		{"rolled back, decided again", decide(t, rolledBack, Advance), "v2", state.RolloutRolledBack, 0, []string{"v2"}},
	} {
		target, reached, step := stateOf(test.record)
		known, _ := test.record.Rollout("s")
		assert.Equal(t, test.target, target, test.name)
		assert.Equal(t, test.state, reached, test.name)
		assert.Equal(t, test.step, step, test.name)
		assert.Equal(t, test.retired, known.Retired, test.name)
	}
}

func TestBegin_RejectsWhatTheConfigurationDoesNotName(t *testing.T) {
	rejected := errcode.RolloutServiceUnknown.With("s")
	_, err := Begin(orderOf("v2"), never, func(state.Configuration) error { return rejected })(state.Record{})
	assert.ErrorIs(t, err, rejected)
}

// TestTransitions_ProposedBySeveral generates orders and transitions that core members propose based on outdated records.
// A transition based on an outdated revision must change nothing, a roll-out that has ended must stay as it is, no step
// may be skipped, and no order may be lost.
func TestTransitions_ProposedBySeveral(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		record := state.Record{Revision: 1}
		seen := []state.Record{record}
		for range rapid.IntRange(1, 40).Draw(rt, "proposals") {
			basis, _ := seen[rapid.IntRange(0, len(seen)-1).Draw(rt, "basis")].Rollout("s")
			before, existed := record.Rollout("s")
			var update register.Update
			isOrder := rapid.IntRange(0, 3).Draw(rt, "kind") == 0
			if isOrder {
				target := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(rt, "target")
				update = Begin(orderOf(target), always, knownService)
			} else {
				action := rapid.SampledFrom([]Action{Hold, Advance, Promote, RollBack}).Draw(rt, "action")
				update = Transition{Service: "s", Revision: basis.Revision, Decision: Decision{Action: action}, Replaced: []string{"v0"}}.Apply
			}
			record = apply(rt, record, update)
			seen = append(seen, record)
			after, _ := record.Rollout("s")
			if !existed {
				continue
			}
			if !isOrder && basis.Revision != before.Revision {
				require.Equal(rt, before, after, "a transition based on an older revision changes nothing")
			}
			require.GreaterOrEqual(rt, after.Revision, before.Revision)
			if after.OrderRevision == before.OrderRevision {
				require.LessOrEqual(rt, after.Step, before.Step+1)
				require.True(rt, before.State == state.RolloutInProgress || after.State == before.State, "a roll-out that has ended doesn't change")
			}
			require.NotEqual(rt, after.State != state.RolloutRolledBack, after.IsRetired(after.Target), "the target is retired if and only if it was rolled back")
			require.LessOrEqual(rt, len(after.Retired), state.MaxRetired)
		}
	})
}
