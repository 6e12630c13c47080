package shardmap

import (
	"fmt"
	"hash/maphash"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

func clusterEpoch(e uint8) cluster.Epoch { return cluster.Epoch(e) }

// extraDepth is the number of transitions by which the search goes deeper than in CI: ROWAN_SEARCH_DEEPER=2 takes
// minutes.
var extraDepth, _ = strconv.Atoi(os.Getenv("ROWAN_SEARCH_DEEPER"))

// searchNode records how a state was first reached: from which state, and by which of its transitions.
type searchNode struct {
	from       *searchNode
	transition int
}

// trace describes the transitions that lead from the start to the state.
func (n *searchNode) trace(start model) string {
	var path []int
	for ; n.from != nil; n = n.from {
		path = append(path, n.transition)
	}
	slices.Reverse(path)
	md, lines := start, []string{}
	for _, i := range path {
		m := md.transitions(nil)[i]
		lines = append(lines, md.describe(m))
		m.apply(&md, m.target, m.webhook)
	}
	return strings.Join(append(lines, md.findViolation()), "\n")
}

func (md *model) describe(m transition) string {
	line := m.String()
	if strings.HasPrefix(m.name, "is delivered") || m.name == "is lost" {
		line += fmt.Sprintf(" %+v", md.network[m.target])
	}
	return line
}

type searchResult struct {
	states, depth, quiesced int
	violation, trace        string
}

var hashSeed = maphash.MakeSeed()

// search visits every state within depth transitions, breadth first, and stops at the first violation. From one in
// sampleInterval states (0: none) it also continues without faults, until each doubt is resolved and each webhook has
// ended.
func search(start *model, depth, sampleInterval int) (f searchResult) {
	type reached struct {
		model
		node *searchNode
	}
	seen := map[uint64]struct{}{maphash.Comparable(hashSeed, *start): {}}
	level := []reached{{*start, &searchNode{}}}
	var enabled []transition
	for ; f.depth < depth && len(level) > 0; f.depth++ {
		var next []reached
		for l := range level {
			at := &level[l]
			enabled = at.transitions(enabled[:0])
			for j, m := range enabled {
				md := at.model
				m.apply(&md, m.target, m.webhook)
				key := maphash.Comparable(hashSeed, md)
				if _, known := seen[key]; known {
					continue
				}
				seen[key] = struct{}{}
				n := &searchNode{at.node, j}
				if f.violation = md.findViolation(); f.violation == "" && sampleInterval > 0 && len(seen)%sampleInterval == 0 {
					f.quiesced++
					f.violation = md.quiesce(nil)
				}
				if f.violation != "" {
					md.quiesce(&f.trace)
					f.states, f.trace = len(seen), n.trace(*start)+"\n"+f.trace
					return f
				}
				next = append(next, reached{md, n})
			}
		}
		level = next
	}
	f.states = len(seen)
	return f
}

// quiesce continues without faults. It returns a violation that it finds, or that a webhook is not resolved at the
// end. It appends the transitions to trace, if that is not nil.
func (md model) quiesce(trace *string) (violation string) {
	md.budget.grants, md.budget.clients = 100, 0 // clients submit no more webhooks
	var enabled []transition
	for n := range 150 {
		enabled = md.transitions(enabled[:0])
		i := slices.IndexFunc(enabled, func(m transition) bool { return m.faultFree })
		if i < 0 {
			break
		}
		if trace != nil && n < 30 {
			*trace += "then " + md.describe(enabled[i]) + "\n"
		}
		enabled[i].apply(&md, enabled[i].target, enabled[i].webhook)
		if found := md.findViolation(); found != "" {
			return found
		}
	}
	for i := range md.members {
		for n := range md.webhooks {
			if md.processes[i].copies[n].present {
				return "a webhook stays unresolved"
			}
		}
	}
	return ""
}

// searchScenario is a start of the search, with the faults that the search may choose from.
type searchScenario struct {
	name              string
	members, webhooks int8
	semantics         api.Semantics
	budget            faultBudget
	start             []transitionRef
	depth             int
}

// searchScenarios are the starts of TestModelSearch_OneCustodianInEveryReachableState.
var searchScenarios = []searchScenario{
	{
		name:      "a move",
		members:   2,
		webhooks:  1,
		semantics: api.AtMostOnce,
		budget:    faultBudget{moves: 1, crashes: 1, grants: 2, reverts: 1},
		depth:     17,
	},
	{
		name:      "a move of two webhooks",
		members:   2,
		webhooks:  2,
		semantics: api.AtMostOnce,
		budget:    faultBudget{moves: 1, crashes: 1, grants: 2},
		start:     moveInHandoff,
		depth:     12,
	},
	{
		name:      "offer in flight",
		members:   2,
		webhooks:  1,
		semantics: api.AtMostOnce,
		budget:    faultBudget{moves: 1, crashes: 2, reverts: 1, rejections: 1, grants: 2},
		start:     offerSent,
		depth:     11,
	},
	{
		name:      "offer in flight, late and duplicated",
		members:   2,
		webhooks:  1,
		semantics: api.AtMostOnce,
		budget:    faultBudget{moves: 1, duplicates: 2, reverts: 1, grants: 2},
		start:     offerSent,
		depth:     12,
	},
	{
		name:      "offer in flight, folder lost",
		members:   2,
		webhooks:  1,
		semantics: api.AtMostOnce,
		budget:    faultBudget{moves: 1, folderLosses: 1, duplicates: 1, reverts: 1},
		start:     offerSent,
		depth:     12,
	},
	{
		name:      "taken, owner lost",
		members:   2,
		webhooks:  1,
		semantics: api.Deduplicated,
		budget:    faultBudget{moves: 1, unknownOutcomes: 1, expiries: 2, failovers: 2, grants: 3, clockTicks: 2, isolations: 1},
		start:     transferredAfterRun,
		depth:     10,
	},
	{
		name:      "in doubt, owner lost",
		members:   2,
		webhooks:  1,
		semantics: api.Deduplicated,
		budget:    faultBudget{clients: 1, expiries: 1, failovers: 2, grants: 2, clockTicks: 1, isolations: 1},
		start:     queriedAfterFailover,
		depth:     9,
	},
	{
		name:      "called during the hand-off",
		members:   2,
		webhooks:  1,
		semantics: api.AtMostOnce,
		budget:    faultBudget{moves: 1, unknownOutcomes: 1, crashes: 1, reverts: 1, grants: 2},
		start:     callDuringHandoff,
		depth:     22,
	},
	{
		name:      "submitted",
		members:   2,
		webhooks:  1,
		semantics: api.AtMostOnce,
		budget:    faultBudget{clients: 1, duplicates: 1, crashes: 1, rejections: 1},
		depth:     16,
	},
	{
		name:      "submitted, folder lost",
		members:   2,
		webhooks:  1,
		semantics: api.AtMostOnce,
		budget:    faultBudget{clients: 1, duplicates: 1, folderLosses: 1},
		depth:     16,
	},
	{
		name:      "submitted, owner lost",
		members:   2,
		webhooks:  1,
		semantics: api.Deduplicated,
		budget:    faultBudget{clients: 1, expiries: 1, failovers: 1, grants: 1, clockTicks: 1},
		depth:     16,
	},
	{
		name:      "owner lost twice",
		members:   2,
		webhooks:  1,
		semantics: api.Idempotent,
		budget:    faultBudget{clients: 1, expiries: 1, failovers: 2, grants: 3},
		depth:     17,
	},
	{
		name:      "three members",
		members:   3,
		webhooks:  1,
		semantics: api.Idempotent,
		budget:    faultBudget{clients: 1, expiries: 1, failovers: 2, grants: 2},
		depth:     13,
	},
}

// In every state within reach, a webhook has one custodian, which knows whether the webhook may have run. The webhook
// is called again only where its event type allows that. It is lost only with its custodian's folder. Once faults
// stop, it ends.
func TestModelSearch_OneCustodianInEveryReachableState(t *testing.T) {
	for _, s := range searchScenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			start := newModel(s.members, s.webhooks, s.semantics, s.budget, mutation{}).replay(s.start...)
			f := search(start, s.depth+extraDepth, 16)
			t.Logf("%d states within %d transitions, %d of them quiesced", f.states, f.depth, f.quiesced)
			require.Empty(t, f.violation, f.trace)
		})
	}
}

