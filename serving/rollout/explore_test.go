package rollout

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/serving/register"
	"rowanlink/serving/state"
)

// modelState is a state of the search: the committed record, and the roll-out as each of two core members knows it. A
// member that is partitioned from the others knows an older state, one that was killed and restarted knows none.
type modelState struct {
	record state.Record
	views  [2]state.Rollout
}

// key returns a string that identifies the state. Its revisions are relative to the record's.
func (s *modelState) key() string {
	known, _ := s.record.Rollout("s")
	behind := [2]int{}
	for member, view := range s.views {
		behind[member] = int(min(known.Revision-min(view.Revision, known.Revision), 3))
	}
	return fmt.Sprint(known.Target, known.State, known.Step, known.Retired, behind, s.views[0].State, s.views[1].State,
		s.views[0].Step, s.views[1].Step, s.views[0].Target, s.views[1].Target)
}

// successors returns the states after each possible event: an order of either of two operators, a transition that a member
// proposes based on what it knows, a member that learns the committed record, and a member that is killed.
func (s *modelState) successors() (next []modelState) {
	for _, target := range []string{"v2", "v3"} {
		for _, recent := range []func(uint64) bool{always, never} {
			next = append(next, s.change(Begin(orderOf(target), recent, knownService)))
		}
	}
	for member, view := range s.views {
		for _, action := range []Action{Advance, Promote, RollBack} {
			transition := Transition{Service: "s", Revision: view.Revision, Decision: Decision{Action: action}, Replaced: []string{"v1"}}
			next = append(next, s.change(transition.Apply))
		}
		learned, killed := *s, *s
		learned.views[member], _ = s.record.Rollout("s")
		killed.views[member] = state.Rollout{}
		next = append(next, learned, killed)
	}
	return next
}

// change returns the state after an update of the record.
func (s *modelState) change(update register.Update) modelState {
	next := *s
	record, err := update(s.record)
	if err == nil {
		record.Revision = s.record.Revision + 1
		next.record = record
	}
	return next
}

// TestExplore_AllOrders tries all sequences of these events up to maxDepth and checks the invariants after each event.
func TestExplore_AllOrders(t *testing.T) {
	const maxDepth = 12
	frontier := []modelState{{record: state.Record{Revision: 1}}}
	seen := map[string]bool{}
	for range maxDepth {
		var following []modelState
		for _, before := range frontier {
			for _, after := range before.successors() {
				requireInvariants(t, &before, &after)
				if key := after.key(); !seen[key] {
					seen[key] = true
					following = append(following, after)
				}
			}
		}
		frontier = following
	}
	t.Logf("%d states", len(seen))
	require.Greater(t, len(seen), 1000)
}

// requireInvariants checks the states before and after one event.
func requireInvariants(t *testing.T, before, after *modelState) {
	t.Helper()
	was, existed := before.record.Rollout("s")
	is, exists := after.record.Rollout("s")
	require.True(t, exists || !existed, "an acknowledged roll-out is never lost")
	if !exists {
		return
	}
	require.Equal(t, is.State == state.RolloutRolledBack, is.IsRetired(is.Target), "the target is retired if and only if it was rolled back")
	if is.Revision == was.Revision {
		require.Equal(t, was, is)
		return
	}
	if is.OrderRevision != was.OrderRevision {
		require.Equal(t, state.RolloutInProgress, is.State)
		require.Equal(t, state.RolloutCanary, is.Step, "an order begins with the canary step")
		require.True(t, !existed || was.State != state.RolloutInProgress || is.IsRetired(was.Target), "a new order retires the target of a roll-out in progress")
		return
	}
	require.Equal(t, state.RolloutInProgress, was.State, "a roll-out that has ended doesn't change")
	require.True(t, is.State != state.RolloutPromoted || was.Step == state.RolloutFull, "a roll-out is promoted only after the full step")
	require.LessOrEqual(t, is.Step, was.Step+1, "no step is skipped")
}
