package lab

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	// Formats that plot.WriterTo draws in.
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "gonum.org/v1/plot/vg/vgsvg"
)

const (
	chartWide, chartHigh = 22 * vg.Centimeter, 9 * vg.Centimeter
	busiestShown         = 12
	coldShown            = 6
)

// table is a CSV read back, by column.
type table struct {
	names []string
	cols  map[string][]string
	rows  int
}

func readTable(path string) (*table, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil || len(rows) == 0 {
		return nil, fmt.Errorf("%s is no table: %w", path, errors.Join(err, errEmpty))
	}
	t := &table{names: rows[0], cols: map[string][]string{}, rows: len(rows) - 1}
	for _, row := range rows[1:] {
		for i, cell := range row {
			t.cols[rows[0][i]] = append(t.cols[rows[0][i]], cell)
		}
	}
	return t, nil
}

var errEmpty = errors.New("it has no head")

func (t *table) number(col string, row int) float64 {
	x, err := strconv.ParseFloat(t.cols[col][row], 64)
	if err != nil {
		return math.NaN()
	}
	return x
}

// line is a named series of points.
type series struct {
	name string
	at   plotter.XYs
}

// picture is one chart of a page.
type picture struct {
	Name, Title string
	SVG         template.HTML
	plot        *plot.Plot
}

