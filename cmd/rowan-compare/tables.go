package main

import (
	"fmt"
	"io"
	"math"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// minShownDifference is the least difference of a figure that the tables show.
const minShownDifference = 0.0005

// writeTables writes, for each variant but the first, a table of the paired differences from it. Errors of writing are
// ignored: the output is for a person.
func writeTables(out io.Writer, variants []*variant, results []benchResult) {
	for _, result := range results {
		if result.err != nil {
			_, _ = fmt.Fprintf(out, "no result: %s: %v\n", result.name(), result.err)
		} else if failure := result.report.failureText(); failure != "" {
			_, _ = fmt.Fprintf(out, "%s: %s\n", result.name(), failure)
		}
	}
	for _, other := range variants[min(1, len(variants)):] {
		_, _ = fmt.Fprintf(out, "\n%s against %s\n", other.name, variants[0].name)
		writeDifferences(out, variants[0], other, results)
	}
	writeMeans(out, variants, results)
}

// pairKey is what two runs that are compared have in common.
type pairKey struct {
	site, day string
	seed      int
}

// pairKey returns the key of a run.
func (p *benchRun) pairKey() pairKey { return pairKey{site: p.site, day: p.day, seed: p.seed} }

// writeDifferences writes the mean differences of all figures and their standard errors, by day and over all.
func writeDifferences(out io.Writer, base, other *variant, results []benchResult) {
	baseReports := map[pairKey]*benchReport{}
	for index := range results {
		if r := &results[index]; r.variant == base {
			baseReports[r.pairKey()] = r.report
		}
	}
	table := newDifferenceTable()
	for index := range results {
		r := &results[index]
		former := baseReports[r.pairKey()]
		if r.variant == other && former != nil && r.report != nil {
			table.add(filepath.Base(r.site)+" "+filepath.Base(r.day), former, r.report)
			table.add("all", former, r.report)
		}
	}
	table.write(out)
}

// differenceTable holds the differences of each figure for each group of pairs.
type differenceTable struct {
	groups []string
	names  map[string][]string             // figures in order, by group
	values map[string]map[string][]float64 // by group and figure
}

func newDifferenceTable() *differenceTable {
	return &differenceTable{names: map[string][]string{}, values: map[string]map[string][]float64{}}
}

// add adds the differences of a pair of runs to a group.
func (d *differenceTable) add(group string, former, latter *benchReport) {
	if d.values[group] == nil {
		d.groups = append(d.groups, group)
		d.values[group] = map[string][]float64{}
	}
	before := map[string]float64{}
	for _, f := range former.figures() {
		before[f.name] = f.value
	}
	for _, f := range latter.figures() {
		if d.values[group][f.name] == nil {
			d.names[group] = append(d.names[group], f.name)
		}
		d.values[group][f.name] = append(d.values[group][f.name], f.value-before[f.name])
	}
}

// write writes the table.
func (d *differenceTable) write(out io.Writer) {
	table := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	for _, group := range d.groups {
		for _, name := range d.names[group] {
			values := d.values[group][name]
			mean := stat.Mean(values, nil)
			if math.Abs(mean) < minShownDifference && name != d.names[group][0] {
				continue
			}
			_, _ = fmt.Fprintf(table, "%s\t%s\t%+.4f\t+- %.4f\tof %d\n", strings.TrimSuffix(group, ".toml"), name, mean,
				standardError(values), len(values))
		}
	}
}

// standardError returns the standard error of the mean; NaN for a single value.
func standardError(values []float64) float64 {
	if len(values) < 2 {
		return math.NaN()
	}
	return stat.StdErr(stat.StdDev(values, nil), float64(len(values)))
}

// writeMeans writes each variant's mean value by day.
func writeMeans(out io.Writer, variants []*variant, results []benchResult) {
	table := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	_, _ = fmt.Fprintln(table)
	for _, of := range variants {
		means := map[string][]float64{}
		var order []string
		for _, r := range results {
			if r.variant != of || r.report == nil {
				continue
			}
			group := filepath.Base(r.site) + " " + filepath.Base(r.day)
			if means[group] == nil {
				order = append(order, group)
			}
			means[group] = append(means[group], r.report.Value)
		}
		for _, group := range order {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%.4f\n", of.name, group, stat.Mean(means[group], nil))
		}
	}
}
