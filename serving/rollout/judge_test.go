package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

// version is how a software version of the simulation answers.
type version struct {
	name        string
	failures    float64       // share of failed answers
	slow        float64       // share of slow answers
	goodFor     time.Duration // before that, all answers are good
	onlyOnRoute int           // 1 to 3; zero: on all
	fromStep    state.RolloutStep
}

// simulation simulates one roll-out: proxies get requests on three routes, send the target its share of them, which
// depends on the step, and report the answers to a judge, whose decisions are applied.
type simulation struct {
	random   *rand.Rand
	version  version
	baseline version
	rate     float64       // requests a second
	duration time.Duration // time that the order allows
	exposed  int           // requests that the target got
	decided  time.Duration // time from the order to the end of the roll-out
	reason   state.RolloutReason
}

const (
	simulatedProxies  = 20
	simulatedTick     = 250 * time.Millisecond
	simulatedDuration = 16 * time.Second
)

// run returns the state in which the roll-out ends.
func (s *simulation) run() state.RolloutState {
	start := time.Unix(0, 0)
	judge := NewJudge()
	known := state.Rollout{Service: "s", Target: "v2", State: state.RolloutInProgress, OrderRevision: 1, Revision: 1,
		DurationMillis: s.duration.Milliseconds()}
	reports := make([]state.RolloutReport, simulatedProxies)
	for elapsed := time.Duration(0); elapsed < s.duration; elapsed += simulatedTick {
		now := start.Add(elapsed)
		judge.Follow(now, []state.Rollout{known})
		for proxy := range reports {
			s.addTraffic(&reports[proxy], elapsed, &known)
			judge.AddReport(fmt.Sprint("proxy-", proxy), reports[proxy])
		}
		decision := judge.Decide(now, 1, Capacity{Target: 30, TargetWarmedUp: 30, Baseline: 30})
		record := state.Record{Revision: known.Revision, Rollouts: []state.Rollout{known}}
		next, err := Transition{Service: "s", Revision: known.Revision, Elapsed: elapsed, Decision: decision}.Apply(record)
		if err != nil {
			continue
		}
		known, _ = next.Rollout("s")
		if known.State != state.RolloutInProgress {
			s.decided, s.reason = elapsed, known.Verdict.Reason
			return known.State
		}
	}
	return known.State
}

// addTraffic adds the answers that one proxy gets in one tick to its report.
func (s *simulation) addTraffic(report *state.RolloutReport, elapsed time.Duration, known *state.Rollout) {
	share := map[state.RolloutStep]float64{state.RolloutCanary: 0.03, state.RolloutLoad: 0.06, state.RolloutRamp: 0.25, state.RolloutFull: 1}[known.Step]
	if report.Routes == nil {
		*report = state.RolloutReport{OrderRevision: 1, Incarnation: 1, Routes: []state.RouteCounts{{Route: "1"}, {Route: "2"}, {Route: "3"}}}
	}
	routes := append([]state.RouteCounts{}, report.Routes...)
	endpoints := append([]state.EndpointCounts{}, report.Endpoints...)
	expected := s.rate * simulatedTick.Seconds() / simulatedProxies
	count := int(expected)
	if s.random.Float64() < expected-float64(count) {
		count++
	}
	for range count {
		route := s.random.IntN(3)
		if s.random.Float64() < share {
			s.exposed++
			bad := s.answer(&routes[route].Target, s.version, elapsed, route, known.Step)
			endpoints = addEndpoint(endpoints, fmt.Sprint("e", s.random.IntN(6)), bad)
			continue
		}
		s.answer(&routes[route].Baseline, s.baseline, elapsed, route, known.Step)
	}
	report.Routes, report.Endpoints = routes, endpoints
	report.Sequence++
}

