package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// warmupLimit is what the test configuration permits a warming-up endpoint in any second: 8.5 * 1.5 + 5.
const warmupLimit = 17.75

// warmingEndpoint returns the only endpoint of its service, which warms up for a minute.
func warmingEndpoint() []state.Endpoint {
	endpoints := modelEndpoints("e1", 1)
	endpoints[0].WarmupLeftMillis = 60_000
	return endpoints
}

// maxPerSecond returns the largest number of times within any second.
func maxPerSecond(times []time.Time) (maximum int) {
	from := 0
	for to := range times {
		for times[to].Sub(times[from]) >= time.Second {
			from++
		}
		maximum = max(maximum, to-from+1)
	}
	return maximum
}

func TestWarmup_AllProxiesTogetherStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		count := rapid.IntRange(1, 60).Draw(r, "proxies")
		reported := subscription.ProxyCounts{
			Live:         count,
			MaxRunning:   max(count-rapid.IntRange(0, uncountedProxies).Draw(r, "unknown"), 1),
			LiveInRegion: count,
		}
		table := testRouting(t)
		now := startTime
		start := func(index int) *Picker {
			p := New(Options{Name: fmt.Sprint("proxy-", index), Zone: "e1", Region: "east", Regions: regions, Bounds: bounds,
				Seed: uint64(now.UnixNano()) + uint64(index), StartedAt: now})
			p.Update(now, Snapshot{
				Routing:   table,
				Endpoints: warmingEndpoint(),
				Record:    &state.Record{},
				Proxies:   reported,
			})
			return p
		}
		pickers := make([]*Picker, count)
		for index := range pickers {
			pickers[index] = start(index)
		}
		var sent []time.Time
		w := &pickerFixture{snapshot: Snapshot{Routing: table}}
		for range 800 {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(r, "ms")) * time.Millisecond)
			index := rapid.IntRange(0, count-1).Draw(r, "proxy")
			if rapid.IntRange(0, 40).Draw(r, "restart") == 0 {
				pickers[index] = start(index)
			}
			choice, decision := pickers[index].Pick(now, w.request("urgent", 1))
			if decision.Kind != Picked {
				continue
			}
			sent = append(sent, now)
			pickers[index].ReportOutcome(now, choice.Reservation, attempt.Succeeded)
		}
		assert.LessOrEqual(r, float64(maxPerSecond(sent)), warmupLimit)
	})
}

func TestWarmupQuota_ManyProxiesAreSampledByHash(t *testing.T) {
	table := testRouting(t)
	for _, count := range []int{18, 30, 100, 300, 1000} {
		for endpoint := range 50 {
			senders := 0
			for index := range count {
				p := New(Options{Name: fmt.Sprint("machine-", index), Bounds: bounds})
				p.proxyCount = count
				e := newEndpoint(p.ensureService("model"), state.Endpoint{ID: fmt.Sprint("i-", endpoint)}, 1)
				e.service.config, _ = table.Service("model")
				senders += p.warmupQuota(e)
			}
			assert.LessOrEqual(t, float64(senders), warmupLimit, "%d proxies", count)
		}
	}
}

func TestWarmup_NewProcessSendsNothingInTheFirstWindow(t *testing.T) {
	w := newFixture(t, "e1", warmingEndpoint()...)
	w.options.StartedAt = w.now
	w.proxyCount = 1 // it has discovered no other proxy
	_, decision := w.Pick(w.now.Add(time.Second), w.request("review", 1))
	assert.NotEqual(t, Picked, decision.Kind)
	_, decision = w.Pick(w.now.Add(warmupWindow), w.request("review", 1))
	assert.Equal(t, Picked, decision.Kind)
	_, decision = w.Pick(w.now.Add(warmupWindow), w.request("review", 1))
	assert.NotEqual(t, Picked, decision.Kind, "one call a window until discoverySpan is over")
}

