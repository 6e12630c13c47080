package experiment

import (
	"encoding/json"
	"fmt"
	"io"
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

// DefaultPolicy is the name of the decision policy, package policy.
const DefaultPolicy = "module"

// policyFactories are the policies by name. All but the default one are for comparison only.
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

// Policies returns the names of the policies, the default one first.
func Policies() []string {
	names := slices.Sorted(maps.Keys(policyFactories))
	return slices.Insert(slices.DeleteFunc(names, func(n string) bool { return n == DefaultPolicy }), 0, DefaultPolicy)
}

// Result is the result of a run. All but Cost is the same each time.
type Result struct {
	Scenario        string            `json:"scenario"`
	Policy          string            `json:"policy"`
	Seed            uint64            `json:"seed"`
	EndedAt         float64           `json:"ended_s"` // in simulated time
	Events          int               `json:"events"`
	PeakQueueLength int               `json:"peak_events"` // in the queue at once
	Violations      map[string]int    `json:"broken"`
	Claims          []invariant.Claim `json:"claims"`
	invariant.Summary
	FirstViolations []invariant.Violation `json:"breaches,omitempty"`
	Cost            *Cost                 `json:"cost,omitempty"`

	recorder *invariant.Recorder
}

// Cost is what a run took on this machine, if it was measured.
type Cost struct {
	WallSeconds       float64 `json:"wall_s"`
	PolicySeconds     float64 `json:"module_s"`
	EventsPerSecond   float64 `json:"events_per_s"`
	WebhooksPerSecond float64 `json:"webhooks_per_s"`
	HeapMB            float64 `json:"heap_mb"` // of memory obtained from the system
}

// Violated reports whether any invariant was violated.
func (r *Result) Violated() bool { return len(r.Violations) > 0 }

// ThresholdsOf returns what the runs of a scenario are checked against.
func ThresholdsOf(s *engine.Scenario) invariant.Thresholds {
	// An attempt that times out at the deadline ends in the next iteration, and the webhook is finished in time.
	grace := 3*api.Micros(s.Dispatchers.MinIterationInterval) + api.Second/20
	return invariant.Thresholds{
		Settings:    s.DispatcherSettings(0, 0),
		DrainGrace:  api.Micros(s.Thresholds.DrainGrace),
		AnswerGrace: grace,
	}
}

// NewPolicyFactory returns the factory of the policy with a name.
func NewPolicyFactory(policy string) (engine.PolicyFactory, error) {
	newPolicy, ok := policyFactories[policy]
	if !ok {
		return nil, fmt.Errorf("no policy is called %q: there are %s", policy, strings.Join(Policies(), ", "))
	}
	return newPolicy, nil
}

// Run runs a scenario under the policy with a name.
func Run(s *engine.Scenario, policy string, measured bool) (*Result, error) {
	newPolicy, err := NewPolicyFactory(policy)
	if err != nil {
		return nil, err
	}
	r := RunWith(s, newPolicy, measured)
	r.Policy = policy
	return r, nil
}

// RunWith runs a scenario under any policy, with further observers.
func RunWith(s *engine.Scenario, newPolicy engine.PolicyFactory, measured bool, observers ...event.Observer) *Result {
	m := engine.New(s, newPolicy)
	m.MeasurePolicyTime = measured
	checker, recorder := invariant.NewChecker(ThresholdsOf(s)), invariant.NewRecorder(ThresholdsOf(s))
	checker.Subscribe(&m.Bus)
	m.Bus.Subscribe(recorder)
	m.Bus.Subscribe(observers...)
	startedAt := time.Now()
	ended := m.Run()
	checker.Finish(ended)
	r := &Result{
		Scenario:        s.Name,
		Seed:            s.Seed,
		EndedAt:         ended.Seconds(),
		Events:          m.EventCount,
		PeakQueueLength: m.PeakQueueLength,
		Violations:      checker.ViolationCount,
		Claims:          checker.Claims(),
		Summary:         recorder.Finish(),
		FirstViolations: checker.Violations,
		recorder:        recorder,
	}
	if measured {
		r.Cost = newCost(m, r, time.Since(startedAt))
	}
	return r
}

func newCost(m *engine.Simulation, r *Result, elapsed time.Duration) *Cost {
	wall := elapsed.Seconds()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return &Cost{
		WallSeconds:       wall,
		PolicySeconds:     m.PolicyTime.Seconds(),
		EventsPerSecond:   float64(m.EventCount) / wall,
		WebhooksPerSecond: float64(r.Offered) / wall,
		HeapMB:            float64(memory.Sys-memory.HeapReleased) / 1e6,
	}
}

// manifest tells what results were made from.
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

// Save writes the folder of a run: the scenario, a manifest, the summary and the tables.
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
	for name, write := range map[string]func(io.Writer) error{
		"seconds.csv":      r.recorder.WriteSeconds,
		"destinations.csv": r.recorder.WriteDestinations,
		"cold.csv":         r.recorder.WriteWarmupLoads,
	} {
		if err := writeFile(filepath.Join(dir, name), write); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// writeFile creates a file and returns the first error, that of closing it too.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	err = write(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

func writeJSON(path string, what any) error {
	text, err := json.MarshalIndent(what, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
