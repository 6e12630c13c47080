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

// The logs of all members and the maps read from each raft node, over moves with a kill, a pause and a partition, are a
// linearizable history of one lock and one register for each range.
func TestOwnership_HistoryIsLinearizable(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Options{
		Members:          4,
		RaftNodes:        3,
		Ranges:           8,
		ClockRates:       driftingClocks,
		CheckedResources: []string{checkedResource},
		Env:              []string{harness.DebugLog},
	})
	views := c.WatchOwnership()
	faults := []func(m *harness.Member) func(){
		func(m *harness.Member) func() { m.Kill(); sleepTTLs(1.5); return m.Start },
		func(m *harness.Member) func() { m.Pause(); sleepTTLs(0.5); return m.Resume },
		func(m *harness.Member) func() { m.Pause(); sleepTTLs(1.5); return m.Resume },
		func(m *harness.Member) func() {
			c.Network.Isolate(harness.Partition, m.Name)
			sleepTTLs(1.5)
			return c.Network.Heal
		},
	}
	round := 0
	for _, fault := range faults {
		for _, who := range []func(drained *harness.Member) *harness.Member{
			func(drained *harness.Member) *harness.Member { return drained },
			func(*harness.Member) *harness.Member { return c.AwaitLeader() },
		} {
			drained, offsets := ownerOfMostRanges(c), c.LogOffsets()
			round++ // so that each plan differs from the running one
			c.ReloadOperatorFiles(fmt.Sprintf("leave %q {}\nbounds { moves_at_once = %d }\n", drained.Name, 2+round))
			c.Eventually("a move is in progress", func() bool {
				return c.FindLog(offsets, "INFO move handing off ") != nil || c.FindLog(offsets, "INFO plan adopted ") != nil
			})
			fault(who(drained))()
			c.AwaitStable(drained)
			awaitOperations(c)
		}
	}
	c.Check()
	views.Check()
	require.False(t, t.Failed())

	// The same history with one wrong event is rejected, so that the check can fail.
	last, others := lastOwnerGrant(t, views.Events())
	for name, corrupt := range map[string]func(p *leasecheck.OwnershipEvent){
		"granted by an epoch that is gone by": func(p *leasecheck.OwnershipEvent) { p.Epoch = 1 },
		"granted before all others":           func(p *leasecheck.OwnershipEvent) { p.Until = 1 },
		"granted to another":                  func(p *leasecheck.OwnershipEvent) { p.Member += "'" },
	} {
		wrong := last
		corrupt(&wrong)
		possible, err := leasecheck.CheckOwnership(append([]leasecheck.OwnershipEvent{wrong}, others...), leaseTTL*60)
		require.NoError(t, err)
		assert.False(t, possible, name)
	}
}

// lastOwnerGrant returns the last grant of a range's ownership that was granted by more than one epoch, and the other
// events.
func lastOwnerGrant(t *testing.T, events map[cluster.Resource][]leasecheck.OwnershipEvent) (
	leasecheck.OwnershipEvent, []leasecheck.OwnershipEvent) {
	t.Helper()
	for resource, history := range events {
		slices.SortStableFunc(history, func(a, b leasecheck.OwnershipEvent) int {
			return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(b.Epoch, a.Epoch))
		})
		isOwnership := strings.HasPrefix(string(resource), "home/")
		// The second grant must not be the same one, from before and after a renewal that came late.
		if isOwnership && history[1].Kind == leasecheck.Granted && history[1].Epoch < history[0].Epoch {
			return history[0], history[1:]
		}
	}
	require.Fail(t, "no range moved")
	return leasecheck.OwnershipEvent{}, nil
}
