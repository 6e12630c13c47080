package experiment

import (
	"fmt"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"

	"rowanlink/sim/engine"
	"rowanlink/sim/invariant"
)

// EvenShares is the mode without ownership, in which each dispatcher has an even share of each rate. The other modes are
// named by the cost of a message between dispatchers: its delay, relative to that to an endpoint, and the loss.
const EvenShares = "even parts"

func ownershipMode(h engine.Ownership) string {
	return fmt.Sprintf("homes, hop %g, lost %g%%", h.HopFactor, 100*h.LossRate)
}

// OwnershipResult is the result of one mode at one point of a sweep, over its seeds: means, but for the maxima MaxLoad and
// LongestGap, and counts. Difference is that of the value from even shares, paired by seed, with the 95% interval.
type OwnershipResult struct {
	Scenario     string         `json:"Scenario"`
	Dispatchers  int            `json:"Dispatchers"`
	Mode         string         `json:"Way"`
	Seeds        int            `json:"Seeds"`
	Value        float64        `json:"Value"`
	Difference   float64        `json:"Lead"`
	Low          float64        `json:"Low"`
	High         float64        `json:"Top"`
	CallsRefused float64        `json:"Refused"` // share of the calls
	P50          float64        `json:"P50"`     // s
	P99          float64        `json:"P99"`
	Collapsed    float64        `json:"Fell"`   // destinations pushed over, a run
	RunsViolated int            `json:"Broken"` // runs in which a rule was
	Invariants   map[string]int `json:"Rules"`
	Unfinished   int            `json:"Unended"`
	invariant.ClusterSummary
}

// CompareOwnership runs each point of a sweep in each mode, in parallel. free adds the mode with ownership and messages
// without delay or loss. onRun is called after each run.
func (s *Sweep) CompareOwnership(points []gridPoint, free bool, onRun func()) ([]OwnershipResult, error) {
	modes := 2
	if free {
		modes = 3
	}
	for _, p := range points {
		if p.scenario.Ownership.LeaseTTL == 0 {
			return nil, fmt.Errorf("%s has no table homes: there is nothing to compare", s.Base)
		}
	}
	runs := make([]ownershipRun, len(points)*modes)
	Parallel(runtime.GOMAXPROCS(0), len(runs), func(i int) {
		defer onRun()
		runs[i] = runOwnership(points[i/modes].scenario, i%modes)
	})
	var all []OwnershipResult
	for first := 0; first < len(points); first += len(s.Seeds) { // seeds vary fastest
		for mode := range modes {
			var ofMode, evenShares []ownershipRun
			for seed := range s.Seeds {
				at := (first + seed) * modes
				ofMode = append(ofMode, runs[at+mode])
				evenShares = append(evenShares, runs[at])
			}
			all = append(all, newOwnershipResult(points[first].scenario, mode, ofMode, evenShares))
		}
	}
	return all, nil
}

// ownershipRun is one run of a comparison.
type ownershipRun struct {
	result  *Result
	cluster invariant.ClusterSummary
}

func runOwnership(s *engine.Scenario, mode int) ownershipRun {
	run := *s
	run.Ownership = ownershipFor(run.Ownership, mode)
	recorder := invariant.NewClusterRecorder(ThresholdsOf(&run))
	result := RunWith(&run, policyFactories[DefaultPolicy], false, recorder)
	return ownershipRun{result, recorder.Finish()}
}

// newOwnershipResult sums up the runs of a mode, paired with those without ownership.
func newOwnershipResult(s *engine.Scenario, mode int, runs, evenShares []ownershipRun) OwnershipResult {
	summary := OwnershipResult{
		Scenario:    s.Name,
		Seeds:       len(runs),
		Mode:        EvenShares,
		Dispatchers: s.Dispatchers.Count,
		Invariants:  map[string]int{},
	}
	if mode > 0 {
		summary.Mode = ownershipMode(ownershipFor(s.Ownership, mode))
	}
	var differences []float64
	for i, run := range runs {
		differences = append(differences, run.result.Value-evenShares[i].result.Value)
		summary.add(run.result, run.cluster)
	}
	summary.divideBy(float64(len(runs)))
	summary.Difference = stat.Mean(differences, nil)
	if mode > 0 {
		summary.Low, summary.High = bootstrapInterval(differences)
	}
	return summary
}

