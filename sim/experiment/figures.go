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
func runFigures(dir string) (all []figure, err error) {
	t, err := readTable(filepath.Join(dir, "seconds.csv"))
	if err != nil {
		return nil, err
	}
	by := func(cols ...string) (lines []series) {
		for _, c := range cols {
			s := series{name: c}
			for i := range t.rowCount {
				s.points = append(s.points, plotter.XY{X: t.number("second", i), Y: t.number(c, i)})
			}
			lines = append(lines, s)
		}
		return lines
	}
	add := func(p figure, failed error) {
		all = append(all, p)
		err = errors.Join(err, failed)
	}
	add(lineChart("ends", "Webhooks by second", "s", "webhooks a second",
		by("offered", "in_time", "late", "rejected", "dead_lettered", "died")...))
	add(lineChart("latency", "Latency of what was delivered in that second", "s", "s", by("p50_s", "p99_s")...))
	add(lineChart("calls", "Calls by second", "s", "calls", by("calls", "refused", "connected", "out")...))
	d, failed := readTable(filepath.Join(dir, "destinations.csv"))
	if failed != nil {
		return nil, failed
	}
	add(destinationChart(d))
	cold, failed := readTable(filepath.Join(dir, "cold.csv"))
	if failed != nil {
		return nil, failed
	}
	if cold.rowCount > 0 {
		add(warmupChart(cold))
	}
	return all, err
}

// destinationChart shows the calls, the refused ones and the most active ones of the busiest destinations.
func destinationChart(t *table) (figure, error) {
	order := make([]int, t.rowCount)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return int(t.number("calls", b) - t.number("calls", a)) })
	order = order[:min(len(order), maxDestinations)]
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "destination, the busiest first", "calls"
	p.Legend.Top = true
	var names []string
	cols := []string{"calls", "refused", "out"}
	values := make([]plotter.Values, len(cols))
	for _, row := range order {
		names = append(names, t.cells["destination"][row])
		for c, col := range cols {
			values[c] = append(values[c], t.number(col, row))
		}
	}
	if len(order) > 0 {
		width := vg.Points(10)
		for c, col := range cols {
			bars, err := plotter.NewBarChart(values[c], width)
			if err != nil {
				return figure{}, err
			}
			bars.Color, bars.Offset = plotutil.Color(c), width*vg.Length(c-1)
			bars.LineStyle.Width = 0
			p.Add(bars)
			p.Legend.Add(map[string]string{"out": "out at once, from one dispatcher"}[col]+
				map[string]string{"calls": "calls", "refused": "refused"}[col], bars)
		}
		p.NominalX(names...)
	}
	return figure{Name: "destinations", Title: "Calls out and refused, by destination", chart: p}, nil
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
