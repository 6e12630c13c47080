package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/magiconair/properties"

	"rowanlink/serving/errcode"
)

// EnvironmentVariable is the name of the environment variable with the path of the settings file.
const EnvironmentVariable = "ROWANLINK_SETTINGS"

// FromEnvironment loads the settings file whose path is the value of the environment variable EnvironmentVariable.
// Errors are those of Load, and errcode.SettingsUnreadable if the variable isn't set.
func FromEnvironment() (*Process, error) {
	path := os.Getenv(EnvironmentVariable)
	if path == "" {
		return nil, errcode.SettingsUnreadable.With("%s is not set", EnvironmentVariable)
	}
	return Load(path)
}

// Load reads and validates a settings file. Errors are errcode.SettingsUnreadable, or errcode.SettingsInvalid with all
// problems of the file.
func Load(path string) (*Process, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errcode.SettingsUnreadable.With("%v", err)
	}
	return Parse(content)
}

// Parse parses and validates the content of a settings file. Its errors are those of Load.
func Parse(content []byte) (*Process, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	file, err := loader.LoadBytes(content)
	if err != nil {
		return nil, errcode.SettingsUnreadable.With("%v", err)
	}
	process := &Process{Regions: map[string]string{}}
	var problems []string
	for _, setting := range Table() {
		problems = append(problems, setting.apply(process, file)...)
	}
	if len(problems) > 0 {
		return nil, errcode.SettingsInvalid.With("%s", strings.Join(problems, "; "))
	}
	if _, isNamed := process.Regions[process.Zone]; !isNamed {
		process.Regions[process.Zone] = process.Region
	}
	return process, nil
}

// apply stores the setting's value in the process and returns what is wrong with it; none if it is valid.
func (s Setting) apply(process *Process, file *properties.Properties) (problems []string) {
	if s.Pattern {
		return s.applyPattern(process, file)
	}
	value, _ := file.Get(s.Key)
	value = strings.TrimSpace(value)
	if value == "" && s.Required {
		return []string{fmt.Sprintf("%s is missing: expected %s", s.Key, s.Type)}
	}
	if value == "" {
		value = s.Default
	}
	if value == "" {
		return nil
	}
	return s.storeValue(process, s.Key, "", value)
}

// applyPattern stores the values of all keys that match the pattern.
func (s Setting) applyPattern(process *Process, file *properties.Properties) (problems []string) {
	for _, key := range file.Keys() {
		name, matches := strings.CutPrefix(key, s.Key)
		if !matches {
			continue
		}
		value, _ := file.Get(key)
		problems = append(problems, s.storeValue(process, key, name, strings.TrimSpace(value))...)
	}
	return problems
}

// storeValue stores one value; name is as in Setting.store.
func (s Setting) storeValue(process *Process, key, name, value string) (problems []string) {
	if err := s.store(process, name, value); err != nil {
		return []string{fmt.Sprintf("%s=%q: expected %s (%v)", key, value, s.Type, err)}
	}
	return nil
}
