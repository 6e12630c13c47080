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

// runLoad hands in webhooks for one destination at some members, at the most so many a second, for a span.
func runLoad(f *harness.Cluster, perSecond float64, span time.Duration,
	members ...string) (from, until api.Micros) {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	from = f.Platform.Now()
	const streams = 8 // a single one loses ticks where all cores are busy
	var done []func()
	for range streams {
		done = append(done, f.Platform.StartLoad(ctx, platform.Load{Members: members, PerSecond: perSecond / streams,
			Clients: 8, Next: func(int) platform.Webhook {
				return platform.Webhook{Type: "status", Destination: benchmarkDestination, TTL: 8 * time.Second, Body: "a webhook's body"}
			}}))
	}
	for _, wait := range done {
		wait()
	}
	until = f.Platform.Now()
	f.AwaitOutcomes()
	return from, until
}

func totalCPUTime(f *harness.Cluster) (sum time.Duration) {
	for _, m := range f.Members {
		sum += m.CPUTime()
	}
	return sum
}

func milliseconds(t api.Micros) float64 { return t.Seconds() * 1e3 }

// BenchmarkForwarded hands webhooks in at their home, then at another member, in turn. CPU is all members',
// less what they use at rest.
func BenchmarkForwarded(b *testing.B) {
	for _, perSecond := range []float64{1000, 3000} {
		b.Run(fmt.Sprint(perSecond), func(b *testing.B) { benchmarkForwarded(b, perSecond) })
	}
}

func benchmarkForwarded(b *testing.B, perSecond float64) {
	f := harness.Start(b, harness.Options{Binary: binary, Ranges: 8, Weight: 20000})
	f.AwaitStable()
	sleepTTLs(3)
	before := totalCPUTime(f)
	sleepTTLs(5)
	rest := (totalCPUTime(f) - before).Seconds() / 5
	type sum struct {
		n, cpu, spent   float64
		answered, delay []api.Micros
	}
	var local, away sum
	for b.Loop() {
		home := f.Owner(benchmarkDestination)
		require.NotNil(b, home)
		other := f.Members[0]
		if other == home {
			other = f.Members[1]
		}
		for at, s := range map[*harness.Member]*sum{home: &local, other: &away} {
			before, since := totalCPUTime(f), f.Platform.Now()
			from, until := runLoad(f, perSecond, 4*time.Second, at.Name)
			spent := (f.Platform.Now() - since).Seconds()
			w := f.Platform.Checker.Window(benchmarkDestination, from, until)
			s.n, s.spent = s.n+float64(len(w.DeliveryDelays)), s.spent+(until-from).Seconds()
			s.cpu += (totalCPUTime(f) - before).Seconds() - spent*rest
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

// BenchmarkMove moves a destination's range under load by the plan, then ends its home and starts it again.
func BenchmarkMove(b *testing.B) {
	f := harness.Start(b, harness.Options{Binary: binary, Ranges: 8, Weight: 2000})
	f.AwaitStable()
	ctx, cancel := context.WithCancel(context.Background())
	done := f.Platform.StartLoad(ctx, platform.Load{Members: f.Names(), PerSecond: 400, Clients: 32,
		Next: func(n int) platform.Webhook {
			return platform.Webhook{Type: []string{"status", "paid", "charge"}[n%3], Destination: benchmarkDestination,
				TTL: 8 * time.Second, Body: "a webhook's body"}
		}})
	var gaps [3][]api.Micros // nothing happens, a move, stop and restart
	var bad [3][]deliverycheck.Window
	look := func(kind int, what func()) {
		from := f.Platform.Now()
		what()
		sleepTTLs(1)
		w := f.Platform.Checker.Window(benchmarkDestination, from, f.Platform.Now())
		gaps[kind], bad[kind] = append(gaps[kind], w.LongestGap), append(bad[kind], w)
	}
	sleepTTLs(3)
	n := 0
	for b.Loop() {
		look(0, func() { sleepTTLs(1) })
		home := f.Owner(benchmarkDestination)
		require.NotNil(b, home)
		n++
		to := f.Members[n%len(f.Members)]
		if to == home {
			to = f.Members[(n+1)%len(f.Members)]
		}
		look(1, func() {
			f.ReloadOperatorFiles(fmt.Sprintf("pin \"%d\" {\n  destinations = [%d]\n  to = %q\n}\n", n, benchmarkDestination, to.Name))
			f.Eventually("it has moved", func() bool { return f.Owner(benchmarkDestination) == to })
			f.AwaitStable()
		})
		look(2, func() { to.Terminate(); to.Start(); f.AwaitStable() })
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

// BenchmarkMemory is what a process holds of memory beside its like of the other program, at rest and after
// the same load. m1 to m3 keep the log.
func BenchmarkMemory(b *testing.B) {
	alone, remove, err := harness.Build("..", "rowanlink")
	require.NoError(b, err)
	defer remove()
	for b.Loop() {
		for name, shape := range map[string]harness.Options{"link": {Binary: alone, Standalone: true, Members: 4},
			"fleet": {Binary: binary, Members: 4}} {
			shape.Weight = 2000
			f := harness.Start(b, shape)
			sleepTTLs(5)
			reportMemory(b, f, name+"-rest")
			runLoad(f, 400, 5*time.Second, f.Names()...)
			reportMemory(b, f, name+"-loaded")
			for _, m := range f.Members {
				m.Kill()
			}
		}
	}
	b.ReportMetric(0, "ns/op")
}

func reportMemory(b *testing.B, f *harness.Cluster, name string) {
	b.ReportMetric(float64(f.Members[0].ResidentMemory())/(1<<20), name+"-m1-MB")
	b.ReportMetric(float64(f.Members[3].ResidentMemory())/(1<<20), name+"-m4-MB")
}
