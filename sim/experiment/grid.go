package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pelletier/go-toml/v2"

	"rowanlink/sim/engine"
)

// Sweep is a grid of parameters: each point is run with each policy and each seed. The toml tags are the keys of a sweep
// file.
type Sweep struct {
	Base        string   `toml:"base"` // scenario file, relative to the folder of the sweep file
	Seeds       []uint64 `toml:"seeds"`
	Policies    []string `toml:"policies"`
	MeasureCost bool     `toml:"cost"` // measure each run, one at a time
	Axes        []Axis   `toml:"vary"`
}

// Axis is an axis of the grid: keys of the scenario that change together, and their values.
type Axis struct {
	Keys   []string `toml:"keys"`
	Values [][]any  `toml:"values"` // for each point one value for each key
}

// gridPoint is one run of a sweep.
type gridPoint struct {
	scenario   *engine.Scenario
	policy     string
	axisValues []string
	digest     string // of the complete scenario and the policy, by which a finished run is found again
}

// LoadSweep reads a sweep file and its scenario. The error joins a FileError for each value that is wrong.
func LoadSweep(path string) (*Sweep, []gridPoint, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	s := &Sweep{}
	if err := decode(path, text, s); err != nil {
		return nil, nil, err
	}
	if len(s.Seeds) == 0 {
		s.Seeds = []uint64{1}
	}
	if len(s.Policies) == 0 {
		s.Policies = []string{DefaultPolicy}
	}
	if err := s.validate(path, keyLines(text)); err != nil {
		return nil, nil, err
	}
	points, err := s.points(filepath.Join(filepath.Dir(path), s.Base))
	return s, points, err
}

func (s *Sweep) validate(path string, lines map[string]int) error {
	var errs []error
	require := func(condition bool, key, text string, args ...any) {
		if !condition {
			errs = append(errs, FileError{path, lines[key], key, fmt.Sprintf(text, args...)})
		}
	}
	require(s.Base != "", "base", "the scenario's file must be named")
	for _, p := range s.Policies {
		require(policyFactories[p] != nil, "policies", "no policy is called %q", p)
	}
	for i, axis := range s.Axes {
		key := fmt.Sprintf("vary.%d", i)
		require(len(axis.Keys) > 0 && len(axis.Values) > 0, key, "keys and values must both be given")
		for _, row := range axis.Values {
			require(len(row) == len(axis.Keys), key+".values", "%v has not one value for each of the %d keys", row,
				len(axis.Keys))
		}
	}
	return errors.Join(errs...)
}

// points returns all runs: the last axis varies fastest, then seeds, then policies.
func (s *Sweep) points(base string) ([]gridPoint, error) {
	text, err := os.ReadFile(base)
	if err != nil {
		return nil, err
	}
	if _, err := Parse(base, text); err != nil {
		return nil, err
	}
	var all []gridPoint
	at := make([]int, len(s.Axes))
	for {
		varied, axisValues, err := s.scenarioText(text, at)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("%s with %s", base, strings.Join(axisValues, ", "))
		points, err := s.pointsOf(name, varied, axisValues)
		if err != nil {
			return nil, err
		}
		all = append(all, points...)
		if !s.advance(at) {
			return all, nil
		}
	}
}

// scenarioText returns the scenario at a position of the grid, and the values there.
func (s *Sweep) scenarioText(base []byte, at []int) (text []byte, axisValues []string, err error) {
	var tree map[string]any
	if err := toml.Unmarshal(base, &tree); err != nil {
		return nil, nil, err
	}
	for i, axis := range s.Axes {
		for k, key := range axis.Keys {
			value := axis.Values[at[i]][k]
			if err := setValue(tree, strings.Split(key, "."), value); err != nil {
				return nil, nil, fmt.Errorf("vary %s: %w", key, err)
			}
			axisValues = append(axisValues, fmt.Sprint(value))
		}
	}
	text, err = toml.Marshal(tree)
	return text, axisValues, err
}

// pointsOf returns the runs of one scenario.
func (s *Sweep) pointsOf(name string, text []byte, axisValues []string) ([]gridPoint, error) {
	var points []gridPoint
	for _, seed := range s.Seeds {
		for _, policy := range s.Policies {
			scenario, err := Parse(name, text)
			if err != nil {
				return nil, err
			}
			scenario.Seed = seed
			complete, err := Marshal(scenario)
			if err != nil {
				return nil, err
			}
			digest := strconv.FormatUint(xxhash.Sum64(append(complete, policy...)), 16)
			points = append(points, gridPoint{scenario, policy, axisValues, digest})
		}
	}
	return points, nil
}

// advance moves to the next position of the grid. It returns false after the last one.
func (s *Sweep) advance(at []int) bool {
	for i := len(at) - 1; i >= 0; i-- {
		at[i]++
		if at[i] < len(s.Axes[i].Values) {
			return true
		}
		at[i] = 0
	}
	return false
}

// setValue sets a value in a decoded TOML document. A number in the path is an index into a list.
func setValue(tree any, path []string, value any) error {
	switch t := tree.(type) {
	case map[string]any:
		if len(path) == 1 {
			t[path[0]] = value
			return nil
		}
		if t[path[0]] == nil {
			t[path[0]] = map[string]any{}
		}
		return setValue(t[path[0]], path[1:], value)
	case []any:
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(t) {
			return fmt.Errorf("%q is no place in a list of %d", path[0], len(t))
		}
		if len(path) == 1 {
			t[i] = value
			return nil
		}
		return setValue(t[i], path[1:], value)
	}
	return fmt.Errorf("%q is in no table", path[0])
}