// answer simulates one answer of a version, counts it and reports whether it was bad.
func (s *simulation) answer(counts *state.AnswerCounts, by version, elapsed time.Duration, route int, step state.RolloutStep) bool {
	counts.Answers++
	counts.Timed++
	if elapsed < by.goodFor || by.onlyOnRoute != 0 && by.onlyOnRoute != route+1 || step < by.fromStep {
		return false
	}
	switch draw := s.random.Float64(); {
	case draw < by.failures:
		counts.Failed++
		return true
	case draw < by.failures+by.slow:
		counts.Slow++
		return true
	}
	return false
}

// addEndpoint counts one answer of an endpoint.
func addEndpoint(list []state.EndpointCounts, id string, bad bool) []state.EndpointCounts {
	index := slices.IndexFunc(list, func(known state.EndpointCounts) bool { return known.ID == id })
	if index < 0 {
		list = append(list, state.EndpointCounts{ID: id})
		index = len(list) - 1
	}
	list[index].Answers++
	list[index].Bad += boolToInt(bad)
	return list
}

// TestJudge_Verdicts simulates good and bad versions beside various baselines. No verdict may be wrong, and the requests
// that a bad version gets are bounded. The requirement is at most a tenth of the requests and 50 more; the goal is a mean
// of a third of that.
func TestJudge_Verdicts(t *testing.T) {
	const seeds = 300
	const rate = 200
	bound := 0.1*rate*simulatedDuration.Seconds() + 50
	healthy := version{failures: 0.002, slow: 0.02}
	for _, test := range []struct {
		version  version
		baseline version
		good     bool
		exposure float64 // largest allowed mean of the requests that the version gets, as a share of the bound
	}{
		{version{name: "as good"}, version{}, true, 0},
		{version{name: "single faults", failures: 0.003, slow: 0.03}, healthy, true, 0},
		{version{name: "busy, like the baseline", failures: 0.02, slow: 0.12}, version{failures: 0.02, slow: 0.12}, true, 0},
		{version{name: "beside failing endpoints", failures: 0.06}, version{failures: 0.06}, true, 0},
		{version{name: "beside slow endpoints", slow: 0.15}, version{slow: 0.15}, true, 0},
		{version{name: "a third fails", failures: 0.34}, healthy, false, 1.0 / 3},
		{version{name: "half fails", failures: 0.5}, healthy, false, 1.0 / 3},
		{version{name: "a third is slow", slow: 0.34}, healthy, false, 1.0 / 3},
		{version{name: "late", failures: 0.4, goodFor: 5 * time.Second}, healthy, false, 1.0 / 3},
		{version{name: "very late", failures: 0.4, goodFor: 8 * time.Second}, healthy, false, 1},
		{version{name: "on one route", failures: 0.34, onlyOnRoute: 2}, healthy, false, 1.0 / 3},
		{version{name: "from the ramp on", failures: 0.4, fromStep: state.RolloutRamp}, healthy, false, 1},
		{version{name: "fails beside slow endpoints", failures: 0.34, slow: 0.1}, version{slow: 0.15}, false, 1.0 / 3},
	} {
		t.Run(test.version.name, func(t *testing.T) {
			wrong, exposed, latest := 0, 0, time.Duration(0)
			for seed := range uint64(seeds) {
				s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), version: test.version, baseline: test.baseline, rate: rate, duration: simulatedDuration}
				if promoted := s.run() == state.RolloutPromoted; promoted != test.good {
					wrong++
					t.Logf("seed %d: reason %d, decided after %v", seed, s.reason, s.decided)
				}
				exposed += s.exposed
				latest = max(latest, s.decided)
				assert.True(t, test.good || float64(s.exposed) <= bound, "seed %d: %d requests", seed, s.exposed)
			}
			mean := float64(exposed) / seeds / bound
			t.Logf("%d of %d wrong, mean exposure %.2f of the bound, decided after %v at most", wrong, seeds, mean, latest)
			assert.Zero(t, wrong)
			assert.Less(t, latest, simulatedDuration)
			if !test.good {
				assert.LessOrEqual(t, mean, test.exposure)
			}
		})
	}
}

