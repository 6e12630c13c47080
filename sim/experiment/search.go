package experiment

import (
	"fmt"
	"math/rand/v2"
	"runtime"

	"rowanlink/sim/engine"
)

// Search looks for the run that violates an invariant, or else loses the most value, among random variations of a
// scenario, and shrinks the scenario found.
type Search struct {
	NewPolicy engine.PolicyFactory
	Runs      int // to search with; shrinking makes up to as many
	Seed      uint64
	OnRun     func() // called after each run, also concurrently
}

// WorstCase is the result of a search: a scenario that repeats the worst run.
type WorstCase struct {
	Scenario    *engine.Scenario
	Invariant   string // that is violated, or empty
	Loss        float64
	Runs        int
	ShrinkSteps int
}

// keptLoss is the share of the loss found that a smaller scenario must still show.
const keptLoss = 0.9

// FindWorst searches. The same scenario, seed and policy give the same result.
func (h *Search) FindWorst(base *engine.Scenario) *WorstCase {
	random := rand.New(rand.NewPCG(h.Seed, 0))
	scenarios := make([]*engine.Scenario, h.Runs)
	for i := range scenarios {
		scenarios[i] = randomScenario(base, random)
	}
	results := make([]*Result, len(scenarios))
	Parallel(runtime.GOMAXPROCS(0), len(scenarios), func(i int) {
		results[i] = RunWith(scenarios[i], h.NewPolicy, false)
		h.OnRun()
	})
	worst := 0
	for i, r := range results {
		if isWorse(r, results[worst]) {
			worst = i
		}
	}
	found := &WorstCase{Scenario: scenarios[worst], Loss: 1 - results[worst].Value, Runs: h.Runs}
	if violated := violatedInvariants(results[worst]); len(violated) > 0 {
		found.Invariant = violated[0]
	}
	h.shrink(found)
	found.Scenario.Name = base.Name + "-found"
	found.Scenario.About = fmt.Sprintf("Found by hunt in %d runs: loss %.3f, rule broken: %q.", found.Runs, found.Loss,
		found.Invariant)
	return found
}

// isWorse ranks violations before losses.
func isWorse(a, b *Result) bool {
	if a.Violated() != b.Violated() {
		return a.Violated()
	}
	return a.Value < b.Value
}

// shrink removes what the worst case doesn't need, step by step.
func (h *Search) shrink(found *WorstCase) {
	remaining := h.Runs
	for h.shrinkOnce(found, &remaining) {
	}
}

// shrinkOnce takes the first smaller scenario that is still a worst case. It returns false if there is none, or if no runs
// remain.
func (h *Search) shrinkOnce(found *WorstCase, remaining *int) bool {
	for _, smaller := range smallerScenarios(found.Scenario) {
		*remaining--
		if *remaining < 0 {
			return false
		}
		smaller.ApplyDefaults()
		if smaller.Validate() != nil {
			continue
		}
		r := RunWith(smaller, h.NewPolicy, false)
		found.Runs++
		h.OnRun()
		if found.isShownBy(r) {
			found.take(smaller, r)
			return true
		}
	}
	return false
}

// isShownBy reports whether a run violates the same invariant, or loses about as much without any violation.
func (f *WorstCase) isShownBy(r *Result) bool {
	if f.Invariant != "" {
		return r.Violations[f.Invariant] > 0
	}
	return !r.Violated() && 1-r.Value >= keptLoss*f.Loss
}

func (f *WorstCase) take(smaller *engine.Scenario, r *Result) {
	f.Scenario = smaller
	f.ShrinkSteps++
	if f.Invariant == "" {
		f.Loss = max(f.Loss, 1-r.Value)
	} else {
		f.Loss = 1 - r.Value
	}
}
