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

// coldBound is what the test document allows a cold endpoint in any second: 8.5 * 1.5 + 5.
const coldBound = 17.75

// coldEndpoint is the only one of its service and stays cold for long.
func coldEndpoint() []state.Endpoint {
	made := modelEndpoints("e1", 1)
	made[0].WarmupLeftMillis = 60_000
	return made
}

// mostInASecond is the largest number of times in any span of a second.
func mostInASecond(times []time.Time) (most int) {
	from := 0
	for to := range times {
		for times[to].Sub(times[from]) >= time.Second {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

func TestAllProxiesTogetherKeepAColdEndpointsBound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		count := rapid.IntRange(1, 60).Draw(r, "proxies")
		told := subscription.Proxies{Live: count, Most: max(count-rapid.IntRange(0, uncountedProxies).Draw(r, "unknown"), 1), Region: count}
		table := testDocument(t)
		now := begin
		start := func(index int) *Picker {
			p := New(Options{Name: fmt.Sprint("proxy-", index), Zone: "e1", Region: "east", Regions: regions, Bounds: bounds,
				Seed: uint64(now.UnixNano()) + uint64(index), StartedAt: now})
			p.Update(now, Snapshot{Routing: table, Endpoints: coldEndpoint(), Record: &state.Record{}, Proxies: told})
			return p
		}
		placers := make([]*Picker, count)
		for index := range placers {
			placers[index] = start(index)
		}
		var sent []time.Time
		w := &world{view: Snapshot{Routing: table}}
		for range 800 {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(r, "ms")) * time.Millisecond)
			index := rapid.IntRange(0, count-1).Draw(r, "proxy")
			if rapid.IntRange(0, 40).Draw(r, "restart") == 0 {
				placers[index] = start(index)
			}
			choice, verdict := placers[index].Pick(now, w.request("urgent", 1))
			if verdict.Kind != Picked {
				continue
			}
			sent = append(sent, now)
			placers[index].ReportOutcome(now, choice.Reservation, attempt.Succeeded)
		}
		assert.LessOrEqual(r, float64(mostInASecond(sent)), coldBound)
	})
}

func TestManyProxiesShareAColdEndpointByChanceOfTheHash(t *testing.T) {
	table := testDocument(t)
	for _, count := range []int{18, 30, 100, 300, 1000} {
		for endpoint := range 50 {
			senders := 0
			for index := range count {
				p := New(Options{Name: fmt.Sprint("machine-", index), Bounds: bounds})
				p.proxyCount = count
				e := newEndpoint(p.ensureService("model"), state.Endpoint{ID: fmt.Sprint("i-", endpoint)})
				e.service.config, _ = table.Service("model")
				senders += p.warmupQuota(e)
			}
			assert.LessOrEqual(t, float64(senders), coldBound, "%d proxies", count)
		}
	}
}

func TestAFreshProcessSendsNothingToAColdEndpointAtFirst(t *testing.T) {
	w := newWorld(t, "e1", coldEndpoint()...)
	w.options.StartedAt = w.now
	w.proxyCount = 1 // it has met no other yet
	_, verdict := w.Pick(w.now.Add(time.Second), w.request("review", 1))
	assert.NotEqual(t, Picked, verdict.Kind)
	_, verdict = w.Pick(w.now.Add(warmupWindow), w.request("review", 1))
	assert.Equal(t, Picked, verdict.Kind)
	_, verdict = w.Pick(w.now.Add(warmupWindow), w.request("review", 1))
	assert.NotEqual(t, Picked, verdict.Kind, "one at a time until it must have met them")
}

func TestWhatMakesAnEndpointCold(t *testing.T) {
	w := newWorld(t, "e1", modelEndpoints("e1", 1)...)
	e := w.endpoints["e1-0"]
	cold := func(after time.Duration) bool { return w.isWarmingUp(w.now.Add(after), e) }
	assert.False(t, cold(0))

	w.view.Endpoints[0].Sequence, w.view.Endpoints[0].WarmupLeftMillis = 2, 3000
	w.tell()
	assert.True(t, cold(3900*time.Millisecond))
	assert.False(t, cold(4*time.Second))
	w.view.Endpoints[0].Sequence, w.view.Endpoints[0].WarmupLeftMillis = 3, 0
	w.tell()
	assert.False(t, cold(0), "its own word ends it")

	w.view.Record.Evacuations = []state.Evacuation{{Zone: "e1", Active: true}}
	w.tell()
	w.view.Record.Evacuations = []state.Evacuation{{Zone: "e1"}}
	w.tell()
	assert.True(t, cold(4400*time.Millisecond), "after its zone's evacuation")
	assert.False(t, cold(4500*time.Millisecond))
	w.now = w.now.Add(time.Minute)

	e.health.consecutiveFailures = ejectionThreshold
	w.applyOutcome(w.now, &call{endpoint: e, sentAt: w.now}, attempt.Succeeded)
	assert.True(t, cold(0), "it was away and may have come back cold")
}

func TestAProcessThatStartsAfterAnEvacuationTakesItsZoneForCold(t *testing.T) {
	w := newWorld(t, "e1")
	fresh := New(w.options)
	fresh.Update(w.now, Snapshot{Routing: w.view.Routing, Endpoints: modelEndpoints("e1", 1), Proxies: w.view.Proxies,
		Record: &state.Record{Evacuations: []state.Evacuation{{Zone: "e1"}}}})
	assert.True(t, fresh.isWarmingUp(w.now, fresh.endpoints["e1-0"]))
}

func TestAMisdirectedCallGivesItsPartBack(t *testing.T) {
	w := newWorld(t, "e1", coldEndpoint()...)
	choice, verdict := w.Pick(w.now, w.request("review", 1))
	require.Equal(t, Picked, verdict.Kind)
	e := w.endpoints["e1-0"]
	assert.Len(t, e.warmup.sends, 1)
	w.ReportOutcome(w.now, choice.Reservation, attempt.Misdirected)
	assert.Empty(t, e.warmup.sends)
}

// TestWithoutWordOfTheOthersAColdEndpointGetsNothing: a share can't be worked out for an unknown number of proxies.
func TestWithoutWordOfTheOthersAColdEndpointGetsNothing(t *testing.T) {
	w := newWorld(t, "e1")
	fresh := New(w.options)
	fresh.Update(w.now, Snapshot{Routing: w.view.Routing, Endpoints: coldEndpoint(), Record: &state.Record{}})
	_, verdict := fresh.Pick(w.now, w.request("review", 1))
	assert.NotEqual(t, Picked, verdict.Kind)
	fresh.Update(w.now, Snapshot{Routing: w.view.Routing, Endpoints: coldEndpoint(), Record: &state.Record{}, Proxies: w.view.Proxies})
	_, verdict = fresh.Pick(w.now, w.request("review", 1))
	assert.Equal(t, Picked, verdict.Kind)
}

// TestASilentEndpointCountsAsCold: it may have ended and come back cold, before its first heartbeat tells.
func TestASilentEndpointCountsAsCold(t *testing.T) {
	w := newWorld(t, "e1", modelEndpoints("e1", 3)...)
	w.view.Endpoints[0].Unresponsive = true
	w.tell()
	assert.True(t, w.isWarmingUp(w.now, w.endpoints["e1-0"]))
	assert.False(t, w.isWarmingUp(w.now, w.endpoints["e1-1"]))
	for index := range w.view.Endpoints {
		w.view.Endpoints[index].Unresponsive = true
	}
	w.tell()
	assert.False(t, w.isWarmingUp(w.now, w.endpoints["e1-0"]), "where most are silent, their heartbeats are what is lost")
}
