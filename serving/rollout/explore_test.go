package rollout

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/serving/register"
	"rowanlink/serving/state"
)

// world is a state of the search: the committed record, and what two core members know of the roll-out. A member that is
// cut off or was killed has an older state, or none.
type world struct {
	record state.Record
	views  [2]state.Rollout
}

// key identifies a world, with revisions relative to the record's.
func (w *world) key() string {
	known, _ := w.record.Rollout("s")
	behind := [2]int{}
	for member, view := range w.views {
		behind[member] = int(min(known.Revision-min(view.Revision, known.Revision), 3))
	}
	return fmt.Sprint(known.Target, known.State, known.Step, known.Retired, behind, w.views[0].State, w.views[1].State,
		w.views[0].Step, w.views[1].Step, w.views[0].Target, w.views[1].Target)
}

// successors returns the worlds after each single event: orders of two operators, a decision of either member by what it
// knows, a member that learns the record, and one that is killed.
func (w *world) successors() (next []world) {
	for _, target := range []string{"v2", "v3"} {
		for _, recent := range []func(uint64) bool{always, never} {
			next = append(next, w.change(Begin(orderOf(target), recent, knownService)))
		}
	}
	for member, view := range w.views {
		for _, action := range []Action{Advance, Promote, RollBack} {
			transition := Transition{Service: "s", Revision: view.Revision, Decision: Decision{Action: action}, Replaced: []string{"v1"}}
			next = append(next, w.change(transition.Apply))
		}
		learned, killed := *w, *w
		learned.views[member], _ = w.record.Rollout("s")
		killed.views[member] = state.Rollout{}
		next = append(next, learned, killed)
	}
	return next
}

// change returns the world after an update of the record.
func (w *world) change(update register.Update) world {
	next := *w
	record, err := update(w.record)
	if err == nil {
		record.Revision = w.record.Revision + 1
		next.record = record
	}
	return next
}

// TestExplore_AllOrders searches all orders of these events, up to a depth, for a record that breaks an invariant.
func TestExplore_AllOrders(t *testing.T) {
	const maxDepth = 12
	frontier := []world{{record: state.Record{Revision: 1}}}
	seen := map[string]bool{}
	for range maxDepth {
		var following []world
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

// requireInvariants checks one step of the search.
func requireInvariants(t *testing.T, before, after *world) {
	t.Helper()
	was, existed := before.record.Rollout("s")
	is, exists := after.record.Rollout("s")
	require.True(t, exists || !existed, "an acknowledged roll-out is never lost")
	if !exists {
		return
	}
	require.Equal(t, is.State == state.RolloutRolledBack, is.IsRetired(is.Target), "the target is retired once it is rolled back")
	if is.Revision == was.Revision {
		require.Equal(t, was, is)
		return
	}
	if is.OrderRevision != was.OrderRevision {
		require.Equal(t, state.RolloutInProgress, is.State)
		require.Equal(t, state.RolloutCanary, is.Step, "an order begins with the canaries")
		require.True(t, !existed || was.State != state.RolloutInProgress || is.IsRetired(was.Target), "the former target gets nothing")
		return
	}
	require.Equal(t, state.RolloutInProgress, was.State, "an end is final")
	require.True(t, is.State != state.RolloutPromoted || was.Step == state.RolloutFull, "promoted after the full step only")
	require.LessOrEqual(t, is.Step, was.Step+1, "no step is skipped")
}
