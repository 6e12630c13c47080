package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
)

// amount is a named figure of a report: a part of the worth with its weight, or a price with what it is for. In the
// report it is a list of name, number and number.
type amount struct {
	name          string
	first, second float64
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *amount) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&a.name, &a.first, &a.second})
}

// report is what the bench reports of a day.
type report struct {
	Worth   float64        `json:"G"` // less prices
	Served  float64        `json:"served"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	Fault   any            `json:"fault"`
	Breaks  map[string]any `json:"breaks"`
	Missed  []any          `json:"missed"`
	Parts   []amount       `json:"parts"`  // weight, share
	Prices  []amount       `json:"prices"` // quantity, price
	Classes []struct {
		Name  string  `json:"name"`
		Worth float64 `json:"worth"`
	} `json:"classes"`
}

func readReport(file string) (*report, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	read := &report{}
	return read, errors.Wrapf(json.Unmarshal(text, read), "report %s", file)
}

// trouble names what would fail the day.
func (r *report) trouble() string {
	if len(r.Breaks) == 0 && r.Fault == nil {
		return ""
	}
	return fmt.Sprintf("BROKEN: %v %v", r.Breaks, r.Fault)
}

// figures are the numbers that variants are compared by, in the order in which they are shown.
func (r *report) figures() (figures []figure) {
	figures = append(figures, figure{"worth less prices", r.Worth})
	for _, part := range r.Parts {
		figures = append(figures, figure{part.name, part.second})
	}
	for _, class := range r.Classes {
		figures = append(figures, figure{class.Name, class.Worth})
	}
	for _, price := range r.Prices {
		figures = append(figures, figure{"price: " + price.name, price.second})
	}
	return append(figures, figure{"served", r.Served}, figure{"refused", r.Refused}, figure{"failed", r.Failed})
}

// figure is a number with its name.
type figure struct {
	name  string
	value float64
}

// leastShown is the least difference of a figure that the tables show.
const leastShown = 0.0005

// writeTables writes a table for each variant after the first, with the differences to it by pairs.
func writeTables(out io.Writer, variants []*variant, results []played) {
	for _, result := range results {
		if result.err != nil {
			fmt.Fprintf(out, "not played: %s: %v\n", result.name(), result.err)
		} else if trouble := result.report.trouble(); trouble != "" {
			fmt.Fprintf(out, "%s: %s\n", result.name(), trouble)
		}
	}
	for _, other := range variants[min(1, len(variants)):] {
		fmt.Fprintf(out, "\n%s against %s\n", other.name, variants[0].name)
		writeDifferences(out, variants[0], other, results)
	}
	writeMeans(out, variants, results)
}

// pairKey is what two plays that are compared have in common.
type pairKey struct {
	site, day string
	seed      int
}

// writeDifferences writes the mean differences of all figures, and their standard errors, by day and over all.
func writeDifferences(out io.Writer, base, other *variant, results []played) {
	played := map[pairKey]*report{}
	for index := range results {
		if r := &results[index]; r.variant == base {
			played[pairKey{r.site, r.day, r.seed}] = r.report
		}
	}
	table := newDifferences()
	for index := range results {
		r := &results[index]
		former := played[pairKey{r.site, r.day, r.seed}]
		if r.variant == other && former != nil && r.report != nil {
			table.add(filepath.Base(r.site)+" "+filepath.Base(r.day), former, r.report)
			table.add("all", former, r.report)
		}
	}
	table.write(out)
}

// differences holds the differences of each figure for each group of pairs.
type differences struct {
	groups []string
	names  map[string][]string             // figures in order, by group
	values map[string]map[string][]float64 // by group and figure
}

func newDifferences() *differences {
	return &differences{names: map[string][]string{}, values: map[string]map[string][]float64{}}
}

func (d *differences) add(group string, former, latter *report) {
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

func (d *differences) write(out io.Writer) {
	table := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	defer table.Flush()
	for _, group := range d.groups {
		for _, name := range d.names[group] {
			values := d.values[group][name]
			mean := stat.Mean(values, nil)
			if math.Abs(mean) < leastShown && name != d.names[group][0] {
				continue
			}
			fmt.Fprintf(table, "%s\t%s\t%+.4f\t+- %.4f\tof %d\n", strings.TrimSuffix(group, ".toml"), name, mean,
				standardError(values), len(values))
		}
	}
}

// standardError of the mean; of a single value it isn't known.
func standardError(values []float64) float64 {
	if len(values) < 2 {
		return math.NaN()
	}
	return stat.StdErr(stat.StdDev(values, nil), float64(len(values)))
}

// writeMeans writes each variant's mean worth by day.
func writeMeans(out io.Writer, variants []*variant, results []played) {
	table := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table)
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
			means[group] = append(means[group], r.report.Worth)
		}
		for _, group := range order {
			fmt.Fprintf(table, "%s\t%s\t%.4f\n", of.name, group, stat.Mean(means[group], nil))
		}
	}
}
