package lease

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

// extraDepth is the number of transitions by which the search goes deeper than in CI, and the factor by which there
// are further random walks: ROWAN_SEARCH_DEEPER=2 takes minutes.
var extraDepth, _ = strconv.Atoi(os.Getenv("ROWAN_SEARCH_DEEPER"))

// searchNode records by which transition a state was first reached.
type searchNode struct {
	parent     *searchNode
	transition int
}

// trace lists the transitions that lead from one of the starts to this state.
func (n *searchNode) trace(starts []*model) string {
	var path []int
	for ; n != nil; n = n.parent {
		path = append(path, n.transition)
	}
	slices.Reverse(path)
	md := starts[path[0]].clone()
	lines := []string{fmt.Sprintf("start %d", path[0])}
	for _, i := range path[1:] {
		m := md.transitions(nil)[i]
		line := fmt.Sprintf("at %d: %s: %d", md.now, m.name, m.subject)
		if strings.HasPrefix(m.name, "arrives") || m.name == "is lost" {
			line += fmt.Sprintf(" %+v", md.messages[m.subject])
		}
		lines = append(lines, line)
		m.apply(md, m.subject)
	}
	return strings.Join(append(lines, md.checkInvariants()), "\n")
}

type searchResult struct {
	states, depth    int
	handovers        int // states in which the second member holds the lease that the first began with
	violation, trace string
}

// search visits every state within depth transitions of the starts, breadth first, and stops at the first violation.
func search(starts []*model, depth int) (f searchResult) {
	type reached struct {
		*model
		node *searchNode
	}
	seen := map[uint64]struct{}{}
	isNew := func(md *model) bool {
		n := len(seen)
		seen[md.hash()] = struct{}{}
		return len(seen) > n
	}
	var level []reached
	for i, md := range starts {
		if isNew(md) {
			level = append(level, reached{model: md, node: &searchNode{transition: i}})
		}
	}
	var enabled []transition
	for ; f.depth < depth && len(level) > 0; f.depth++ {
		var next []reached
		for i, at := range level {
			level[i] = reached{}
			enabled = at.transitions(enabled[:0])
			for j, m := range enabled {
				md := at.clone()
				if m.apply(md, m.subject); !isNew(md) {
					continue
				}
				n := &searchNode{parent: at.node, transition: j}
				if f.violation = md.checkInvariants(); f.violation != "" {
					f.states = len(seen)
					f.trace = n.trace(starts)
					return f
				}
				if _, ok := md.processes[1].holder.Epoch(modelResource, md.processClock(1)); ok {
					f.handovers++
				}
				next = append(next, reached{model: md, node: n})
			}
		}
		level = next
	}
	f.states = len(seen)
	return f
}

// steadyModel returns a cluster in which both members have a session and the first holds the lease.
func steadyModel(faulty mutation, budget faultBudget, nodeSteps, memberSteps [2]api.Micros) *model {
	n := newModel(faulty, budget, nodeSteps, memberSteps)
	n.budget.asyncRequests = false
	for _, request := range []struct {
		name   string
		member int
	}{{"a member opens a session", 0}, {"a member opens a session", 1}, {"a member acquires the lease", 0}} {
		all := n.transitions(nil)
		i := slices.IndexFunc(all, func(m transition) bool {
			return m.name == request.name && m.subject == request.member
		})
		all[i].apply(n, request.member)
	}
	n.budget.asyncRequests = budget.asyncRequests
	return n
}

// worstClocks returns a model with slow clocks at the members and fast ones at the raft nodes.
func worstClocks(faulty mutation, budget faultBudget) *model {
	return steadyModel(faulty, budget, [2]api.Micros{fastStep, fastStep}, [2]api.Micros{slowStep, slowStep})
}

func allClockRates(budget faultBudget) (all []*model) {
	rates := []api.Micros{slowStep, fastStep}
	for i := range 16 {
		nodeSteps := [2]api.Micros{rates[i&1], rates[i>>1&1]}
		all = append(all, steadyModel(mutation{}, budget, nodeSteps, [2]api.Micros{rates[i>>2&1], rates[i>>3]}))
	}
	return all
}

// In every state within reach, at most one member holds the lease, and no member holds it after the log has released
// it. Epochs rise, and no action is admitted after one of a later epoch.
func TestModel_NoTwoHoldersInReachableStates(t *testing.T) {
	worst := func(budget faultBudget) []*model { return []*model{worstClocks(mutation{}, budget)} }
	for _, s := range []struct {
		name   string
		starts []*model
		depth  int
	}{
		{"leader changes, the old one notices late", worst(faultBudget{elections: 1, lateContacts: 1}), 9},
		{"leader changes twice", worst(faultBudget{elections: 2, lateContacts: 1}), 7},
		{"any pair of clocks", allClockRates(faultBudget{elections: 1}), 6},
		{"late and duplicated messages", worst(faultBudget{
			asyncRequests: true, duplicates: 1, releases: 1, sessionEnds: 1,
		}), 9},
		{"further incarnations", worst(faultBudget{asyncRequests: true, duplicates: 1, memberRestarts: 1}), 11},
		{"late actions", worst(faultBudget{actions: 2, fenceRestarts: 1, memberRestarts: 1}), 11},
		{"all at once", worst(faultBudget{
			asyncRequests: true, elections: 1, duplicates: 1, lateContacts: 1, releases: 1,
			sessionEnds: 1, memberRestarts: 1, actions: 1, fenceRestarts: 1,
		}), 6},
	} {
		t.Run(s.name, func(t *testing.T) {
			f := search(s.starts, s.depth+extraDepth)
			require.Empty(t, f.violation, f.trace)
			t.Logf("%d states within %d transitions; in %d the lease had changed hands", f.states, f.depth, f.handovers)
		})
	}
}
