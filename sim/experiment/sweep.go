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
	"broken",
	"events",
}

var costColumns = []string{"wall_s", "module_s", "heap_mb"}

func (p *gridPoint) row(r *Result) []string {
	f := func(x float64) string { return strconv.FormatFloat(x, 'f', 6, 64) }
	n := strconv.Itoa
	broken := "-"
	for _, rule := range violatedInvariants(r) {
		broken = strings.TrimPrefix(broken+"+"+rule, "-+")
	}
	row := append(slices.Clone(p.axisValues), p.policy, strconv.FormatUint(r.Seed, 10), f(r.Value), n(r.Offered),
		n(r.InTime), n(r.Late), n(r.Rejected), n(r.DeadLettered), n(r.StateLost), n(r.Unfinished), n(r.BufferFull),
		n(r.Attempts), n(r.Calls), n(r.CallsRefused), n(r.Connects), n(r.Collapsed), f(r.P50), f(r.P99), broken, n(r.Events))
	if c := r.Cost; c != nil {
		row = append(row, f(c.WallSeconds), f(c.PolicySeconds), f(c.HeapMB))
	}
	return row
}

func violatedInvariants(r *Result) (all []string) {
	for rule := range r.Violations {
		all = append(all, rule)
	}
	slices.Sort(all)
	return all
}

// sweepRow is one line of the file in which a sweep keeps what it has played.
type sweepRow struct {
	Key string   `json:"key"`
	Row []string `json:"row"`
}

// Run plays what the folder does not hold yet and writes runs.csv, in the grid's order. A sweep that was
// killed goes on where it was: each run's row is one line of rows.jsonl, and a line that was cut off is
// played again. step is called after each run; broken counts the runs in which a rule was.
func (s *Sweep) Run(dir string, points []gridPoint, step func()) (broken int, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, err
	}
	rows, kept, err := openRows(filepath.Join(dir, "rows.jsonl"))
	if err != nil {
		return 0, err
	}
	defer kept.Close()
	var todo []int
	for i, p := range points {
		if rows[p.digest] == nil {
			todo = append(todo, i)
		} else {
			step()
		}
	}
	jobs := runtime.GOMAXPROCS(0)
	if s.MeasureCost {
		jobs = 1
	}
	var mu sync.Mutex
	var failed error
	Parallel(jobs, len(todo), func(n int) {
		p := &points[todo[n]]
		r, err := Run(p.scenario, p.policy, s.MeasureCost)
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			rows[p.digest] = p.row(r)
			var line []byte
			if line, err = json.Marshal(sweepRow{p.digest, rows[p.digest]}); err == nil {
				_, err = kept.Write(append(line, '\n'))
			}
		}
		failed = errors.Join(failed, err)
		step()
	})
	if failed != nil {
		return 0, failed
	}
	var head []string
	for _, v := range s.Axes {
		head = append(head, v.Keys...)
	}
	head = append(head, sweepColumns...)
	if s.MeasureCost {
		head = append(head, costColumns...)
	}
	table := [][]string{head}
	for _, p := range points {
		table = append(table, rows[p.digest])
		if rows[p.digest][slices.Index(head, "broken")] != "-" {
			broken++
		}
	}
	if err := writeCSV(filepath.Join(dir, "runs.csv"), table); err != nil {
		return broken, err
	}
	return broken, writeJSON(
		filepath.Join(dir, "manifest.json"),
		newManifest(points[0].scenario, s.Policies, s.Seeds),
	)
}

// openRows reads the rows of an earlier run and opens the file behind the last whole line.
func openRows(path string) (map[string][]string, *os.File, error) {
	rows, whole := map[string][]string{}, 0
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, nil, err
	}
	for r := bufio.NewReader(bytes.NewReader(text)); ; {
		line, err := r.ReadBytes('\n')
		var d sweepRow
		if err != nil || json.Unmarshal(line, &d) != nil || d.Key == "" {
			break
		}
		rows[d.Key] = d.Row
		whole += len(line)
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, nil, err
	}
	return rows, f, f.Truncate(int64(whole))
}

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

// Parallel calls do for 0 to n-1, so many at once.
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
