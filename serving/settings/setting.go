package settings

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Setting is an entry of the table from which settings files are parsed and docs/settings.md is generated.
type Setting struct {
	Key      string // in the file; for a Pattern, the prefix of the keys
	Type     string // describes the values
	Default  string // used if the file lacks the key
	Required bool   // the file must have the key, with a value
	Pattern  bool   // all keys with the prefix Key belong to the setting
	Doc      string // one sentence for the docs

	// store validates a value and stores it. For a pattern, name is the key without its prefix.
	store func(p *Process, name, value string) error
}

// The types of values, as named in the docs and in errors.
const (
	typeText         = "text"
	typeBool         = "true or false"
	typeInteger      = "integer, 0 or more"
	typeNumber       = "number, 0 or more"
	typeMilliseconds = "milliseconds, 0 or more"
	typeSeconds      = "seconds, 0 or more"
	typeIP           = "IP address"
	typeAddress      = "IP address:port"
	typeWords        = "words, separated by commas"
	typePorts        = "first and last port, separated by a comma"
	typeSeedList     = "IP address:port, separated by commas"
)

// maxDuration is the longest duration that is accepted; it is well within the range of time.Duration.
const maxDuration = 100 * 365 * 24 * time.Hour

func textSetting(key, doc string, field func(*Process) *string) Setting {
	store := func(p *Process, _, value string) error {
		*field(p) = value
		return nil
	}
	return Setting{
		Key:   key,
		Type:  typeText,
		Doc:   doc,
		store: store,
	}
}

func boolSetting(key, doc string, field func(*Process) *bool) Setting {
	store := func(p *Process, _, value string) error {
		parsed, err := strconv.ParseBool(strings.ToLower(value))
		*field(p) = parsed
		return err
	}
	return Setting{
		Key:     key,
		Type:    typeBool,
		Default: "false",
		Doc:     doc,
		store:   store,
	}
}

func integerSetting(key, defaultValue, doc string, field func(*Process) *int) Setting {
	store := func(p *Process, _, value string) error {
		parsed, err := parseNumber(value)
		if err == nil && parsed != float64(int(parsed)) {
			return errors.New("not an integer")
		}
		*field(p) = int(parsed)
		return err
	}
	return Setting{
		Key:     key,
		Type:    typeInteger,
		Default: defaultValue,
		Doc:     doc,
		store:   store,
	}
}

func numberSetting(key, defaultValue, doc string, field func(*Process) *float64) Setting {
	store := func(p *Process, _, value string) (err error) {
		*field(p), err = parseNumber(value)
		return err
	}
	return Setting{
		Key:     key,
		Type:    typeNumber,
		Default: defaultValue,
		Doc:     doc,
		store:   store,
	}
}

func millisecondsSetting(key, defaultValue, doc string, field func(*Process) *time.Duration) Setting {
	return durationSetting(key, typeMilliseconds, defaultValue, doc, time.Millisecond, field)
}

func secondsSetting(key, defaultValue, doc string, field func(*Process) *time.Duration) Setting {
	return durationSetting(key, typeSeconds, defaultValue, doc, time.Second, field)
}

func durationSetting(key, valueType, defaultValue, doc string, unit time.Duration,
	field func(*Process) *time.Duration) Setting {
	store := func(p *Process, _, value string) error {
		parsed, err := parseNumber(value)
		if err == nil && parsed > float64(maxDuration/unit) {
			return errors.New("too long")
		}
		*field(p) = time.Duration(parsed * float64(unit))
		return err
	}
	return Setting{
		Key:     key,
		Type:    valueType,
		Default: defaultValue,
		Doc:     doc,
		store:   store,
	}
}

func addressSetting(key, doc string, field func(*Process) *string) Setting {
	store := func(p *Process, _, value string) error {
		*field(p) = value
		return checkAddress(value)
	}
	return Setting{
		Key:   key,
		Type:  typeAddress,
		Doc:   doc,
		store: store,
	}
}

// required returns a copy of the setting that is required.
func required(s Setting) Setting {
	s.Required = true
	return s
}

// parseNumber parses a finite non-negative number.
func parseNumber(value string) (float64, error) {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, err
	}
	const maxNumber = 1e15                     // exact as a float64, and far above every setting
	if !(parsed >= 0 && parsed <= maxNumber) { // also false for NaN
		return 0, errors.New("out of range")
	}
	return parsed, nil
}

func checkAddress(value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return errors.New("not an IP address")
	}
	return checkPort(port)
}

func checkPort(value string) error {
	_, err := parsePort(value)
	return err
}

func parsePort(value string) (int, error) {
	port, err := strconv.ParseUint(value, 10, 16)
	if err == nil && port == 0 {
		return 0, errors.New("port 0")
	}
	return int(port), err
}

// splitList splits comma-separated words and drops empty ones.
func splitList(value string) []string {
	var words []string
	for word := range strings.SplitSeq(value, ",") {
		if word = strings.TrimSpace(word); word != "" {
			words = append(words, word)
		}
	}
	return words
}
