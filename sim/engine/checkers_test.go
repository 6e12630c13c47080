package engine_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/sim/baseline"
	"rowanlink/sim/engine"
	"rowanlink/webhook/api"
	"rowanlink/webhook/policy"
)

func TestInvariants_DetectFaultyPolicies(t *testing.T) {
	busy := engine.Fault{Kind: "lost", At: 3 * sec, Duration: 20 * sec, Busiest: 8, Magnitude: 0.4}
	full := engine.Fault{Kind: "shut", At: 3 * sec, Duration: 20 * sec, Busiest: 4}
	replace := engine.Fault{Kind: "replace", At: 5 * sec, Busiest: 8, SingleEndpoint: true}
	hang := engine.Fault{Kind: "hang", At: 5 * sec, Duration: 10 * sec, Busiest: 2}
	for rule, c := range map[string]struct {
		fault engine.Fault
		start engine.PolicyFactory
	}{
		"lost":  {busy, mutant(func(m *mutantPolicy) { m.dropsDeadLetters = true })},
		"twice": {busy, mutant(func(m *mutantPolicy) { m.outcome = neverRan })},
		"drain": {replace, mutant(func(m *mutantPolicy) { m.endpoints = allListed })},
		"order": {busy, mutant(func(m *mutantPolicy) { m.orderingKey = func(api.OrderingKey) api.OrderingKey { return 0 } })},
		"wait":  {full, mutant(func(m *mutantPolicy) { m.outcome = noWait })},
		"failback": {hang, func(f api.Settings, h api.Host) api.Policy {
			return baseline.New(f, h, f.MaxAttempts, baseline.NoBackoff)
		}},
	} {
		t.Run(rule, func(t *testing.T) {
			s := newScenario(c.fault)
			if rule == "failback" {
				s.Clients.Rate, s.Dispatchers.MaxConcurrentCalls = 400, 400
				s.EventTypes = s.EventTypes[:1]
			}
			checker, _, _ := run(t, s, c.start)
			require.Positive(t, checker.ViolationCount[rule], "%v", checker.ViolationCount)
			for _, b := range checker.Violations {
				if b.Invariant == rule {
					assert.Positive(t, b.At)
					assert.Positive(t, b.Webhook)
					assert.NotEmpty(t, b.History)
					assert.NotEmpty(t, b.Text)
					break
				}
			}
			checker, _, _ = run(t, s, newPolicy)
			assert.Empty(t, checker.ViolationCount, describe(checker.Violations))
		})
	}
}

func neverRan(what api.Outcome, wait api.Micros) (api.Outcome, api.Micros) {
	if what == api.TimedOut {
		what = api.ConnectFailed
	}
	return what, wait
}

func noWait(what api.Outcome, _ api.Micros) (api.Outcome, api.Micros) { return what, 0 }

func allListed(list []api.EndpointEntry) (all []api.EndpointEntry) {
	for _, e := range list {
		e.Status = api.EndpointActive
		all = append(all, e)
	}
	return all
}

func TestClaims_FailForPoliciesWithoutThem(t *testing.T) {
	chance := engine.Fault{Kind: "errors", At: 0, Duration: 30 * sec, Busiest: 8, Magnitude: 0.15}
	hang := engine.Fault{Kind: "hang", At: 5 * sec, Duration: 20 * sec, Busiest: 1}
	fails := engine.Fault{Kind: "errors", At: 3 * sec, Duration: 27 * sec, Busiest: 1, Magnitude: 1}
	slowly := engine.Fault{Kind: "slow", At: 3 * sec, Duration: 27 * sec, Busiest: 1, Magnitude: 12}
	for claim, c := range map[string]struct {
		faults []engine.Fault
		waits  baseline.Backoff
	}{
		"backoff":  {[]engine.Fault{chance}, baseline.NoBackoff},
		"jitter":   {[]engine.Fault{chance}, baseline.ExponentialBackoff},
		"dest_cap": {[]engine.Fault{hang}, baseline.ExponentialBackoff},
		"isolates": {[]engine.Fault{fails, slowly}, baseline.ExponentialBackoff},
	} {
		t.Run(claim, func(t *testing.T) {
			s := newScenario(c.faults...)
			s.EventTypes = s.EventTypes[:1]
			s.DestinationKinds[0].Headroom = 8
			without := func(f api.Settings, h api.Host) api.Policy {
				return baseline.New(f, h, f.MaxAttempts, c.waits)
			}
			for _, start := range []engine.PolicyFactory{without, newPolicy} {
				checker, _, _ := run(t, s, start)
				for _, got := range checker.Claims() {
					if got.Name == claim {
						assert.True(t, got.Conclusive, got.Text)
						assert.Equal(t, got.Holds, isModule(start), got.Text)
					}
				}
			}
		})
	}
}

func isModule(start engine.PolicyFactory) bool {
	f := api.Settings{EventTypes: []api.EventType{{TTL: 1, LatencyTarget: 1}}}
	_, ok := start(f, idle{}).(*policy.Policy)
	return ok
}