// newForkedModel returns a state after both members have ended a doubt without knowing who has the webhook. Each
// member believes that the other one owns the range.
func newForkedModel(m mutation) *model {
	md := newModel(2, 1, api.Idempotent, faultBudget{grants: 3, failovers: 1, crashes: 1}, m)
	md.leaseHeld, md.processes[0].epoch = false, 0
	md.propose(Coordinator(1).FailOver([]Takeover{{1, memberIDs[0], memberIDs[1]}}))
	md.processes[0].mapID = md.mapID
	for i := range md.members {
		p := &md.processes[i]
		p.memory[0].withTable(0, func(table *CustodyTable, id WebhookID) {
			table.BeginOffer(id, ttl, Offer{To: memberIDs[1-i]})
			table.Fork(id)
		})
		p.disk, p.copies[0] = p.memory, webhookCopy{present: true, firstRunAt: 0}
	}
	md.forked[0], md.acknowledged[0] = true, true
	return md
}

func TestModelSearch_OneBranchOfAForkRemains(t *testing.T) {
	t.Parallel()
	f := search(newForkedModel(mutation{}), 10+extraDepth, 16)
	t.Logf("%d states within %d transitions, %d of them quiesced", f.states, f.depth, f.quiesced)
	require.Empty(t, f.violation, f.trace)
}