// Plot draws the charts of a folder that run or sweep wrote, as SVG and PNG beside the tables, and
// page.html, which holds them all and needs nothing else. It returns what it wrote.
func Plot(dir string) ([]string, error) {
	var all []picture
	title, about := filepath.Base(dir), ""
	if _, err := os.Stat(filepath.Join(dir, "runs.csv")); err == nil {
		pictures, err := sweepPictures(dir)
		if err != nil {
			return nil, err
		}
		all = pictures
	} else if errors.Is(err, fs.ErrNotExist) {
		pictures, err := runPictures(dir)
		if err != nil {
			return nil, fmt.Errorf("%s holds neither a run nor a sweep: %w", dir, err)
		}
		all = pictures
		s, err := Load(filepath.Join(dir, "scenario.toml"))
		if err != nil {
			return nil, err
		}
		title, about = s.Name, s.About
	}
	var written []string
	for i := range all {
		for _, format := range []string{"svg", "png"} {
			w, err := all[i].plot.WriterTo(chartWide, chartHigh, format)
			if err != nil {
				return nil, err
			}
			var b bytes.Buffer
			if _, err := w.WriteTo(&b); err != nil {
				return nil, err
			}
			path := filepath.Join(dir, all[i].Name+"."+format)
			if err := os.WriteFile(path, b.Bytes(), 0o644); err != nil {
				return nil, err
			}
			written = append(written, path)
			if format == "svg" {
				_, body, _ := bytes.Cut(b.Bytes(), []byte("<svg"))
				all[i].SVG = template.HTML("<svg" + string(body)) // #nosec: our own drawing
			}
		}
	}
	summary, err := os.ReadFile(filepath.Join(dir, "summary.json"))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	var figures map[string]any
	if len(summary) > 0 {
		if err := json.Unmarshal(summary, &figures); err != nil {
			return nil, err
		}
		delete(figures, "claims")
		delete(figures, "breaches")
	}
	var b bytes.Buffer
	if err := page.Execute(&b, map[string]any{"Title": title, "About": about, "Figures": figures,
		"Pictures": all}); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "page.html")
	return append(written, path), os.WriteFile(path, b.Bytes(), 0o644)
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto;padding:0 1em;color:#222}
svg{width:100%;height:auto}table{border-collapse:collapse}
td{padding:.1em 1em .1em 0;border-bottom:1px solid #ddd}
h2{margin-top:2em;font-size:1.1em}</style>
<h1>{{.Title}}</h1><p>{{.About}}</p>
{{with .Figures}}<table>
{{range $name, $value := .}}<tr><td>{{$name}}</td><td>{{$value}}</td></tr>{{end}}</table>{{end}}
{{range .Pictures}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
</html>
`))

func chart(name, title, x, y string, lines ...series) (picture, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range lines {
		if len(s.at) == 0 {
			continue
		}
		l, err := plotter.NewLine(s.at)
		if err != nil {
			return picture{}, fmt.Errorf("%s: %w", name, err)
		}
		l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
		l.Width = vg.Points(1.2)
		p.Add(l)
		p.Legend.Add(s.name, l)
	}
	p.Y.Min = min(p.Y.Min, 0)
	return picture{Name: name, Title: title, plot: p}, nil
}

func runPictures(dir string) (all []picture, err error) {
	t, err := readTable(filepath.Join(dir, "seconds.csv"))
	if err != nil {
		return nil, err
	}
	by := func(cols ...string) (lines []series) {
		for _, c := range cols {
			s := series{name: c}
			for i := range t.rows {
				s.at = append(s.at, plotter.XY{X: t.number("second", i), Y: t.number(c, i)})
			}
			lines = append(lines, s)
		}
		return lines
	}
	add := func(p picture, failed error) {
		all = append(all, p)
		err = errors.Join(err, failed)
	}
	add(chart("ends", "Webhooks by second", "s", "webhooks a second",
		by("offered", "in_time", "late", "rejected", "dead_lettered", "died")...))
	add(chart("latency", "Latency of what was delivered in that second", "s", "s", by("p50_s", "p99_s")...))
	add(chart("calls", "Calls by second", "s", "calls", by("calls", "refused", "connected", "out")...))
	d, failed := readTable(filepath.Join(dir, "destinations.csv"))
	if failed != nil {
		return nil, failed
	}
	add(destinationChart(d))
	cold, failed := readTable(filepath.Join(dir, "cold.csv"))
	if failed != nil {
		return nil, failed
	}
	if cold.rows > 0 {
		add(coldChart(cold))
	}
	return all, err
}

// destinationChart shows the busiest destinations side by side: calls out at most, and what was refused.
func destinationChart(t *table) (picture, error) {
	order := make([]int, t.rows)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return int(t.number("calls", b) - t.number("calls", a)) })
	order = order[:min(len(order), busiestShown)]
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "destination, the busiest first", "calls"
	p.Legend.Top = true
	var names []string
	cols := []string{"calls", "refused", "out"}
	values := make([]plotter.Values, len(cols))
	for _, row := range order {
		names = append(names, t.cols["destination"][row])
		for c, col := range cols {
			values[c] = append(values[c], t.number(col, row))
		}
	}
	if len(order) > 0 {
		width := vg.Points(10)
		for c, col := range cols {
			bars, err := plotter.NewBarChart(values[c], width)
			if err != nil {
				return picture{}, err
			}
			bars.Color, bars.Offset = plotutil.Color(c), width*vg.Length(c-1)
			bars.LineStyle.Width = 0
			p.Add(bars)
			p.Legend.Add(map[string]string{"out": "out at once, from one dispatcher"}[col]+
				map[string]string{"calls": "calls", "refused": "refused"}[col], bars)
		}
		p.NominalX(names...)
	}
	return picture{Name: "destinations", Title: "Calls out and refused, by destination", plot: p}, nil
}

// coldChart shows the load on routes while they were cold, as a share of what they may be sent.
func coldChart(t *table) (picture, error) {
	byRoute := map[string]*series{}
	var order []string
	sum := map[string]float64{}
	for i := range t.rows {
		key := t.cols["route"][i]
		if byRoute[key] == nil {
			byRoute[key] = &series{name: "destination " + t.cols["destination"][i]}
			order = append(order, key)
		}
		byRoute[key].at = append(byRoute[key].at, plotter.XY{X: t.number("second", i),
			Y: t.number("came", i) / t.number("limit", i)})
		sum[key] += t.number("came", i)
	}
	slices.SortStableFunc(order, func(a, b string) int { return int(sum[b] - sum[a]) })
	var lines []series
	for _, key := range order[:min(len(order), coldShown)] {
		lines = append(lines, *byRoute[key])
	}
	first, last := t.number("second", 0), t.number("second", t.rows-1)
	lines = append(lines, series{"its limit", plotter.XYs{{X: first, Y: 1}, {X: last, Y: 1}}})
	return chart(
		"cold",
		"Load on cold destinations, over the limit beyond which they fall",
		"s",
		"load / limit",
		lines...)
}

// sweepPictures show the value, the late end and the costs over the first axis, a line for each policy and
// for each point of the other axes; seeds are averaged.
func sweepPictures(dir string) (all []picture, err error) {
	t, err := readTable(filepath.Join(dir, "runs.csv"))
	if err != nil {
		return nil, err
	}
	axes := slices.Index(t.names, "policy")
	if axes < 1 {
		return nil, errors.New("runs.csv has no axis to draw over")
	}
	cols := []string{"value", "p99_s"}
	for _, c := range costColumns {
		if slices.Contains(t.names, c) {
			cols = append(cols, c)
		}
	}
	for _, col := range cols {
		type mean struct{ sum, n float64 }
		byLine := map[string]map[float64]*mean{}
		var order []string
		for i := range t.rows {
			name := t.cols["policy"][i]
			for _, other := range t.names[1:axes] {
				name += ", " + t.cols[other][i]
			}
			if byLine[name] == nil {
				byLine[name] = map[float64]*mean{}
				order = append(order, name)
			}
			x := t.number(t.names[0], i)
			if math.IsNaN(x) {
				x = float64(len(byLine[name]))
			}
			if byLine[name][x] == nil {
				byLine[name][x] = &mean{}
			}
			m := byLine[name][x]
			m.sum, m.n = m.sum+t.number(col, i), m.n+1
		}
		var lines []series
		for _, name := range order {
			s := series{name: name}
			for x, m := range byLine[name] {
				s.at = append(s.at, plotter.XY{X: x, Y: m.sum / m.n})
			}
			slices.SortFunc(s.at, func(a, b plotter.XY) int {
				if a.X < b.X {
					return -1
				}
				return 1
			})
			lines = append(lines, s)
		}
		p, failed := chart(col, col+" over "+t.names[0], t.names[0], col, lines...)
		all, err = append(all, p), errors.Join(err, failed)
	}
	return all, err
}
