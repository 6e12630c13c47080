package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/magiconair/properties"

	"rowanlink/serving/errcode"
)

// EnvironmentVariable holds the path of the settings file.
const EnvironmentVariable = "ROWANLINK_SETTINGS"

// FromEnvironment loads the file that EnvironmentVariable names.
func FromEnvironment() (*Process, error) {
	path := os.Getenv(EnvironmentVariable)
	if path == "" {
		return nil, errcode.SettingsUnreadable.With("%s is not set", EnvironmentVariable)
	}
	return Load(path)
}

// Load reads and checks a settings file. The error is of the kind errcode.SettingsUnreadable, or of the kind
// errcode.SettingsInvalid and then names everything that is wrong with the file.
func Load(path string) (*Process, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errcode.SettingsUnreadable.With("%v", err)
	}
	return Parse(content)
}

// Parse reads and checks the content of a settings file. Its errors are those of Load.
func Parse(content []byte) (*Process, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	file, err := loader.LoadBytes(content)
	if err != nil {
		return nil, errcode.SettingsUnreadable.With("%v", err)
	}
	process := &Process{Regions: map[string]string{}}
	var faults []string
	for _, setting := range Table() {
		faults = append(faults, setting.apply(process, file)...)
	}
	if len(faults) > 0 {
		return nil, errcode.SettingsInvalid.With("%s", strings.Join(faults, "; "))
	}
	if _, named := process.Regions[process.Zone]; !named {
		process.Regions[process.Zone] = process.Region
	}
	return process, nil
}

// apply stores the setting's values and returns what is wrong with them.
func (s Setting) apply(process *Process, file *properties.Properties) (faults []string) {
	if s.Pattern {
		return s.applyPattern(process, file)
	}
	value, _ := file.Get(s.Key)
	value = strings.TrimSpace(value)
	if value == "" && s.Required {
		return []string{fmt.Sprintf("%s is missing: wanted is %s", s.Key, s.Type)}
	}
	if value == "" {
		value = s.Default
	}
	if value == "" {
		return nil
	}
	return s.storeValue(process, s.Key, "", value)
}

func (s Setting) applyPattern(process *Process, file *properties.Properties) (faults []string) {
	for _, key := range file.Keys() {
		name, matches := strings.CutPrefix(key, s.Key)
		if !matches {
			continue
		}
		value, _ := file.Get(key)
		faults = append(faults, s.storeValue(process, key, name, strings.TrimSpace(value))...)
	}
	return faults
}

func (s Setting) storeValue(process *Process, key, name, value string) (faults []string) {
	if err := s.store(process, name, value); err != nil {
		return []string{fmt.Sprintf("%s=%q: wanted is %s (%v)", key, value, s.Type, err)}
	}
	return nil
}
