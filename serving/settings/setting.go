package settings

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Setting is one line of the table that drives the reading and checking of a settings file.
type Setting struct {
	Key      string // as it stands in the file; Pattern tells that it is only a beginning
	Type     string // what a value looks like, for people
	Default  string // used where the file lacks the key
	Required bool   // the file must have the key, with a value
	Pattern  bool   // every key that begins with Key belongs to it
	Doc      string // one sentence

	// store checks a value and stores it. The error says what is wanted. For a pattern, name is the key's rest.
	store func(p *Process, name, value string) error
}

// The types of values, as the docs and errors name them.
const (
	typeText         = "text"
	typeBool         = "true or false"
	typeInteger      = "whole number, 0 or more"
	typeNumber       = "number, 0 or more"
	typeMilliseconds = "milliseconds, 0 or more"
	typeSeconds      = "seconds, 0 or more"
	typeIP           = "IP number"
	typeAddress      = "IP number:port"
	typeWords        = "words, joined by commas"
	typePorts        = "first and last port, joined by a comma"
	typeSeedList     = "IP number:port, joined by commas"
)

// maxDuration keeps a number of milliseconds or seconds within a time.Duration.
const maxDuration = 100 * 365 * 24 * time.Hour

func textSetting(key, doc string, field func(*Process) *string) Setting {
	read := func(p *Process, _, value string) error {
		*field(p) = value
		return nil
	}
	return Setting{Key: key, Type: typeText, Doc: doc, store: read}
}

func boolSetting(key, doc string, field func(*Process) *bool) Setting {
	read := func(p *Process, _, value string) error {
		parsed, err := strconv.ParseBool(strings.ToLower(value))
		*field(p) = parsed
		return err
	}
	return Setting{Key: key, Type: typeBool, Default: "false", Doc: doc, store: read}
}

func integerSetting(key, fallback, doc string, field func(*Process) *int) Setting {
	read := func(p *Process, _, value string) error {
		parsed, err := parseNumber(value)
		if err == nil && parsed != float64(int(parsed)) {
			return errors.New("not whole")
		}
		*field(p) = int(parsed)
		return err
	}
	return Setting{Key: key, Type: typeInteger, Default: fallback, Doc: doc, store: read}
}

func numberSetting(key, fallback, doc string, field func(*Process) *float64) Setting {
	read := func(p *Process, _, value string) (err error) {
		*field(p), err = parseNumber(value)
		return err
	}
	return Setting{Key: key, Type: typeNumber, Default: fallback, Doc: doc, store: read}
}

func millisecondsSetting(key, fallback, doc string, field func(*Process) *time.Duration) Setting {
	return durationSetting(key, typeMilliseconds, fallback, doc, time.Millisecond, field)
}

func secondsSetting(key, fallback, doc string, field func(*Process) *time.Duration) Setting {
	return durationSetting(key, typeSeconds, fallback, doc, time.Second, field)
}

func durationSetting(key, kind, fallback, doc string, unit time.Duration, field func(*Process) *time.Duration) Setting {
	read := func(p *Process, _, value string) error {
		parsed, err := parseNumber(value)
		if err == nil && parsed > float64(maxDuration/unit) {
			return errors.New("too long")
		}
		*field(p) = time.Duration(parsed * float64(unit))
		return err
	}
	return Setting{Key: key, Type: kind, Default: fallback, Doc: doc, store: read}
}

func addressSetting(key, doc string, field func(*Process) *string) Setting {
	read := func(p *Process, _, value string) error {
		*field(p) = value
		return checkAddress(value)
	}
	return Setting{Key: key, Type: typeAddress, Doc: doc, store: read}
}

// required marks a setting without which a process can't work.
func required(s Setting) Setting {
	s.Required = true
	return s
}

// parseNumber reads a finite number that isn't negative.
func parseNumber(value string) (float64, error) {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, err
	}
	const most = 1e15 // exact as float64, and far above every setting; not a number fails the comparison
	if !(parsed >= 0 && parsed <= most) {
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
		return errors.New("no IP number")
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

// splitList reads words joined by commas; an empty value is no word.
func splitList(value string) []string {
	var words []string
	for word := range strings.SplitSeq(value, ",") {
		if word = strings.TrimSpace(word); word != "" {
			words = append(words, word)
		}
	}
	return words
}