func TestIsWarmingUp(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	e := w.endpoints["e1-0"]
	isWarmingUp := func(after time.Duration) bool { return w.isWarmingUp(w.now.Add(after), e) }
	assert.False(t, isWarmingUp(0))

	w.snapshot.Endpoints[0].Sequence = 2
	w.snapshot.Endpoints[0].WarmupLeftMillis = 3000
	w.update()
	assert.True(t, isWarmingUp(3900*time.Millisecond))
	assert.False(t, isWarmingUp(4*time.Second))
	w.snapshot.Endpoints[0].Sequence = 3
	w.snapshot.Endpoints[0].WarmupLeftMillis = 0
	w.update()
	assert.False(t, isWarmingUp(0), "its own report ends it")

	w.snapshot.Record.Evacuations = []state.Evacuation{{Zone: "e1", Active: true}}
	w.update()
	w.snapshot.Record.Evacuations = []state.Evacuation{{Zone: "e1"}}
	w.update()
	assert.True(t, isWarmingUp(4400*time.Millisecond), "after its zone's evacuation")
	assert.False(t, isWarmingUp(4500*time.Millisecond))
	w.now = w.now.Add(time.Minute)

	e.health.consecutiveFailures = ejectionThreshold
	w.applyOutcome(w.now, &call{endpoint: e, sentAt: w.now}, attempt.Succeeded)
	assert.True(t, isWarmingUp(0), "it was unreachable and may have restarted")
}

func TestIsWarmingUp_EvacuationEndedBeforeStart(t *testing.T) {
	w := newFixture(t, "e1")
	fresh := New(w.options)
	fresh.Update(w.now, Snapshot{Routing: w.snapshot.Routing, Endpoints: modelEndpoints("e1", 1), Proxies: w.snapshot.Proxies,
		Record: &state.Record{Evacuations: []state.Evacuation{{Zone: "e1"}}}})
	assert.True(t, fresh.isWarmingUp(w.now, fresh.endpoints["e1-0"]))
}

func TestWarmup_MisdirectedCallIsUncounted(t *testing.T) {
	w := newFixture(t, "e1", warmingEndpoint()...)
	choice, decision := w.Pick(w.now, w.request("review", 1))
	require.Equal(t, Picked, decision.Kind)
	e := w.endpoints["e1-0"]
	assert.Len(t, e.warmup.sends, 1)
	w.ReportOutcome(w.now, choice.Reservation, attempt.Misdirected)
	assert.Empty(t, e.warmup.sends)
}

// TestWarmup_UnknownProxyCountSendsNothing: while the number of proxies is unknown, the quota is zero.
func TestWarmup_UnknownProxyCountSendsNothing(t *testing.T) {
	w := newFixture(t, "e1")
	fresh := New(w.options)
	fresh.Update(w.now, Snapshot{Routing: w.snapshot.Routing, Endpoints: warmingEndpoint(), Record: &state.Record{}})
	_, decision := fresh.Pick(w.now, w.request("review", 1))
	assert.NotEqual(t, Picked, decision.Kind)
	fresh.Update(w.now, Snapshot{
		Routing:   w.snapshot.Routing,
		Endpoints: warmingEndpoint(),
		Record:    &state.Record{},
		Proxies:   w.snapshot.Proxies,
	})
	_, decision = fresh.Pick(w.now, w.request("review", 1))
	assert.Equal(t, Picked, decision.Kind)
}

// TestIsWarmingUp_UnresponsiveEndpoint: an unresponsive endpoint may have restarted, which isn't known before its next
// heartbeat.
func TestIsWarmingUp_UnresponsiveEndpoint(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 3)...)
	w.snapshot.Endpoints[0].Unresponsive = true
	w.update()
	assert.True(t, w.isWarmingUp(w.now, w.endpoints["e1-0"]))
	assert.False(t, w.isWarmingUp(w.now, w.endpoints["e1-1"]))
	for index := range w.snapshot.Endpoints {
		w.snapshot.Endpoints[index].Unresponsive = true
	}
	w.update()
	assert.False(t, w.isWarmingUp(w.now, w.endpoints["e1-0"]), "if most are unresponsive, their heartbeats were lost")
}
