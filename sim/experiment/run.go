package experiment

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"rowanlink/sim/baseline"
	"rowanlink/sim/engine"
	"rowanlink/sim/event"
	"rowanlink/sim/invariant"
	"rowanlink/webhook/api"
	"rowanlink/webhook/policy"
)

// DefaultPolicy is the name of the decision module among policies.
const DefaultPolicy = "module"

// policyFactories are what a scenario can be played with. All but the module are for comparison only.
var policyFactories = map[string]engine.PolicyFactory{
	DefaultPolicy: func(f api.Settings, h api.Host) api.Policy { return policy.New(f, h) },
	"once":        func(f api.Settings, h api.Host) api.Policy { return baseline.New(f, h, 1, baseline.NoBackoff) },
	"eager": func(f api.Settings, h api.Host) api.Policy {
		return baseline.New(f, h, f.MaxAttempts, baseline.NoBackoff)
	},
	"exponential": func(f api.Settings, h api.Host) api.Policy {
		return baseline.New(f, h, f.MaxAttempts, baseline.ExponentialBackoff)
	},
}

// Policies are their names, the module first.
func Policies() []string {
	names := slices.Sorted(maps.Keys(policyFactories))
	return slices.Insert(slices.DeleteFunc(names, func(n string) bool { return n == DefaultPolicy }), 0, DefaultPolicy)
}

// Result is one run in figures. All but Cost is the same each time.
type Result struct {
	Scenario        string            `json:"scenario"`
	Policy          string            `json:"policy"`
	Seed            uint64            `json:"seed"`
	EndedAt         float64           `json:"ended_s"` // simulated
	Events          int               `json:"events"`
	PeakQueueLength int               `json:"peak_events"` // waiting at once
	Violations      map[string]int    `json:"broken"`
	Claims          []invariant.Claim `json:"claims"`
	invariant.Summary
	FirstViolations []invariant.Violation `json:"breaches,omitempty"`
	Cost            *Cost                 `json:"cost,omitempty"`

	recorder *invariant.Recorder
}

// Cost is what a run took on this machine; it is measured only where it is asked for.
type Cost struct {
	WallSeconds       float64 `json:"wall_s"`
	PolicySeconds     float64 `json:"module_s"`
	EventsPerSecond   float64 `json:"events_per_s"`
	WebhooksPerSecond float64 `json:"webhooks_per_s"`
	HeapMB            float64 `json:"heap_mb"` // taken from the system
}

// Violated tells whether any rule was.
func (r *Result) Violated() bool { return len(r.Violations) > 0 }

// ThresholdsOf are what observers hold a scenario's run to.
func ThresholdsOf(s *engine.Scenario) invariant.Thresholds {
	// A time-out at the TTL is told in the next turn, and the end that follows is in time.
	grace := 3*api.Micros(s.Dispatchers.MinIterationInterval) + api.Second/20
	return invariant.Thresholds{
		Settings:    s.DispatcherSettings(0, 0),
		DrainGrace:  api.Micros(s.Thresholds.DrainGrace),
		AnswerGrace: grace,
	}
}

// NewPolicyFactory is the policy of that name.
func NewPolicyFactory(policy string) (engine.PolicyFactory, error) {
	start, ok := policyFactories[policy]
	if !ok {
		return nil, fmt.Errorf("no policy is called %q: there are %s", policy, strings.Join(Policies(), ", "))
	}
	return start, nil
}

// Run runs a scenario with the named policy.
func Run(s *engine.Scenario, policy string, measured bool) (*Result, error) {
	start, err := NewPolicyFactory(policy)
	if err != nil {
		return nil, err
	}
	r := RunWith(s, start, measured)
	r.Policy = policy
	return r, nil
}

// RunWith runs a scenario with any module, under further observers where there are any.
func RunWith(s *engine.Scenario, start engine.PolicyFactory, measured bool, also ...event.Observer) *Result {
	m := engine.New(s, start)
	m.MeasurePolicyTime = measured
	watch, recorder := invariant.NewChecker(ThresholdsOf(s)), invariant.NewRecorder(ThresholdsOf(s))
	watch.Subscribe(&m.Bus)
	m.Bus.Subscribe(recorder)
	m.Bus.Subscribe(also...)
	began := time.Now()
	ended := m.Run()
	watch.Finish(ended)
	r := &Result{Scenario: s.Name, Seed: s.Seed, EndedAt: ended.Seconds(), Events: m.EventCount, PeakQueueLength: m.PeakQueueLength,
		Violations: watch.ViolationCount, Claims: watch.Claims(), Summary: recorder.Finish(), FirstViolations: watch.Violations,
		recorder: recorder}
	if measured {
		wall := time.Since(began).Seconds()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		r.Cost = &Cost{WallSeconds: wall, PolicySeconds: m.PolicyTime.Seconds(), EventsPerSecond: float64(m.EventCount) / wall,
			WebhooksPerSecond: float64(r.Offered) / wall, HeapMB: float64(mem.Sys-mem.HeapReleased) / 1e6}
	}
	return r
}

// manifest says what a folder of results was made from.
type manifest struct {
	Scenario string            `json:"scenario"`
	Policies []string          `json:"policies"`
	Seeds    []uint64          `json:"seeds"`
	Revision string            `json:"revision"`
	Go       string            `json:"go"`
	Modules  map[string]string `json:"modules"`
}

func newManifest(s *engine.Scenario, policies []string, seeds []uint64) manifest {
	m := manifest{Scenario: s.Name, Policies: policies, Seeds: seeds, Go: runtime.Version(),
		Modules: map[string]string{}}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, set := range info.Settings {
			switch set.Key {
			case "vcs.revision":
				m.Revision = set.Value + m.Revision
			case "vcs.modified":
				if set.Value == "true" {
					m.Revision += "+changes"
				}
			}
		}
		for _, d := range info.Deps {
			m.Modules[d.Path] = d.Version
		}
	}
	return m
}

// Save writes a run's folder: the scenario, a manifest, the summary and the tables.
func Save(dir string, s *engine.Scenario, r *Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := Marshal(s)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "scenario.toml"), text, 0o644); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(dir, "manifest.json"),
		newManifest(s, []string{r.Policy}, []uint64{s.Seed})); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(dir, "summary.json"), r); err != nil {
		return err
	}
	for name, write := range map[string]func(*os.File) error{
		"seconds.csv":      func(f *os.File) error { return r.recorder.WriteSeconds(f) },
		"destinations.csv": func(f *os.File) error { return r.recorder.WriteDestinations(f) },
		"cold.csv":         func(f *os.File) error { return r.recorder.WriteWarmupLoads(f) },
	} {
		f, err := os.Create(filepath.Join(dir, name))
		if err != nil {
			return err
		}
		err = write(f)
		if closed := f.Close(); err == nil {
			err = closed
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func writeJSON(path string, what any) error {
	text, err := json.MarshalIndent(what, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
