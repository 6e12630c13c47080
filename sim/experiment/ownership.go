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

// EvenShares is the way of sharing in which each dispatcher has an even part of each rate. The others have
// homes, and are named by what a hop to one costs: its time over that of a way to an endpoint, and what is
// lost.
const EvenShares = "even parts"

func ownershipMode(h engine.Ownership) string {
	return fmt.Sprintf("homes, hop %g, lost %g%%", h.HopFactor, 100*h.LossRate)
}

// OwnershipResult is one way of sharing at one point of a sweep, over its seeds: means, but for Worst, Silence and
// what is counted. Lead is its value over that of even parts, seed by seed, with the 95% interval.
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

// CompareOwnership plays each point of a sweep with each way of sharing, side by side. free adds the one that
// shows what hops cost.
func (s *Sweep) CompareOwnership(points []gridPoint, free bool, step func()) ([]OwnershipResult, error) {
	ways := 2
	if free {
		ways = 3
	}
	for _, p := range points {
		if p.scenario.Ownership.LeaseTTL == 0 {
			return nil, fmt.Errorf("%s has no table homes: there is nothing to compare", s.Base)
		}
	}
	results, seen := make([]*Result, len(points)*ways), make([]invariant.ClusterSummary, len(points)*ways)
	Parallel(runtime.GOMAXPROCS(0), len(results), func(i int) {
		defer step()
		run := *points[i/ways].scenario
		run.Ownership = ownershipFor(run.Ownership, i%ways)
		fleet := invariant.NewClusterRecorder(ThresholdsOf(&run))
		results[i] = RunWith(&run, policyFactories[DefaultPolicy], false, fleet)
		seen[i] = fleet.Finish()
	})
	var all []OwnershipResult
	for from := 0; from < len(points); from += len(s.Seeds) { // seeds run quickest
		for w := range ways {
			sh := OwnershipResult{Scenario: points[from].scenario.Name, Seeds: len(s.Seeds), Mode: EvenShares,
				Dispatchers: points[from].scenario.Dispatchers.Count, Invariants: map[string]int{}}
			if w > 0 {
				sh.Mode = ownershipMode(ownershipFor(points[from].scenario.Ownership, w))
			}
			var leads []float64
			for k := range s.Seeds {
				i := (from+k)*ways + w
				leads = append(leads, results[i].Value-results[i-w].Value)
				sh.add(results[i], seen[i])
			}
			sh.divideBy(float64(len(s.Seeds)))
			if sh.Difference = stat.Mean(leads, nil); w > 0 {
				sh.Low, sh.High = bootstrapInterval(leads)
			}
			all = append(all, sh)
		}
	}
	return all, nil
}

// ownershipFor is a scenario's homes by each way: none, as they are, with free hops.
func ownershipFor(h engine.Ownership, way int) engine.Ownership {
	switch way {
	case 0:
		return engine.Ownership{}
	case 2:
		h.HopFactor, h.LossRate = 0, 0
	}
	return h
}

func (s *OwnershipResult) add(r *Result, t invariant.ClusterSummary) {
	s.Value += r.Value
	s.CallsRefused += float64(r.CallsRefused) / float64(max(r.Calls, 1))
	s.P50, s.P99 = s.P50+r.P50, s.P99+r.P99
	s.Collapsed += float64(r.Collapsed)
	s.Unfinished += r.Unfinished
	if r.Violated() {
		s.RunsViolated++
	}
	for rule := range r.Violations {
		s.Invariants[rule]++
	}
	s.MeanLoad += t.MeanLoad
	s.MaxLoad, s.LongestGap = max(s.MaxLoad, t.MaxLoad), max(s.LongestGap, t.LongestGap)
	s.CallsDuringOutage, s.CallersDuringOutage = s.CallsDuringOutage+t.CallsDuringOutage, s.CallersDuringOutage+t.CallersDuringOutage
	s.Returns, s.Handoffs = s.Returns+t.Returns, s.Handoffs+t.Handoffs
	s.HandoffP50, s.HandoffP99 = s.HandoffP50+t.HandoffP50, s.HandoffP99+t.HandoffP99
}

func (s *OwnershipResult) divideBy(n float64) {
	for _, sum := range []*float64{&s.Value, &s.CallsRefused, &s.P50, &s.P99, &s.Collapsed, &s.MeanLoad, &s.CallsDuringOutage,
		&s.CallersDuringOutage, &s.HandoffP50, &s.HandoffP99} {
		*sum /= n
	}
}

// OwnershipTable is what CompareOwnership found, as the laboratory's page has it.
func OwnershipTable(all []OwnershipResult) string {
	var b strings.Builder
	b.WriteString("| day | dispatchers | | value | lead | calls refused | sent on return, mean and worst | " +
		"calls while out, from | longest silence | p50 | p99 | hop p50, p99 | pushed over | " +
		"runs with a rule broken |\n")
	b.WriteString("|" + strings.Repeat(" --- |", 14) + "\n")
	for _, s := range all {
		lead, back, out, silent, hop, broken := "", "", "", "", "", "0"
		if s.Mode != EvenShares {
			lead = fmt.Sprintf("%+.3f (%.3f to %.3f)", s.Difference, s.Low, s.High)
		}
		if s.Returns > 0 {
			back = fmt.Sprintf("%.2f, %.2f", s.MeanLoad, s.MaxLoad)
			out = fmt.Sprintf("%.1f, %.1f", s.CallsDuringOutage, s.CallersDuringOutage)
		}
		if s.LongestGap > 0 {
			silent = fmt.Sprintf("%.1f s", s.LongestGap)
		}
		if s.Handoffs > 0 {
			hop = fmt.Sprintf("%.0f, %.0f ms", s.HandoffP50*1000, s.HandoffP99*1000)
		}
		if s.RunsViolated > 0 {
			broken = strconv.Itoa(s.RunsViolated)
			for _, rule := range invariant.Names {
				if s.Invariants[rule] > 0 {
					broken += " " + rule
				}
			}
		}
		fmt.Fprintf(&b, "| %s | %d | %s | %.4f | %s | %.1f%% | %s | %s | %s | %.2f s | %.1f s | %s | %.1f | %s |\n",
			s.Scenario, s.Dispatchers, s.Mode, s.Value, lead, 100*s.CallsRefused, back, out, silent, s.P50, s.P99, hop,
			s.Collapsed, broken)
	}
	return b.String()
}

// SaveOwnership writes the table and what it was made from.
func SaveOwnership(dir string, s *Sweep, points []gridPoint, all []OwnershipResult) error {
	if err := writeJSON(filepath.Join(dir, s.Base+".json"), all); err != nil {
		return err
	}
	return writeJSON(filepath.Join(dir, "manifest.json"),
		newManifest(points[0].scenario, []string{DefaultPolicy}, s.Seeds))
}