func report(incarnation, sequence uint64, target, baseline state.AnswerCounts, bad ...string) state.RolloutReport {
	built := state.RolloutReport{OrderRevision: 1, Incarnation: incarnation, Sequence: sequence,
		Routes: []state.RouteCounts{{Route: "r", Target: target, Baseline: baseline}}}
	for _, id := range bad {
		built.Endpoints = addEndpoint(built.Endpoints, id, true)
	}
	return built
}

// TestEvidence_CountsNothingTwice guards against answers that are counted twice or lost. Reports are sums, may arrive
// twice and out of order, and begin at zero when the proxy restarts.
func TestEvidence_CountsNothingTwice(t *testing.T) {
	e := newEvidence()
	first := report(7, 1, state.AnswerCounts{Answers: 4}, state.AnswerCounts{Answers: 10})
	second := report(7, 2, state.AnswerCounts{Answers: 6, Failed: 1}, state.AnswerCounts{Answers: 30}, "e1")
	for _, next := range []state.RolloutReport{first, second, second, first, {OrderRevision: 1}} {
		if next.Incarnation == 0 {
			continue
		}
		e.add("p", next)
	}
	assert.Equal(t, state.AnswerCounts{Answers: 6, Failed: 1}, e.route("r").target)
	assert.Equal(t, state.AnswerCounts{Answers: 30}, e.route(allRoutes).baseline)
	e.add("p", report(8, 1, state.AnswerCounts{Answers: 2}, state.AnswerCounts{Answers: 5}))
	e.add("q", report(9, 1, state.AnswerCounts{Answers: 1}, state.AnswerCounts{}))
	assert.Equal(t, state.AnswerCounts{Answers: 9, Failed: 1}, e.route(allRoutes).target)
	assert.Equal(t, state.AnswerCounts{Answers: 35}, e.route("r").baseline)
}

func TestJudge_NeedsEndpointsAndSeveralBadOnes(t *testing.T) {
	now := time.Unix(0, 0)
	known := state.Rollout{Service: "s", Target: "v2", State: state.RolloutInProgress, OrderRevision: 1, Revision: 1, DurationMillis: 10_000}
	judge := NewJudge()
	judge.Follow(now, []state.Rollout{known})
	failing := state.AnswerCounts{Answers: 20, Failed: 15}
	assert.True(t, judge.AddReport("p", report(1, 1, failing, state.AnswerCounts{Answers: 100}, "e1", "e2")))
	assert.False(t, judge.AddReport("p", state.RolloutReport{OrderRevision: 9}), "an unknown roll-out gets no lease")
	many := Capacity{Target: 10, TargetWarmedUp: 10, Baseline: 10}
	assert.Equal(t, Hold, judge.Decide(now, 1, many).Action, "bad answers of two endpoints are no fault of the version")
	assert.Equal(t, RollBack, judge.Decide(now, 1, Capacity{Target: 2, TargetWarmedUp: 2, Baseline: 2}).Action)

	judge = NewJudge()
	judge.Follow(now, []state.Rollout{known})
	few := Capacity{Target: 4, TargetWarmedUp: 4, Baseline: 10}
	assert.Equal(t, Hold, judge.Decide(now.Add(8*time.Second), 1, few).Action)
	ended := judge.Decide(now.Add(9500*time.Millisecond), 1, few)
	assert.Equal(t, RollBack, ended.Action)
	assert.Equal(t, state.RolloutNoEndpoints, ended.Verdict.Reason)
}

// TestJudge_TakesOver: a judge that first sees a roll-out late begins with the elapsed time in the record.
func TestJudge_TakesOver(t *testing.T) {
	now := time.Unix(0, 0)
	judge := NewJudge()
	judge.Follow(now, []state.Rollout{{State: state.RolloutInProgress, OrderRevision: 3, Revision: 5, ElapsedMillis: 4000, DurationMillis: 12_000}})
	assert.Equal(t, 6*time.Second, judge.Elapsed(now.Add(2*time.Second), 3))
	assert.Zero(t, judge.Elapsed(now, 4))
	judge.Follow(now, nil)
	assert.Zero(t, judge.Elapsed(now, 3), "a roll-out that the record no longer has is forgotten")
}