// ownershipFor returns a scenario's ownership in a mode: none, its own, or with free messages.
func ownershipFor(h engine.Ownership, mode int) engine.Ownership {
	switch mode {
	case 0:
		return engine.Ownership{}
	case 2:
		h.HopFactor, h.LossRate = 0, 0
	}
	return h
}

// add adds a run to the sums, of which divideBy makes means.
func (s *OwnershipResult) add(r *Result, t invariant.ClusterSummary) {
	s.Value += r.Value
	s.CallsRefused += float64(r.CallsRefused) / float64(max(r.Calls, 1))
	s.P50 += r.P50
	s.P99 += r.P99
	s.Collapsed += float64(r.Collapsed)
	s.Unfinished += r.Unfinished
	if r.Violated() {
		s.RunsViolated++
	}
	for name := range r.Violations {
		s.Invariants[name]++
	}
	s.MeanLoad += t.MeanLoad
	s.MaxLoad = max(s.MaxLoad, t.MaxLoad)
	s.LongestGap = max(s.LongestGap, t.LongestGap)
	s.CallsDuringOutage += t.CallsDuringOutage
	s.CallersDuringOutage += t.CallersDuringOutage
	s.Returns += t.Returns
	s.Handoffs += t.Handoffs
	s.HandoffP50 += t.HandoffP50
	s.HandoffP99 += t.HandoffP99
}

func (s *OwnershipResult) divideBy(n float64) {
	for _, sum := range []*float64{&s.Value, &s.CallsRefused, &s.P50, &s.P99, &s.Collapsed, &s.MeanLoad, &s.CallsDuringOutage,
		&s.CallersDuringOutage, &s.HandoffP50, &s.HandoffP99} {
		*sum /= n
	}
}

// OwnershipTable returns the results of CompareOwnership as a table in Markdown.
func OwnershipTable(all []OwnershipResult) string {
	var b strings.Builder
	b.WriteString("| day | dispatchers | | value | lead | calls refused | sent on return, mean and worst | " +
		"calls while out, from | longest silence | p50 | p99 | hop p50, p99 | pushed over | " +
		"runs with a rule broken |\n")
	b.WriteString("|" + strings.Repeat(" --- |", 14) + "\n")
	for i := range all {
		b.WriteString("| " + strings.Join(all[i].cells(), " | ") + " |\n")
	}
	return b.String()
}

// cells returns the cells of a result's row. What doesn't apply is empty.
func (s *OwnershipResult) cells() []string {
	difference, load, callsDuringOutage, gap, handoffs := "", "", "", "", ""
	if s.Mode != EvenShares {
		difference = fmt.Sprintf("%+.3f (%.3f to %.3f)", s.Difference, s.Low, s.High)
	}
	if s.Returns > 0 {
		load = fmt.Sprintf("%.2f, %.2f", s.MeanLoad, s.MaxLoad)
		callsDuringOutage = fmt.Sprintf("%.1f, %.1f", s.CallsDuringOutage, s.CallersDuringOutage)
	}
	if s.LongestGap > 0 {
		gap = fmt.Sprintf("%.1f s", s.LongestGap)
	}
	if s.Handoffs > 0 {
		handoffs = fmt.Sprintf("%.0f, %.0f ms", s.HandoffP50*1000, s.HandoffP99*1000)
	}
	return []string{
		s.Scenario,
		strconv.Itoa(s.Dispatchers),
		s.Mode,
		fmt.Sprintf("%.4f", s.Value),
		difference,
		fmt.Sprintf("%.1f%%", 100*s.CallsRefused),
		load,
		callsDuringOutage,
		gap,
		fmt.Sprintf("%.2f s", s.P50),
		fmt.Sprintf("%.1f s", s.P99),
		handoffs,
		fmt.Sprintf("%.1f", s.Collapsed),
		s.violations(),
	}
}

// violations is the number of runs with a violation and the invariants violated.
func (s *OwnershipResult) violations() string {
	text := strconv.Itoa(s.RunsViolated)
	for _, name := range invariant.Names {
		if s.Invariants[name] > 0 {
			text += " " + name
		}
	}
	return text
}

// SaveOwnership writes the results and a manifest.
func SaveOwnership(dir string, s *Sweep, points []gridPoint, all []OwnershipResult) error {
	if err := writeJSON(filepath.Join(dir, s.Base+".json"), all); err != nil {
		return err
	}
	return writeJSON(filepath.Join(dir, "manifest.json"),
		newManifest(points[0].scenario, []string{DefaultPolicy}, s.Seeds))
}
