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

// BenchmarkFailover kills the holder of a task with SIGKILL, again and again: how long until
// another member holds it, in terms. ROWAN_TERM is the term (1s). A holder that leads the keepers, too, is
// counted by itself: whoever leads next gives each session a whole term anew.
func BenchmarkFailover(b *testing.B) {
	span := leaseTTL
	if told := os.Getenv("ROWAN_TERM"); told != "" {
		var err error
		span, err = time.ParseDuration(told)
		require.NoError(b, err)
	}
	f := harness.Start(b, harness.Options{Binary: binary, LeaseTTL: span, Members: 4, RaftNodes: 3,
		CheckedResources: []string{checkedResource}})
	f.AwaitStable()
	var led, all []float64
	who := f.AwaitLog(map[*harness.Member]int{}, "INFO task held", "task="+checkedResource+" ")
	for b.Loop() {
		time.Sleep(time.Duration(float64(span) * float64(len(all)%10) / 30)) // anywhere between two renewals
		marks, leads := f.LogOffsets(), f.Leader() == who
		since := time.Now()
		who.Kill()
		next := f.AwaitLog(marks, "INFO task held", "task="+checkedResource+" ")
		line, _ := next.Log.Find(marks[next], "INFO task held", "task="+checkedResource+" ")
		terms := line.At.Sub(since).Seconds() / span.Seconds()
		if leads {
			led = append(led, terms)
		} else {
			all = append(all, terms)
		}
		who.Start()
		who.AwaitReady()
		f.AwaitLeader()
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
