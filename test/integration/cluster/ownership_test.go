package cluster

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/test/checker/leasecheck"
	"rowanlink/test/integration/harness"
)

// Guards against a home that two have, a map that goes back or names who never had it: what all logs say and
// what each keeper tells of the map, over moves with a kill, a stop and a cut in the midst of them, is a past
// that one lock and one map could have.
func TestOwnership_HistoryIsLinearizable(t *testing.T) {
	t.Parallel()
	f := startCluster(t, harness.Options{Members: 4, RaftNodes: 3, Ranges: 8, ClockRates: driftingClocks, CheckedResources: []string{checkedResource},
		Env: []string{harness.DebugLog}})
	views := f.WatchOwnership()
	faults := []func(m *harness.Member) func(){
		func(m *harness.Member) func() { m.Kill(); sleepTTLs(1.5); return m.Start },
		func(m *harness.Member) func() { m.Pause(); sleepTTLs(0.5); return m.Resume },
		func(m *harness.Member) func() { m.Pause(); sleepTTLs(1.5); return m.Resume },
		func(m *harness.Member) func() {
			f.Network.Isolate(harness.Partition, m.Name)
			sleepTTLs(1.5)
			return f.Network.Heal
		},
	}
	round := 0
	for _, fault := range faults {
		for _, who := range []func(leaver *harness.Member) *harness.Member{
			func(leaver *harness.Member) *harness.Member { return leaver },
			func(*harness.Member) *harness.Member { return f.AwaitLeader() },
		} {
			leaver, marks := ownerOfMostRanges(f), f.LogOffsets()
			round++ // a plan that is the running one changes nothing
			f.ReloadOperatorFiles(fmt.Sprintf("leave %q {}\nbounds { moves_at_once = %d }\n", leaver.Name, 2+round))
			f.Eventually("a move is under way", func() bool {
				return f.FindLog(marks, "INFO move passes ") != nil || f.FindLog(marks, "INFO plan taken up ") != nil
			})
			fault(who(leaver))()
			f.AwaitStable(leaver)
			awaitOperations(f)
		}
	}
	f.Check()
	views.Check()
	require.False(t, t.Failed())

	// The same past, made wrong in one place: the check would have seen it.
	last, others := lastOwnerGrant(t, views.Events())
	for name, spoil := range map[string]func(p *leasecheck.OwnershipEvent){
		"granted by an epoch that is gone by": func(p *leasecheck.OwnershipEvent) { p.Epoch = 1 },
		"granted before all others":           func(p *leasecheck.OwnershipEvent) { p.Until = 1 },
		"granted to another":                  func(p *leasecheck.OwnershipEvent) { p.Member += "'" },
	} {
		wrong := last
		spoil(&wrong)
		could, err := leasecheck.CheckOwnership(append([]leasecheck.OwnershipEvent{wrong}, others...), leaseTTL*60)
		require.NoError(t, err)
		assert.False(t, could, name)
	}
}

// lastOwnerGrant is that of a home that was granted by more than one epoch, and the rest of its past.
func lastOwnerGrant(t *testing.T, all map[cluster.Resource][]leasecheck.OwnershipEvent) (last leasecheck.OwnershipEvent, others []leasecheck.OwnershipEvent) {
	for task, past := range all {
		slices.SortStableFunc(past, func(a, b leasecheck.OwnershipEvent) int {
			return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(b.Epoch, a.Epoch))
		})
		if strings.HasPrefix(string(task), "home/") && past[1].Kind == leasecheck.Granted &&
			past[1].Epoch < past[0].Epoch { // not the same one twice, from before and after a renewal that came late
			return past[0], past[1:]
		}
	}
	require.Fail(t, "no home moved")
	return last, nil
}
