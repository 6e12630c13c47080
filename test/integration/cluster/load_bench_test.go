package cluster

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
	"rowanlink/webhook/api"
)

// Each benchmark plays what it compares in one run, on the same processes where it can: only the ratios say
// something on a machine with other work.

const benchmarkDestination = api.DestinationID(1)

// runLoad submits webhooks for one destination at some members, at a limited rate, for a time.
func runLoad(c *harness.Cluster, perSecond float64, span time.Duration,
	members ...string) (from, until api.Micros) {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	from = c.Platform.Now()
	const streams = 8 // a single one loses ticks where all cores are busy
	var done []func()
	for range streams {
		done = append(done, c.Platform.StartLoad(ctx, platform.Load{
			Members:   members,
			PerSecond: perSecond / streams,
			Clients:   8,
			Next: func(int) platform.Webhook {
				return platform.Webhook{
					Type:        "status",
					Destination: benchmarkDestination,
					TTL:         8 * time.Second,
					Body:        "a webhook's body",
				}
			},
		}))
	}
	for _, wait := range done {
		wait()
	}
	until = c.Platform.Now()
	c.AwaitOutcomes()
	return from, until
}

func totalCPUTime(c *harness.Cluster) (sum time.Duration) {
	for _, m := range c.Members {
		sum += m.CPUTime()
	}
	return sum
}

func milliseconds(t api.Micros) float64 { return t.Seconds() * 1e3 }

// BenchmarkForwarded submits webhooks at their owner and at another member, in turn. CPU time is that of all members,
// without what they use when idle.
func BenchmarkForwarded(b *testing.B) {
	for _, perSecond := range []float64{1000, 3000} {
		b.Run(fmt.Sprint(perSecond), func(b *testing.B) { benchmarkForwarded(b, perSecond) })
	}
}

