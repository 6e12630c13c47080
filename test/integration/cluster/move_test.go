package cluster

import (
	"fmt"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
	"rowanlink/webhook/api"
)

var targetField = regexp.MustCompile(` to=(\w+)`)

// Guards against a step of a move that can't be the last one before a kill: of the member that leaves, of the
// one that gets the range, of the one that conducts.
func TestMove_KillAfterEachStep(t *testing.T) {
	for _, step := range []string{"move planned", "move warms", "move passes", "home switched", "move cleared"} {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			f := startCluster(t, harness.Options{Members: 4, RaftNodes: 3, Ranges: 8})
			slowDestinations(t, f)
			stop := startLoad(f)
			for _, role := range []string{"source", "target", "conductor"} {
				leaver := ownerOfMostRanges(f)
				marks := f.LogOffsets()
				t.Logf("%s leaves, %s killed", leaver.Name, role)
				f.ReloadOperatorFiles(fmt.Sprintf("leave %q {}\n", leaver.Name))
				said := f.AwaitLog(marks, "INFO "+step+" ")
				who := leaver
				switch role {
				case "target":
					who = said
					if line, ok := said.Log.Find(marks[said], "INFO "+step+" ", " to="); ok {
						who = f.Member(targetField.FindStringSubmatch(line.Text)[1])
					}
				case "conductor":
					who = f.AwaitLog(marks, "INFO move planned ")
				}
				who.Kill()
				f.AwaitServed()
				who.Start()
				f.AwaitStable(leaver)
			}
			stop()
			f.Check(deliverycheck.Order) // a home that is lost keeps what it had to itself for a while
			for d := range api.DestinationID(4) {
				t.Logf("destination %d: longest gap %s", d+1,
					time.Duration(f.Platform.Checker.LongestGap(d+1))*time.Microsecond)
			}
		})
	}
}

// ownerOfMostRanges is the home of the most ranges.
func ownerOfMostRanges(f *harness.Cluster) *harness.Member {
	n, most := map[string]int{}, ""
	f.Eventually("a map", func() bool {
		chart := f.ShardMap()
		if chart == nil {
			return false
		}
		for _, r := range chart.Ranges {
			if n[string(r.Owner)]++; most == "" || n[string(r.Owner)] > n[most] {
				most = string(r.Owner)
			}
		}
		return true
	})
	return f.Member(most)
}

// Guards against webhooks lost, doubled or overtaken in moves in which nothing fails.
func TestMove_UnderLoadWithoutFaults(t *testing.T) {
	t.Parallel()
	f := startCluster(t, harness.Options{Members: 4, RaftNodes: 3, Ranges: 8})
	for d := range api.DestinationID(4) {
		require.NoError(t, f.Platform.Destination(d+1).SetBehaviour(platform.Slow(leaseTTL/5)))
	}
	stop := startLoad(f)
	for range 3 {
		sleepTTLs(0.5)
		leaver := ownerOfMostRanges(f)
		f.ReloadOperatorFiles(fmt.Sprintf("leave %q {}\n", leaver.Name))
		f.AwaitStable(leaver)
	}
	stop()
	f.Check()
}
