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

// EvenParts is the way of sharing in which each dispatcher has an even part of each rate. The others have
// homes, and are named by what a hop to one costs: its time over that of a way to an endpoint, and what is
// lost.
const EvenParts = "even parts"

func homesBy(h engine.Ownership) string {
	return fmt.Sprintf("homes, hop %g, lost %g%%", h.HopFactor, 100*h.LossRate)
}

// Shared is one way of sharing at one point of a sweep, over its seeds: means, but for Worst, Silence and
// what is counted. Lead is its value over that of even parts, seed by seed, with the 95% interval.
type Shared struct {
	Scenario       string
	Dispatchers    int
	Way            string
	Seeds          int
	Value          float64
	Lead, Low, Top float64
	Refused        float64 // share of the calls
	P50, P99       float64 // s
	Fell           float64 // destinations pushed over, a run
	Broken         int     // runs in which a rule was
	Rules          map[string]int
	Unended        int
	invariant.ClusterSummary
}

// CompareHomes plays each point of a sweep with each way of sharing, side by side. free adds the one that
// shows what hops cost.
func (s *Sweep) CompareHomes(points []point, free bool, step func()) ([]Shared, error) {
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
		run.Ownership = sharing(run.Ownership, i%ways)
		fleet := invariant.NewClusterRecorder(Terms(&run))
		results[i] = PlayWith(&run, policies[Module], false, fleet)
		seen[i] = fleet.Finish()
	})
	var all []Shared
	for from := 0; from < len(points); from += len(s.Seeds) { // seeds run quickest
		for w := range ways {
			sh := Shared{Scenario: points[from].scenario.Name, Seeds: len(s.Seeds), Way: EvenParts,
				Dispatchers: points[from].scenario.Dispatchers.Count, Rules: map[string]int{}}
			if w > 0 {
				sh.Way = homesBy(sharing(points[from].scenario.Ownership, w))
			}
			var leads []float64
			for k := range s.Seeds {
				i := (from+k)*ways + w
				leads = append(leads, results[i].Value-results[i-w].Value)
				sh.add(results[i], seen[i])
			}
			sh.mean(float64(len(s.Seeds)))
			if sh.Lead = stat.Mean(leads, nil); w > 0 {
				sh.Low, sh.Top = interval(leads)
			}
			all = append(all, sh)
		}
	}
	return all, nil
}

// sharing is a scenario's homes by each way: none, as they are, with free hops.
func sharing(h engine.Ownership, way int) engine.Ownership {
	switch way {
	case 0:
		return engine.Ownership{}
	case 2:
		h.HopFactor, h.LossRate = 0, 0
	}
	return h
}

func (s *Shared) add(r *Result, t invariant.ClusterSummary) {
	s.Value += r.Value
	s.Refused += float64(r.CallsRefused) / float64(max(r.Calls, 1))
	s.P50, s.P99 = s.P50+r.P50, s.P99+r.P99
	s.Fell += float64(r.Collapsed)
	s.Unended += r.Unfinished
	if r.RulesBroken() {
		s.Broken++
	}
	for rule := range r.Broken {
		s.Rules[rule]++
	}
	s.Load += t.Load
	s.Worst, s.Silence = max(s.Worst, t.Worst), max(s.Silence, t.Silence)
	s.WhileOut, s.Callers = s.WhileOut+t.WhileOut, s.Callers+t.Callers
	s.Returns, s.Handed = s.Returns+t.Returns, s.Handed+t.Handed
	s.Hop50, s.Hop99 = s.Hop50+t.Hop50, s.Hop99+t.Hop99
}

func (s *Shared) mean(n float64) {
	for _, sum := range []*float64{&s.Value, &s.Refused, &s.P50, &s.P99, &s.Fell, &s.Load, &s.WhileOut,
		&s.Callers, &s.Hop50, &s.Hop99} {
		*sum /= n
	}
}

// HomesTable is what CompareHomes found, as the laboratory's page has it.
func HomesTable(all []Shared) string {
	var b strings.Builder
	b.WriteString("| day | dispatchers | | value | lead | calls refused | sent on return, mean and worst | " +
		"calls while out, from | longest silence | p50 | p99 | hop p50, p99 | pushed over | " +
		"runs with a rule broken |\n")
	b.WriteString("|" + strings.Repeat(" --- |", 14) + "\n")
	for _, s := range all {
		lead, back, out, silent, hop, broken := "", "", "", "", "", "0"
		if s.Way != EvenParts {
			lead = fmt.Sprintf("%+.3f (%.3f to %.3f)", s.Lead, s.Low, s.Top)
		}
		if s.Returns > 0 {
			back = fmt.Sprintf("%.2f, %.2f", s.Load, s.Worst)
			out = fmt.Sprintf("%.1f, %.1f", s.WhileOut, s.Callers)
		}
		if s.Silence > 0 {
			silent = fmt.Sprintf("%.1f s", s.Silence)
		}
		if s.Handed > 0 {
			hop = fmt.Sprintf("%.0f, %.0f ms", s.Hop50*1000, s.Hop99*1000)
		}
		if s.Broken > 0 {
			broken = strconv.Itoa(s.Broken)
			for _, rule := range invariant.Names {
				if s.Rules[rule] > 0 {
					broken += " " + rule
				}
			}
		}
		fmt.Fprintf(&b, "| %s | %d | %s | %.4f | %s | %.1f%% | %s | %s | %s | %.2f s | %.1f s | %s | %.1f | %s |\n",
			s.Scenario, s.Dispatchers, s.Way, s.Value, lead, 100*s.Refused, back, out, silent, s.P50, s.P99, hop,
			s.Fell, broken)
	}
	return b.String()
}

// SaveHomes writes the table and what it was made from.
func SaveHomes(dir string, s *Sweep, points []point, all []Shared) error {
	if err := writeJSON(filepath.Join(dir, s.Base+".json"), all); err != nil {
		return err
	}
	return writeJSON(filepath.Join(dir, "manifest.json"),
		newManifest(points[0].scenario, []string{Module}, s.Seeds))
}
