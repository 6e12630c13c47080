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

// apply applies an update to a record as the register does.
func apply(t require.TestingT, record state.Record, update register.Update) state.Record {
	next, err := update(record)
	if err != nil {
		require.ErrorIs(t, err, register.ErrNoChange)
		return record
	}
	next.Revision = record.Revision + 1
	return next
}

// decide applies a decision on the service's roll-out as it is.
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
	inTransit := apply(t, state.Record{Revision: 4}, Begin(orderOf("v2"), never, knownService))
	known, _ := inTransit.Rollout("s")
	assert.Equal(t, state.Rollout{Service: "s", Target: "v2", State: state.RolloutInTransit, DurationMillis: 12000,
		OrderRevision: 5, Revision: 5}, known)
	full := decide(t, decide(t, decide(t, inTransit, Advance), Advance), Advance)
	delivered := decide(t, full, Deliver, "v1", "v2")
	returned := decide(t, inTransit, Return)

	for _, test := range []struct {
		name    string
		record  state.Record
		target  string
		state   state.RolloutState
		step    state.RolloutStep
		retired []string
	}{
		{"sent again", apply(t, inTransit, Begin(orderOf("v2"), always, knownService)), "v2", state.RolloutInTransit, 0, nil},
		{"sent again with another time", apply(t, inTransit, Begin(Order{Service: "s", Target: "v2", Duration: 1}, never, knownService)), "v2", state.RolloutInTransit, 0, nil},
		{"another target", apply(t, inTransit, Begin(orderOf("v3"), always, knownService)), "v3", state.RolloutInTransit, 0, []string{"v2"}},
		{"advanced to the end", full, "v2", state.RolloutInTransit, state.RolloutFull, nil},
		{"advanced beyond", decide(t, full, Advance), "v2", state.RolloutInTransit, state.RolloutFull, nil},
		{"delivered too early", decide(t, inTransit, Deliver), "v2", state.RolloutInTransit, 0, nil},
		{"delivered", delivered, "v2", state.RolloutDelivered, state.RolloutFull, []string{"v1"}},
		{"delivered, sent again", apply(t, delivered, Begin(orderOf("v2"), never, knownService)), "v2", state.RolloutDelivered, state.RolloutFull, []string{"v1"}},
		{"delivered, then back", apply(t, delivered, Begin(orderOf("v1"), never, knownService)), "v1", state.RolloutInTransit, 0, nil},
		{"returned", returned, "v2", state.RolloutReturned, 0, []string{"v2"}},
		{"returned, sent again soon", apply(t, returned, Begin(orderOf("v2"), always, knownService)), "v2", state.RolloutReturned, 0, []string{"v2"}},
		{"returned, ordered again", apply(t, returned, Begin(orderOf("v2"), never, knownService)), "v2", state.RolloutInTransit, 0, nil},
		{"returned, decided again", decide(t, returned, Advance), "v2", state.RolloutReturned, 0, []string{"v2"}},
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
	rejected := errcode.RolloutService.With("s")
	_, err := Begin(orderOf("v2"), never, func(state.Configuration) error { return rejected })(state.Record{})
	assert.ErrorIs(t, err, rejected)
}

// TestTransitions_ProposedBySeveral: whatever core members propose by records that are out of date, a roll-out that has
// ended stays as it is, steps are not skipped, and the service's other orders are not lost.
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
				action := rapid.SampledFrom([]Action{Hold, Advance, Deliver, Return}).Draw(rt, "action")
				update = Transition{Service: "s", Revision: basis.Revision, Decision: Decision{Action: action}, Replaced: []string{"v0"}}.Apply
			}
			record = apply(rt, record, update)
			seen = append(seen, record)
			after, _ := record.Rollout("s")
			if !existed {
				continue
			}
			if !isOrder && basis.Revision != before.Revision {
				require.Equal(rt, before, after, "a decision on an older state changes nothing")
			}
			require.GreaterOrEqual(rt, after.Revision, before.Revision)
			if after.OrderRevision == before.OrderRevision {
				require.LessOrEqual(rt, after.Step, before.Step+1)
				require.True(rt, before.State == state.RolloutInTransit || after.State == before.State, "an end is final")
			}
			require.NotEqual(rt, after.State != state.RolloutReturned, after.IsRetired(after.Target), "the target of a roll-out gets requests unless it was returned")
			require.LessOrEqual(rt, len(after.Retired), state.MaxRetired)
		}
	})
}
