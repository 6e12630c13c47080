package shardmap

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

// transitionRef names one of the transitions that lead to a start state.
type transitionRef struct {
	name   string
	target int8
}

// replay applies transitions to a state.
func (md *model) replay(refs ...transitionRef) *model {
	for _, ref := range refs {
		enabled := md.transitions(nil)
		i := slices.IndexFunc(enabled, func(m transition) bool { return m.name == ref.name && m.target == ref.target })
		if i < 0 {
			panic("this transition to a start state is not enabled: " + ref.name)
		}
		enabled[i].apply(md, ref.target, enabled[i].webhook)
	}
	return md
}

// Start states. moveInHandoff: the range moves from a to b, both know it, and the webhook is still at a.
var (
	moveInHandoff = []transitionRef{
		{"a move is planned to", 1},
		{"the move begins its hand-off", 0},
		{"receives the map", 0},
		{"receives the map", 1},
	}
	offerSent = after(moveInHandoff,
		transitionRef{"offers the webhook", 0},
		transitionRef{"performs its next step", 0})
	offerTaken = after(offerSent,
		transitionRef{"is delivered", 0},
		transitionRef{"performs its next step", 1},
		transitionRef{"performs its next step", 1})
	callBegun = []transitionRef{
		{"begins a call", 0},
		{"performs its next step", 0},
		{"performs its next step", 0},
	}
	callDuringHandoff   = after(callBegun, moveInHandoff...)
	transferredAfterRun = after(after(callBegun, transitionRef{"its call ends with an unknown outcome", 0}), offerSent...)
	forwardedToOwner    = []transitionRef{
		{"a client submits", 1},
		{"is delivered", 0},
		{"performs its next step", 0},
		{"performs its next step", 0},
	}
	queriedAfterFailover = after(forwardedToOwner,
		transitionRef{"times out", 1},
		transitionRef{"performs its next step", 1},
		transitionRef{"performs its next step", 1},
		transitionRef{"its session expires", 0},
		transitionRef{"the log ends the lease", 0},
		transitionRef{"the range fails over to", 1},
		transitionRef{"receives the map", 1},
		transitionRef{"queries", 1},
		transitionRef{"times out", 1})
)

// after returns the transitions of past, followed by those of next.
func after(past []transitionRef, next ...transitionRef) []transitionRef {
	return append(slices.Clone(past), next...)
}

// Each model has one mutation, in the model itself and not in the code under test. The search must find a violation,
// and none without the mutation.
func TestModelSearch_FindsMutations(t *testing.T) {
	const two, lost, inFlight = "two members have custody of a webhook", "a webhook is lost",
		"a call is in flight at the source when the target is the owner"
	const once, unaware = api.AtMostOnce, "a custodian does not know that the webhook may have run"
	moved := faultBudget{moves: 1, grants: 3, crashes: 1}
	submitted := faultBudget{clients: 1, isolations: 1, crashes: 1}
	for name, m := range map[string]struct {
		mutation  mutation
		semantics api.Semantics
		budget    faultBudget
		start     []transitionRef
		finds     string
	}{
		"taken is answered before the record": {
			mutation{takenBeforeRecord: true}, once, moved, offerSent, lost,
		},
		"taken is answered while arriving": {
			mutation{takenWhileArriving: true}, once, moved, offerSent, lost,
		},
		"never is not journalled": {
			mutation{neverNotJournalled: true}, once, moved, offerSent, two,
		},
		"rejection is final after a retry": {
			mutation{rejectionFinal: true}, once, faultBudget{moves: 1, rejections: 1}, offerSent, two,
		},
		"hand-off number is not raised": {
			mutation{handoffNotRaised: true}, once, faultBudget{moves: 1, reverts: 1}, offerTaken, lost,
		},
		"doubt is forgotten by a restart": {
			mutation{doubtNotRecovered: true}, once, moved, offerSent, two,
		},
		"incarnation is ignored": {
			mutation{ignoresIncarnation: true}, once, faultBudget{moves: 1, folderLosses: 1}, offerSent, two,
		},
		"called while in doubt": {
			mutation{callsInDoubt: true}, once, submitted, forwardedToOwner, unaware,
		},
		"switch before the hand-off is over": {
			mutation{releasesEarly: true}, once, moved, callDuringHandoff, inFlight,
		},
		"first run is lost in the transfer": {
			mutation{forgetsFirstRun: true}, api.Deduplicated, faultBudget{moves: 1, unknownOutcomes: 1}, transferredAfterRun, unaware,
		},
		"stored is journalled late": {
			mutation{storedNotJournalled: true}, once, submitted, forwardedToOwner, unaware,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := search(newModel(2, 1, m.semantics, m.budget, m.mutation).replay(m.start...), 16, 0)
			t.Logf("after %d states, %d transitions:\n%s", f.states, f.depth+1, f.trace)
			require.Equal(t, m.finds, f.violation)
			sound := search(newModel(2, 1, m.semantics, m.budget, mutation{}).replay(m.start...), f.depth+1, 0)
			assert.Empty(t, sound.violation, sound.trace)
		})
	}
}
