package experiment

import (
	"cmp"
	"errors"
	"html/template"
	"math"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// figure is one chart of a page.
type figure struct {
	Name, Title string
	SVG         template.HTML
	chart       *plot.Plot
}

// runFigures draws the tables of a run.
func runFigures(dir string) ([]figure, error) {
	seconds, err := readTable(filepath.Join(dir, "seconds.csv"))
	if err != nil {
		return nil, err
	}
	destinations, err := readTable(filepath.Join(dir, "destinations.csv"))
	if err != nil {
		return nil, err
	}
	warmup, err := readTable(filepath.Join(dir, "cold.csv"))
	if err != nil {
		return nil, err
	}
	outcomes, err1 := lineChart("ends", "Webhooks by second", "s", "webhooks a second",
		seconds.seriesOf("offered", "in_time", "late", "rejected", "dead_lettered", "died")...)
	latency, err2 := lineChart("latency", "Latency of what was delivered in that second", "s", "s",
		seconds.seriesOf("p50_s", "p99_s")...)
	calls, err3 := lineChart("calls", "Calls by second", "s", "calls",
		seconds.seriesOf("calls", "refused", "connected", "out")...)
	byDestination, err4 := destinationChart(destinations)
	all := []figure{outcomes, latency, calls, byDestination}
	err = errors.Join(err1, err2, err3, err4)
	if warmup.rowCount > 0 {
		f, warmupErr := warmupChart(warmup)
		all = append(all, f)
		err = errors.Join(err, warmupErr)
	}
	return all, err
}

// seriesOf returns columns of a table by second.
func (t *table) seriesOf(columns ...string) []series {
	var all []series
	for _, column := range columns {
		s := series{name: column}
		for i := range t.rowCount {
			s.points = append(s.points, plotter.XY{X: t.number("second", i), Y: t.number(column, i)})
		}
		all = append(all, s)
	}
	return all
}

// destinationChart shows the calls of the destinations with the most of them.
func destinationChart(t *table) (figure, error) {
	p := plot.New()
	p.X.Label.Text = "destination, the busiest first"
	p.Y.Label.Text = "calls"
	p.Legend.Top = true
	f := figure{Name: "destinations", Title: "Calls out and refused, by destination", chart: p}
	busiest := t.busiestDestinations()
	if len(busiest) == 0 {
		return f, nil
	}
	width := vg.Points(10)
	for i, column := range []struct{ name, label string }{
		{"calls", "calls"},
		{"refused", "refused"},
		{"out", "out at once, from one dispatcher"},
	} {
		var values plotter.Values
		for _, row := range busiest {
			values = append(values, t.number(column.name, row))
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return figure{}, err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = width * vg.Length(i-1)
		bars.LineStyle.Width = 0
		p.Add(bars)
		p.Legend.Add(column.label, bars)
	}
	var names []string
	for _, row := range busiest {
		names = append(names, t.cells["destination"][row])
	}
	p.NominalX(names...)
	return f, nil
}

// busiestDestinations returns the rows with the most calls.
func (t *table) busiestDestinations() []int {
	rows := make([]int, t.rowCount)
	for i := range rows {
		rows[i] = i
	}
	slices.SortStableFunc(rows, func(a, b int) int { return int(t.number("calls", b) - t.number("calls", a)) })
	return rows[:min(len(rows), maxDestinations)]
}

// warmupChart shows the load on routes in their slow start, over the limit beyond which they collapse.
func warmupChart(t *table) (figure, error) {
	byRoute := map[string]*series{}
	var order []string
	sum := map[string]float64{}
	for i := range t.rowCount {
		key := t.cells["route"][i]
		if byRoute[key] == nil {
			byRoute[key] = &series{name: "destination " + t.cells["destination"][i]}
			order = append(order, key)
		}
		byRoute[key].points = append(byRoute[key].points, plotter.XY{X: t.number("second", i),
			Y: t.number("came", i) / t.number("limit", i)})
		sum[key] += t.number("came", i)
	}
	slices.SortStableFunc(order, func(a, b string) int { return int(sum[b] - sum[a]) })
	var lines []series
	for _, key := range order[:min(len(order), maxRoutes)] {
		lines = append(lines, *byRoute[key])
	}
	first, last := t.number("second", 0), t.number("second", t.rowCount-1)
	lines = append(lines, series{"its limit", plotter.XYs{{X: first, Y: 1}, {X: last, Y: 1}}})
	return lineChart(
		"cold",
		"Load on cold destinations, over the limit beyond which they fall",
		"s",
		"load / limit",
		lines...)
}

// sweepFigures draws the value, the tail latency and the costs over the first axis, with a line for each policy and each
// point of the other axes. Seeds are averaged.
func sweepFigures(dir string) ([]figure, error) {
	t, err := readTable(filepath.Join(dir, "runs.csv"))
	if err != nil {
		return nil, err
	}
	axisCount := slices.Index(t.columns, "policy")
	if axisCount < 1 {
		return nil, errors.New("runs.csv has no axis to draw over")
	}
	columns := []string{"value", "p99_s"}
	for _, c := range costColumns {
		if slices.Contains(t.columns, c) {
			columns = append(columns, c)
		}
	}
	var all []figure
	var errs error
	for _, column := range columns {
		axis := t.columns[0]
		f, err := lineChart(column, column+" over "+axis, axis, column, t.meanSeries(column, axisCount)...)
		all = append(all, f)
		errs = errors.Join(errs, err)
	}
	return all, errs
}

type runningMean struct{ sum, count float64 }

// meanSeries returns the means of a column over the first axis, by policy and the other axes, in the order in which they
// appear.
func (t *table) meanSeries(column string, axisCount int) []series {
	means := map[string]map[float64]*runningMean{}
	var order []string
	for i := range t.rowCount {
		name := t.cells["policy"][i]
		for _, axis := range t.columns[1:axisCount] {
			name += ", " + t.cells[axis][i]
		}
		if means[name] == nil {
			means[name] = map[float64]*runningMean{}
			order = append(order, name)
		}
		x := t.number(t.columns[0], i)
		if math.IsNaN(x) { // not a number: by position
			x = float64(len(means[name]))
		}
		if means[name][x] == nil {
			means[name][x] = &runningMean{}
		}
		means[name][x].sum += t.number(column, i)
		means[name][x].count++
	}
	var lines []series
	for _, name := range order {
		line := series{name: name}
		for x, m := range means[name] {
			line.points = append(line.points, plotter.XY{X: x, Y: m.sum / m.count})
		}
		slices.SortFunc(line.points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
		lines = append(lines, line)
	}
	return lines
}
