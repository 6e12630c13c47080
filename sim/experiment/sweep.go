package experiment

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
)

const (
	noViolation    = "-" // in the column of violated invariants
	violatedColumn = "broken"
)

// sweepColumns are the columns of runs.csv behind those of the axes.
var sweepColumns = []string{
	"policy",
	"seed",
	"value",
	"offered",
	"in_time",
	"late",
	"rejected",
	"dead_lettered",
	"died",
	"unended",
	"turned_away",
	"attempts",
	"calls",
	"refused",
	"connects",
	"fell",
	"p50_s",
	"p99_s",
	violatedColumn,
	"events",
}

// costColumns follow where the cost is measured.
var costColumns = []string{"wall_s", "module_s", "heap_mb"}

func (p *gridPoint) row(r *Result) []string {
	violated := noViolation
	if names := violatedInvariants(r); len(names) > 0 {
		violated = strings.Join(names, "+")
	}
	row := slices.Clone(p.axisValues)
	row = append(row, p.policy, strconv.FormatUint(r.Seed, 10), formatFloat(r.Value))
	for _, count := range []int{r.Offered, r.InTime, r.Late, r.Rejected, r.DeadLettered, r.StateLost, r.Unfinished,
		r.BufferFull, r.Attempts, r.Calls, r.CallsRefused, r.Connects, r.Collapsed} {
		row = append(row, strconv.Itoa(count))
	}
	row = append(row, formatFloat(r.P50), formatFloat(r.P99), violated, strconv.Itoa(r.Events))
	if c := r.Cost; c != nil {
		row = append(row, formatFloat(c.WallSeconds), formatFloat(c.PolicySeconds), formatFloat(c.HeapMB))
	}
	return row
}

func formatFloat(x float64) string { return strconv.FormatFloat(x, 'f', 6, 64) }

// violatedInvariants returns the names of the violated invariants, sorted.
func violatedInvariants(r *Result) []string {
	var names []string
	for name := range r.Violations {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Run makes all runs of the sweep that the folder doesn't have yet and writes runs.csv, in the grid's order. A sweep that
// was killed continues: each finished run is a line of rows.jsonl, and an incomplete line is run again. onRun is called
// after each run. It returns the number of runs with a violation.
func (s *Sweep) Run(dir string, points []gridPoint, onRun func()) (violated int, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, err
	}
	log, err := openRowLog(filepath.Join(dir, "rows.jsonl"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = log.close() }() // each row was written before
	if err := s.runMissing(log, points, onRun); err != nil {
		return 0, err
	}
	header := s.header()
	table := [][]string{header}
	for _, p := range points {
		row := log.rows[p.digest]
		table = append(table, row)
		if row[slices.Index(header, violatedColumn)] != noViolation {
			violated++
		}
	}
	if err := writeCSV(filepath.Join(dir, "runs.csv"), table); err != nil {
		return violated, err
	}
	m := newManifest(points[0].scenario, s.Policies, s.Seeds)
	return violated, writeJSON(filepath.Join(dir, "manifest.json"), m)
}

func (s *Sweep) header() []string {
	var header []string
	for _, axis := range s.Axes {
		header = append(header, axis.Keys...)
	}
	header = append(header, sweepColumns...)
	if s.MeasureCost {
		header = append(header, costColumns...)
	}
	return header
}

// runMissing makes the runs that have no row yet, in parallel unless their cost is measured.
func (s *Sweep) runMissing(log *rowLog, points []gridPoint, onRun func()) error {
	var missing []*gridPoint
	for i := range points {
		if log.rows[points[i].digest] == nil {
			missing = append(missing, &points[i])
		} else {
			onRun()
		}
	}
	jobs := runtime.GOMAXPROCS(0)
	if s.MeasureCost {
		jobs = 1
	}
	var mu sync.Mutex
	var errs error
	Parallel(jobs, len(missing), func(n int) {
		p := missing[n]
		r, err := Run(p.scenario, p.policy, s.MeasureCost)
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			err = log.add(p.digest, p.row(r))
		}
		errs = errors.Join(errs, err)
		onRun()
	})
	return errs
}

// rowLog is the file of a sweep's finished runs.
type rowLog struct {
	rows map[string][]string // by digest
	file *os.File
}

// sweepRow is a line of a rowLog.
type sweepRow struct {
	Key string   `json:"key"`
	Row []string `json:"row"`
}

// openRowLog reads the rows of an earlier run and opens the file behind the last complete line.
func openRowLog(path string) (*rowLog, error) {
	rows, completeBytes, err := readRows(path)
	if err != nil {
		return nil, err
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	return &rowLog{rows, f}, f.Truncate(int64(completeBytes))
}

// readRows returns the rows of a file, which may be missing, and the size of its complete lines.
func readRows(path string) (rows map[string][]string, completeBytes int, err error) {
	rows = map[string][]string{}
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, 0, err
	}
	for r := bufio.NewReader(bytes.NewReader(text)); ; {
		line, err := r.ReadBytes('\n')
		var row sweepRow
		if err != nil || json.Unmarshal(line, &row) != nil || row.Key == "" {
			return rows, completeBytes, nil
		}
		rows[row.Key] = row.Row
		completeBytes += len(line)
	}
}

// add writes a row. The caller serializes calls.
func (l *rowLog) add(digest string, row []string) error {
	l.rows[digest] = row
	line, err := json.Marshal(sweepRow{digest, row})
	if err != nil {
		return err
	}
	_, err = l.file.Write(append(line, '\n'))
	return err
}

func (l *rowLog) close() error { return l.file.Close() }

// writeCSV replaces a file at once.
func writeCSV(path string, rows [][]string) error {
	var b bytes.Buffer
	if err := csv.NewWriter(&b).WriteAll(rows); err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", b.Bytes(), 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Parallel calls a function with 0 to n-1, in a number of goroutines, and waits for all calls.
func Parallel(jobs, n int, do func(i int)) {
	var wg sync.WaitGroup
	next := make(chan int)
	for range min(jobs, n) {
		wg.Go(func() {
			for i := range next {
				do(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
}
