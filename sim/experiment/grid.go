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

// Sweep is a grid: each point of it is played with each policy and each seed.
type Sweep struct {
	Base        string   `toml:"base"` // the scenario, beside this file
	Seeds       []uint64 `toml:"seeds"`
	Policies    []string `toml:"policies"`
	MeasureCost bool     `toml:"cost"` // measure each run, one at a time
	Axes        []Axis   `toml:"vary"`
}

// Axis is one axis: a key of the scenario, or several that change together, with their values.
type Axis struct {
	Keys   []string `toml:"keys"`
	Values [][]any  `toml:"values"` // one row a point, one value a key
}

// gridPoint is one run to be played.
type gridPoint struct {
	scenario   *engine.Scenario
	policy     string
	axisValues []string
	digest     string // of the scenario's whole text and the policy: a row of another text is never taken for it
}

// LoadSweep reads a sweep and every scenario that it asks for.
func LoadSweep(path string) (*Sweep, []gridPoint, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	s := &Sweep{}
	if err := decode(path, text, s); err != nil {
		return nil, nil, err
	}
	var faults []error
	where := keyLines(text)
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
		s.Policies = []string{DefaultPolicy}
	}
	for _, p := range s.Policies {
		fault(policyFactories[p] != nil, "policies", "no policy is called %q", p)
	}
	for i, v := range s.Axes {
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
func (s *Sweep) points(base string) (all []gridPoint, err error) {
	text, err := os.ReadFile(base)
	if err != nil {
		return nil, err
	}
	if _, err := Parse(base, text); err != nil {
		return nil, err
	}
	at := make([]int, len(s.Axes))
	for {
		var tree map[string]any
		if err := toml.Unmarshal(text, &tree); err != nil {
			return nil, err
		}
		var axes []string
		for i, v := range s.Axes {
			for k, key := range v.Keys {
				value := v.Values[at[i]][k]
				if err := setValue(tree, strings.Split(key, "."), value); err != nil {
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
				whole, err := Marshal(sc)
				if err != nil {
					return nil, err
				}
				key := strconv.FormatUint(xxhash.Sum64(append(whole, policy...)), 16)
				all = append(all, gridPoint{sc, policy, axes, key})
			}
		}
		i := len(at) - 1
		for ; i >= 0; i-- {
			if at[i]++; at[i] < len(s.Axes[i].Values) {
				break
			}
			at[i] = 0
		}
		if i < 0 {
			return all, nil
		}
	}
}

// setValue puts a value into a tree of TOML, at a path in which a number stands for the place in a list.
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
