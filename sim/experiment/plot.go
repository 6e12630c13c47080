package experiment

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
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "gonum.org/v1/plot/vg/vgsvg"
)

const (
	chartWidth, chartHeight = 22 * vg.Centimeter, 9 * vg.Centimeter
	maxDestinations         = 12
	maxRoutes               = 6
)

// table is a CSV file, by column.
type table struct {
	columns  []string
	cells    map[string][]string
	rowCount int
}

func readTable(path string) (*table, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // only read
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil || len(rows) == 0 {
		return nil, fmt.Errorf("%s is no table: %w", path, errors.Join(err, errNoHeader))
	}
	t := &table{columns: rows[0], cells: map[string][]string{}, rowCount: len(rows) - 1}
	for _, row := range rows[1:] {
		for i, cell := range row {
			t.cells[rows[0][i]] = append(t.cells[rows[0][i]], cell)
		}
	}
	return t, nil
}

var errNoHeader = errors.New("it has no head")

func (t *table) number(col string, row int) float64 {
	x, err := strconv.ParseFloat(t.cells[col][row], 64)
	if err != nil {
		return math.NaN()
	}
	return x
}

// series is a line of a chart.
type series struct {
	name   string
	points plotter.XYs
}

// Plot draws the charts of a folder that a run or a sweep wrote, as SVG and PNG files beside the tables, and page.html,
// which has them all without references to other files. It returns the paths of the files written.
func Plot(dir string) ([]string, error) {
	content, err := loadPage(dir)
	if err != nil {
		return nil, err
	}
	var written []string
	for i := range content.Pictures {
		paths, err := content.Pictures[i].write(dir)
		if err != nil {
			return nil, err
		}
		written = append(written, paths...)
	}
	content.Figures, err = readSummary(dir)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	if err := page.Execute(&b, content); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "page.html")
	return append(written, path), os.WriteFile(path, b.Bytes(), 0o644)
}

// pageContent is the data of the page template.
type pageContent struct {
	Title    string
	About    string
	Figures  map[string]any // of the summary
	Pictures []figure
}

// loadPage reads the tables of a sweep or a run.
func loadPage(dir string) (*pageContent, error) {
	content := &pageContent{Title: filepath.Base(dir)}
	_, err := os.Stat(filepath.Join(dir, "runs.csv"))
	switch {
	case err == nil:
		content.Pictures, err = sweepFigures(dir)
		return content, err
	case !errors.Is(err, fs.ErrNotExist):
		return content, nil
	}
	content.Pictures, err = runFigures(dir)
	if err != nil {
		return nil, fmt.Errorf("%s holds neither a run nor a sweep: %w", dir, err)
	}
	s, err := Load(filepath.Join(dir, "scenario.toml"))
	if err != nil {
		return nil, err
	}
	content.Title, content.About = s.Name, s.About
	return content, nil
}

// write writes a figure in both formats, and keeps its SVG for the page.
func (f *figure) write(dir string) ([]string, error) {
	var written []string
	for _, format := range []string{"svg", "png"} {
		w, err := f.chart.WriterTo(chartWidth, chartHeight, format)
		if err != nil {
			return nil, err
		}
		var b bytes.Buffer
		if _, err := w.WriteTo(&b); err != nil {
			return nil, err
		}
		path := filepath.Join(dir, f.Name+"."+format)
		if err := os.WriteFile(path, b.Bytes(), 0o644); err != nil {
			return nil, err
		}
		written = append(written, path)
		if format == "svg" {
			_, body, _ := bytes.Cut(b.Bytes(), []byte("<svg"))
			f.SVG = template.HTML("<svg" + string(body)) // #nosec: our own drawing
		}
	}
	return written, nil
}

// readSummary returns the numbers of a run's summary, or nil where there is none.
func readSummary(dir string) (map[string]any, error) {
	text, err := os.ReadFile(filepath.Join(dir, "summary.json"))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var summary map[string]any
	if err := json.Unmarshal(text, &summary); err != nil {
		return nil, err
	}
	delete(summary, "claims")
	delete(summary, "breaches")
	return summary, nil
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

// lineChart draws a line for each series that has points.
func lineChart(name, title, x, y string, lines ...series) (figure, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range lines {
		if len(s.points) == 0 {
			continue
		}
		l, err := plotter.NewLine(s.points)
		if err != nil {
			return figure{}, fmt.Errorf("%s: %w", name, err)
		}
		l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
		l.Width = vg.Points(1.2)
		p.Add(l)
		p.Legend.Add(s.name, l)
	}
	p.Y.Min = min(p.Y.Min, 0)
	return figure{Name: name, Title: title, chart: p}, nil
}