func benchmarkForwarded(b *testing.B, perSecond float64) {
	c := harness.Start(b, harness.Options{Binary: binary, Ranges: 8, Weight: 20000})
	c.AwaitStable()
	sleepTTLs(3)
	before := totalCPUTime(c)
	sleepTTLs(5)
	rest := (totalCPUTime(c) - before).Seconds() / 5
	type sum struct {
		n, cpu, spent   float64
		answered, delay []api.Micros
	}
	var local, away sum
	for b.Loop() {
		owner := c.Owner(benchmarkDestination)
		require.NotNil(b, owner)
		other := c.Members[0]
		if other == owner {
			other = c.Members[1]
		}
		for at, s := range map[*harness.Member]*sum{owner: &local, other: &away} {
			before, since := totalCPUTime(c), c.Platform.Now()
			from, until := runLoad(c, perSecond, 4*time.Second, at.Name)
			spent := (c.Platform.Now() - since).Seconds()
			w := c.Platform.Checker.Window(benchmarkDestination, from, until)
			s.n, s.spent = s.n+float64(len(w.DeliveryDelays)), s.spent+(until-from).Seconds()
			s.cpu += (totalCPUTime(c) - before).Seconds() - spent*rest
			s.answered, s.delay = append(s.answered, w.ResponseTimes...), append(s.delay, w.DeliveryDelays...)
		}
	}
	for name, s := range map[string]*sum{"local": &local, "forwarded": &away} {
		b.ReportMetric(s.n/s.spent, name+"/s")
		b.ReportMetric(1e6*s.cpu/s.n, name+"-cpu-us")
		b.ReportMetric(milliseconds(deliverycheck.Median(s.answered)), name+"-answer-ms")
		b.ReportMetric(milliseconds(deliverycheck.Median(s.delay)), name+"-delay-ms")
	}
	b.ReportMetric((away.cpu/away.n)/(local.cpu/local.n), "cpu-ratio")
	b.ReportMetric(float64(deliverycheck.Median(away.delay))/float64(deliverycheck.Median(local.delay)), "delay-ratio")
	b.ReportMetric(rest*100, "rest-%cpu")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkMove moves a destination's range under load by the plan, then terminates its owner and starts it again.
func BenchmarkMove(b *testing.B) {
	c := harness.Start(b, harness.Options{Binary: binary, Ranges: 8, Weight: 2000})
	c.AwaitStable()
	ctx, cancel := context.WithCancel(context.Background())
	done := c.Platform.StartLoad(ctx, platform.Load{
		Members:   c.Names(),
		PerSecond: 400,
		Clients:   32,
		Next: func(n int) platform.Webhook {
			return platform.Webhook{
				Type:        []string{"status", "paid", "charge"}[n%3],
				Destination: benchmarkDestination,
				TTL:         8 * time.Second,
				Body:        "a webhook's body",
			}
		},
	})
	var gaps [3][]api.Micros // nothing happens, a move, stop and restart
	var bad [3][]deliverycheck.Window
	look := func(kind int, what func()) {
		from := c.Platform.Now()
		what()
		sleepTTLs(1)
		w := c.Platform.Checker.Window(benchmarkDestination, from, c.Platform.Now())
		gaps[kind], bad[kind] = append(gaps[kind], w.LongestGap), append(bad[kind], w)
	}
	sleepTTLs(3)
	n := 0
	for b.Loop() {
		look(0, func() { sleepTTLs(1) })
		owner := c.Owner(benchmarkDestination)
		require.NotNil(b, owner)
		n++
		to := c.Members[n%len(c.Members)]
		if to == owner {
			to = c.Members[(n+1)%len(c.Members)]
		}
		look(1, func() {
			c.ReloadOperatorFiles(fmt.Sprintf("pin \"%d\" {\n  destinations = [%d]\n  to = %q\n}\n", n, benchmarkDestination, to.Name))
			c.Eventually("it has moved", func() bool { return c.Owner(benchmarkDestination) == to })
			c.AwaitStable()
		})
		look(2, func() { to.Terminate(); to.Start(); c.AwaitStable() })
	}
	cancel()
	done()
	for kind, name := range []string{"still", "move", "restart"} {
		b.ReportMetric(milliseconds(deliverycheck.Median(gaps[kind])), name+"-gap-ms")
		b.ReportMetric(milliseconds(slices.Max(gaps[kind])), name+"-gap-worst-ms")
		refused, unanswered := 0, 0
		for _, w := range bad[kind] {
			refused, unanswered = refused+w.Rejected, unanswered+w.Unanswered
		}
		b.ReportMetric(float64(refused)/float64(n), name+"-rejected")
		b.ReportMetric(float64(unanswered)/float64(n), name+"-unanswered")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkMemory compares the resident memory of a member with that of a standalone dispatcher, idle and after the
// same load. m1 to m3 are raft nodes.
func BenchmarkMemory(b *testing.B) {
	alone, remove, err := harness.Build("../../..", "rowanlink")
	require.NoError(b, err)
	defer remove()
	for b.Loop() {
		for name, shape := range map[string]harness.Options{"link": {
			Binary:     alone,
			Standalone: true,
			Members:    4,
		},
			"fleet": {Binary: binary, Members: 4}} {
			shape.Weight = 2000
			c := harness.Start(b, shape)
			sleepTTLs(5)
			reportMemory(b, c, name+"-rest")
			runLoad(c, 400, 5*time.Second, c.Names()...)
			reportMemory(b, c, name+"-loaded")
			for _, m := range c.Members {
				m.Kill()
			}
		}
	}
	b.ReportMetric(0, "ns/op")
}

func reportMemory(b *testing.B, c *harness.Cluster, name string) {
	b.ReportMetric(float64(c.Members[0].ResidentMemory())/(1<<20), name+"-m1-MB")
	b.ReportMetric(float64(c.Members[3].ResidentMemory())/(1<<20), name+"-m4-MB")
}
