package lab

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pelletier/go-toml/v2"

	"rowanlink/emulator"
)

// Sweep is a grid: each point of it is played with each policy and each seed.
type Sweep struct {
	Base     string   `toml:"base"` // the scenario, beside this file
	Seeds    []uint64 `toml:"seeds"`
	Policies []string `toml:"policies"`
	Cost     bool     `toml:"cost"` // measure each run, one at a time
	Vary     []Vary   `toml:"vary"`
}

// Vary is one axis: a key of the scenario, or several that change together, with their values.
type Vary struct {
	Keys   []string `toml:"keys"`
	Values [][]any  `toml:"values"` // one row a point, one value a key
}

// point is one run to be played.
type point struct {
	scenario *emulator.Scenario
	policy   string
	axes     []string
	key      string // of the scenario's whole text and the policy: a row of another text is never taken for it
}

// LoadSweep reads a sweep and every scenario that it asks for.
func LoadSweep(path string) (*Sweep, []point, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	s := &Sweep{}
	if err := decode(path, text, s); err != nil {
		return nil, nil, err
	}
	var faults []error
	where := lines(text)
	fault := func(ok bool, key, text string, args ...any) {
		if !ok {
			faults = append(faults, FileError{path, where[key], key, fmt.Sprintf(text, args...)})
		}
	}
	fault(s.Base != "", "base", "the scenario's file must be named")
	if len(s.Seeds) == 0 {
		s.Seeds = []uint64{1}
	}
	if len(s.Policies) == 0 {
		s.Policies = []string{Module}
	}
	for _, p := range s.Policies {
		fault(policies[p] != nil, "policies", "no policy is called %q", p)
	}
	for i, v := range s.Vary {
		at := fmt.Sprintf("vary.%d", i)
		fault(len(v.Keys) > 0 && len(v.Values) > 0, at, "keys and values must both be given")
		for _, row := range v.Values {
			fault(
				len(row) == len(v.Keys),
				at+".values",
				"%v has not one value for each of the %d keys",
				row,
				len(v.Keys),
			)
		}
	}
	if len(faults) > 0 {
		return nil, nil, errors.Join(faults...)
	}
	points, err := s.points(filepath.Join(filepath.Dir(path), s.Base))
	return s, points, err
}

// points lays the grid out, the last axis running quickest, then seeds, then policies.
func (s *Sweep) points(base string) (all []point, err error) {
	text, err := os.ReadFile(base)
	if err != nil {
		return nil, err
	}
	if _, err := Parse(base, text); err != nil {
		return nil, err
	}
	at := make([]int, len(s.Vary))
	for {
		var tree map[string]any
		if err := toml.Unmarshal(text, &tree); err != nil {
			return nil, err
		}
		var axes []string
		for i, v := range s.Vary {
			for k, key := range v.Keys {
				value := v.Values[at[i]][k]
				if err := set(tree, strings.Split(key, "."), value); err != nil {
					return nil, fmt.Errorf("vary %s: %w", key, err)
				}
				axes = append(axes, fmt.Sprint(value))
			}
		}
		varied, err := toml.Marshal(tree)
		if err != nil {
			return nil, err
		}
		for _, seed := range s.Seeds {
			for _, policy := range s.Policies {
				sc, err := Parse(fmt.Sprintf("%s with %s", base, strings.Join(axes, ", ")), varied)
				if err != nil {
					return nil, err
				}
				sc.Seed = seed
				whole, err := Text(sc)
				if err != nil {
					return nil, err
				}
				key := strconv.FormatUint(xxhash.Sum64(append(whole, policy...)), 16)
				all = append(all, point{sc, policy, axes, key})
			}
		}
		i := len(at) - 1
		for ; i >= 0; i-- {
			if at[i]++; at[i] < len(s.Vary[i].Values) {
				break
			}
			at[i] = 0
		}
		if i < 0 {
			return all, nil
		}
	}
}

// set puts a value into a tree of TOML, at a path in which a number stands for the place in a list.
func set(tree any, path []string, value any) error {
	switch t := tree.(type) {
	case map[string]any:
		if len(path) == 1 {
			t[path[0]] = value
			return nil
		}
		if t[path[0]] == nil {
			t[path[0]] = map[string]any{}
		}
		return set(t[path[0]], path[1:], value)
	case []any:
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(t) {
			return fmt.Errorf("%q is no place in a list of %d", path[0], len(t))
		}
		if len(path) == 1 {
			t[i] = value
			return nil
		}
		return set(t[i], path[1:], value)
	}
	return fmt.Errorf("%q is in no table", path[0])
}

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

func (p *point) row(r *Result) []string {
	f := func(x float64) string { return strconv.FormatFloat(x, 'f', 6, 64) }
	n := strconv.Itoa
	broken := "-"
	for _, rule := range sortedRules(r) {
		broken = strings.TrimPrefix(broken+"+"+rule, "-+")
	}
	row := append(slices.Clone(p.axes), p.policy, strconv.FormatUint(r.Seed, 10), f(r.Value), n(r.Offered),
		n(r.InTime), n(r.Late), n(r.Rejected), n(r.DeadLettered), n(r.Died), n(r.Unended), n(r.TurnedAway),
		n(r.Attempts), n(r.Calls), n(r.Refused), n(r.Connects), n(r.Fell), f(r.P50), f(r.P99), broken, n(r.Events))
	if c := r.Cost; c != nil {
		row = append(row, f(c.WallS), f(c.ModuleS), f(c.HeapMB))
	}
	return row
}

func sortedRules(r *Result) (all []string) {
	for rule := range r.Broken {
		all = append(all, rule)
	}
	slices.Sort(all)
	return all
}

// done is one line of the file in which a sweep keeps what it has played.
type done struct {
	Key string   `json:"key"`
	Row []string `json:"row"`
}

// Run plays what the folder does not hold yet and writes runs.csv, in the grid's order. A sweep that was
// killed goes on where it was: each run's row is one line of rows.jsonl, and a line that was cut off is
// played again. step is called after each run; broken counts the runs in which a rule was.
func (s *Sweep) Run(dir string, points []point, step func()) (broken int, err error) {
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
		if rows[p.key] == nil {
			todo = append(todo, i)
		} else {
			step()
		}
	}
	jobs := runtime.GOMAXPROCS(0)
	if s.Cost {
		jobs = 1
	}
	var mu sync.Mutex
	var failed error
	Parallel(jobs, len(todo), func(n int) {
		p := &points[todo[n]]
		r, err := Play(p.scenario, p.policy, s.Cost)
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			rows[p.key] = p.row(r)
			var line []byte
			if line, err = json.Marshal(done{p.key, rows[p.key]}); err == nil {
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
	for _, v := range s.Vary {
		head = append(head, v.Keys...)
	}
	head = append(head, sweepColumns...)
	if s.Cost {
		head = append(head, costColumns...)
	}
	table := [][]string{head}
	for _, p := range points {
		table = append(table, rows[p.key])
		if rows[p.key][slices.Index(head, "broken")] != "-" {
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
		var d done
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
