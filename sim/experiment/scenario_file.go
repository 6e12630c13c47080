// Package experiment runs experiments with the simulator: scenarios from files, runs under the decision policy or a
// baseline, sweeps of parameters, comparisons of policies, searches for the worst case, and their tables and charts.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"rowanlink/sim/engine"
)

// FileError is an error at a place of a file. Line counts from 1 and is 0 for the file as a whole. Key is the path of the
// key, with the index of a table in its list.
type FileError struct {
	File string
	Line int
	Key  string
	Text string
}

// Error returns the place and the text.
func (e FileError) Error() string {
	at := e.File
	if e.Line > 0 {
		at += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		at += ": " + e.Key
	}
	return at + ": " + e.Text
}

// Load reads a scenario file. The error joins a FileError for each value that is wrong.
func Load(path string) (*engine.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses the text of a scenario file. The path is used in errors only.
func Parse(path string, text []byte) (*engine.Scenario, error) {
	s := &engine.Scenario{}
	if err := decode(path, text, s); err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, FileError{File: path, Text: err.Error()}
	}
	if errs := numericDurations(tree, reflect.TypeFor[engine.Scenario](), ""); len(errs) > 0 {
		return nil, locateErrors(path, text, errors.Join(errs...))
	}
	s.ApplyDefaults()
	if err := s.Validate(); err != nil {
		return nil, locateErrors(path, text, err)
	}
	return s, nil
}

// decode decodes TOML. An unknown key is an error.
func decode(path string, text []byte, to any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(to)
	var unknown *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		var all []error
		for i := range unknown.Errors {
			e := &unknown.Errors[i]
			line, _ := e.Position()
			all = append(all, FileError{path, line, strings.Join(e.Key(), "."), "unknown key"})
		}
		return errors.Join(all...)
	case errors.As(err, &bad):
		line, _ := bad.Position()
		text := strings.TrimPrefix(bad.Error(), "toml: ")
		return FileError{path, line, strings.Join(bad.Key(), "."), text}
	}
	return FileError{File: path, Text: err.Error()}
}

// numericDurations finds durations that are numbers, which the decoder would take for microseconds.
func numericDurations(tree any, t reflect.Type, key string) (errs []error) {
	switch t.Kind() {
	case reflect.Struct:
		table, _ := tree.(map[string]any)
		for i := range t.NumField() {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
			if v, there := table[name]; there {
				errs = append(errs, numericDurations(v, t.Field(i).Type, strings.TrimPrefix(key+"."+name, "."))...)
			}
		}
	case reflect.Slice:
		list, _ := tree.([]any)
		for i, v := range list {
			at := key // a list of plain values is on one line
			if t.Elem().Kind() == reflect.Struct {
				at = fmt.Sprintf("%s.%d", key, i)
			}
			errs = append(errs, numericDurations(v, t.Elem(), at)...)
		}
	default:
		if _, text := tree.(string); t == reflect.TypeFor[engine.Duration]() && !text {
			errs = append(errs, engine.InvalidValue{Key: key,
				Text: fmt.Sprintf("%v has no unit: write a time like \"250ms\"", tree)})
		}
	}
	return errs
}

// locateErrors makes FileErrors of the errors of Validate, with the lines of their keys.
func locateErrors(path string, text []byte, err error) error {
	where := keyLines(text)
	var all []error
	list, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return FileError{File: path, Text: err.Error()}
	}
	for _, e := range list.Unwrap() {
		var f engine.InvalidValue
		if !errors.As(e, &f) {
			all = append(all, FileError{File: path, Text: e.Error()})
			continue
		}
		key := f.Key
		for key != "" && where[key] == 0 { // a missing key is located at its table
			key = key[:max(strings.LastIndexByte(key, '.'), 0)]
		}
		all = append(all, FileError{path, where[key], f.Key, f.Text})
	}
	return errors.Join(all...)
}

// keyLines returns the line of each key. The tables of a list have indexes from 0.
func keyLines(text []byte) map[string]int {
	where, count := map[string]int{}, map[string]int{}
	table := ""
	p := unstable.Parser{}
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			parts = append(parts, string(n.Data))
			if line == 0 {
				line = p.Shape(p.Range(n.Data)).Start.Line
			}
		}
		name := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s.%d", name, count[name])
			count[name]++
			where[table] = line
		case unstable.Table:
			table = name
			where[table] = line
		case unstable.KeyValue:
			where[strings.TrimPrefix(table+"."+name, ".")] = line
		}
	}
	return where
}

// Marshal returns a scenario in the form that Parse reads.
func Marshal(s *engine.Scenario) ([]byte, error) { return toml.Marshal(s) }
