package lease

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

// The violations that the search finds.
const (
	twoHolders = "two members hold the lease"
	released   = "a member holds a lease that the log has released"
	lateAction = "a late action was admitted after one of a later epoch"
)

// mutatedModel is a model with one fault, which is in the model itself and not in the objects of the package.
type mutatedModel struct {
	mutation mutation
	budget   faultBudget
	finds    string // the violation
}

// mutatedModels are the faults by name. With untilTwoHolders the search continues until two members hold the lease at
// once; with ROWAN_SEARCH_DEEPER it does so also for the faults that find a released lease.
var mutatedModels = map[string]mutatedModel{
	"TTL counted from the response": {
		mutation: mutation{countFromResponse: true, untilTwoHolders: true},
		finds:    twoHolders,
	},
	"no full TTL at a new leader": {
		mutation: mutation{keepOldExpiry: true},
		budget:   faultBudget{elections: 1},
		finds:    released,
	},
	"fence lost at a restart": {
		mutation: mutation{loseFence: true},
		budget:   faultBudget{actions: 2, fenceRestarts: 1},
		finds:    lateAction,
	},
	"renewal accepted after TakeExpired": {
		mutation: mutation{renewExpired: true, untilTwoHolders: true},
		finds:    twoHolders,
	},
	"leader answers without quorum contact": {
		mutation: mutation{skipQuorumCheck: true},
		budget:   faultBudget{elections: 1},
		finds:    released,
	},
	"contact counted from when it is read": {
		mutation: mutation{countContactFromArrival: true},
		budget:   faultBudget{elections: 1, lateContacts: 1},
		finds:    released,
	},
	"drift ignored": {
		mutation: mutation{ignoreDrift: true, untilTwoHolders: true},
		finds:    twoHolders,
	},
	"expiry of an earlier leader epoch": {
		mutation: mutation{ignoreLeaderEpoch: true},
		budget:   faultBudget{elections: 1},
		finds:    released,
	},
}

// TestModel_MutationsAreDetected: the search finds a violation in each mutated model, and none in the model without
// the fault.
func TestModel_MutationsAreDetected(t *testing.T) {
	for name, m := range mutatedModels {
		t.Run(name, func(t *testing.T) {
			if extraDepth > 0 && m.finds == released {
				m.mutation.untilTwoHolders = true
				m.finds = twoHolders
			}
			start := worstClocks(m.mutation, m.budget)
			if m.mutation.countContactFromArrival {
				// Start later to shorten the search: a peer's response is in flight, and another node has been elected.
				start.sendLateContact(0)
				start.budget.lateContacts = 0
				start.budget.elections = 0
				start.elect(1)
			}
			f := search([]*model{start}, 16)
			require.Equal(t, m.finds, f.violation)
			t.Logf("after %d states, %d transitions:\n%s", f.states, f.depth+1, f.trace)
			sound := search([]*model{worstClocks(mutation{}, m.budget)}, min(f.depth+1, 7+extraDepth))
			assert.Empty(t, sound.violation, sound.trace)
		})
	}
}

// Long random walks with every kind of fault reach states that are too deep for the search.
func TestModel_NoTwoHoldersOnRandomWalks(t *testing.T) {
	rng := rand.New(rand.NewPCG(35, 1))
	handovers, steps := 0, 0
	rates := []api.Micros{slowStep, fastStep}
	for range 10_000 * (1 + extraDepth) {
		rate := func() api.Micros { return rates[rng.IntN(2)] }
		md := steadyModel(mutation{}, faultBudget{asyncRequests: true, elections: 4, duplicates: 6, lateContacts: 4,
			releases: 3, sessionEnds: 2, memberRestarts: 3, actions: 6, fenceRestarts: 2},
			[2]api.Micros{rate(), rate()}, [2]api.Micros{rate(), rate()})
		for range 80 {
			enabled := md.transitions(nil)
			m := enabled[rng.IntN(len(enabled))]
			m.apply(md, m.subject)
			require.Empty(t, md.checkInvariants())
			steps++
			if _, ok := md.processes[1].holder.Epoch(modelResource, md.processClock(1)); ok {
				handovers++
			}
		}
	}
	assert.Positive(t, handovers)
	t.Logf("%d transitions; after %d the second member held the lease", steps, handovers)
}
