package cluster

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/test/integration/harness"
)

// BenchmarkFailover kills the holder of a lease by SIGKILL, again and again, and measures the time until another member
// holds it, in lease TTLs. ROWAN_TERM is the TTL (1s). Holders that are also the raft leader count separately: the next
// leader renews each session for a whole TTL.
func BenchmarkFailover(b *testing.B) {
	span := leaseTTL
	if text := os.Getenv("ROWAN_TERM"); text != "" {
		var err error
		span, err = time.ParseDuration(text)
		require.NoError(b, err)
	}
	c := harness.Start(b, harness.Options{
		Binary:           binary,
		LeaseTTL:         span,
		Members:          4,
		RaftNodes:        3,
		CheckedResources: []string{checkedResource},
	})
	c.AwaitStable()
	var led, all []float64
	who := c.AwaitLog(map[*harness.Member]int{}, "INFO lease acquired", "resource="+checkedResource+" ")
	for b.Loop() {
		time.Sleep(time.Duration(float64(span) * float64(len(all)%10) / 30)) // anywhere between two renewals
		offsets, leads := c.LogOffsets(), c.Leader() == who
		since := time.Now()
		who.Kill()
		next := c.AwaitLog(offsets, "INFO lease acquired", "resource="+checkedResource+" ")
		line, _ := next.Log.Find(offsets[next], "INFO lease acquired", "resource="+checkedResource+" ")
		ttls := line.At.Sub(since).Seconds() / span.Seconds()
		if leads {
			led = append(led, ttls)
		} else {
			all = append(all, ttls)
		}
		who.Start()
		who.AwaitReady()
		c.AwaitLeader()
		who = next
	}
	report := func(of []float64, what string) {
		if slices.Sort(of); len(of) > 0 {
			b.ReportMetric(of[len(of)/2], "terms-median"+what)
			b.ReportMetric(of[len(of)-1], "terms-worst"+what)
		}
		b.Log(strconv.Itoa(len(of)) + " kills" + what)
	}
	report(all, "")
	report(led, "-leading")
	b.ReportMetric(0, "ns/op")
}
