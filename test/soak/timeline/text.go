package timeline

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// The form of a timeline in a file is a line for its length and one for each event, as in
//
//	length 41.250
//	2.115 endpoint-signs-off targets=3 core-kills=2 core-outage=0.480
//	2.300 kill-fronts for=1.020 targets=0,2
//
// Times are seconds. Empty lines and what follows a # are left out.
const (
	keyLength     = "length"
	keyFor        = "for"
	keyTargets    = "targets"
	keyCoreKills  = "core-kills"
	keyCoreOutage = "core-outage"
	commentMark   = "#"
)

// Errors of a file that isn't a timeline.
var (
	errNoLength  = errors.New("the first line has to be its length")
	errTime      = errors.New("a time has to be seconds with up to three digits after the point")
	errField     = errors.New("a field has to be for, targets, core-kills or core-outage, with a value, and once")
	errTooShort  = errors.New("the timeline ends before its events")
	errEventForm = errors.New("an event has to have a time and a kind")
)

// LineError is a line of a file that can't be read, or whose event breaks a limit.
type LineError struct {
	Line int // from 1
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns what is wrong, without the place.
func (e *LineError) Unwrap() error { return e.Err }

// Write writes a timeline.
func (t Timeline) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s %s\n", keyLength, formatTime(t.Length)); err != nil {
		return err
	}
	for _, event := range t.Events {
		if _, err := fmt.Fprintln(w, event); err != nil {
			return err
		}
	}
	return nil
}

// String returns the event's line.
func (e Event) String() string {
	fields := []string{formatTime(e.At), string(e.Kind)}
	if e.For != 0 {
		fields = append(fields, keyFor+"="+formatTime(e.For))
	}
	if len(e.Targets) > 0 {
		numbers := make([]string, len(e.Targets))
		for i, number := range e.Targets {
			numbers[i] = strconv.Itoa(number)
		}
		fields = append(fields, keyTargets+"="+strings.Join(numbers, ","))
	}
	if e.CoreKills != 0 {
		fields = append(fields, fmt.Sprintf("%s=%d", keyCoreKills, e.CoreKills), keyCoreOutage+"="+formatTime(e.CoreOutage))
	}
	return strings.Join(fields, " ")
}

func formatTime(d time.Duration) string {
	return fmt.Sprintf("%d.%03d", d/time.Second, d%time.Second/time.Millisecond)
}

// Read reads a timeline for a system of a size. Its errors are a LineError or those of the reader.
func Read(r io.Reader, size Size) (Timeline, error) {
	t := Timeline{Size: size}
	lines := bufio.NewScanner(r)
	hasLength := false
	for number := 1; lines.Scan(); number++ {
		text, _, _ := strings.Cut(lines.Text(), commentMark)
		fields := strings.Fields(text)
		if len(fields) == 0 {
			continue
		}
		err := t.readLine(fields, hasLength)
		if err != nil {
			return Timeline{}, &LineError{Line: number, Err: err}
		}
		hasLength = true
	}
	if err := lines.Err(); err != nil {
		return Timeline{}, err
	}
	if !hasLength {
		return Timeline{}, &LineError{Line: 1, Err: errNoLength}
	}
	return t, nil
}

// readLine reads the length or an event, which it checks.
func (t *Timeline) readLine(fields []string, hasLength bool) (err error) {
	if !hasLength {
		if len(fields) != 2 || fields[0] != keyLength {
			return errNoLength
		}
		t.Length, err = parseTime(fields[1])
		return err
	}
	event, err := parseEvent(fields)
	if err != nil {
		return err
	}
	if err := t.Size.checkEvent(event, t.Events); err != nil {
		return err
	}
	if event.End() > t.Length {
		return errTooShort
	}
	t.Events = append(t.Events, event)
	return nil
}

func parseEvent(fields []string) (event Event, err error) {
	if len(fields) < 2 {
		return Event{}, errEventForm
	}
	if event.At, err = parseTime(fields[0]); err != nil {
		return Event{}, err
	}
	event.Kind = Kind(fields[1])
	seen := map[string]bool{}
	for _, field := range fields[2:] {
		key, value, found := strings.Cut(field, "=")
		if !found || seen[key] {
			return Event{}, fmt.Errorf("%w: %s", errField, field)
		}
		seen[key] = true
		if err := event.setField(key, value); err != nil {
			return Event{}, err
		}
	}
	return event, nil
}

func (e *Event) setField(key, value string) (err error) {
	switch key {
	case keyFor:
		e.For, err = parseTime(value)
	case keyTargets:
		e.Targets, err = parseNumbers(value)
	case keyCoreKills:
		e.CoreKills, err = parseNumber(value)
	case keyCoreOutage:
		e.CoreOutage, err = parseTime(value)
	default:
		err = fmt.Errorf("%w: %s", errField, key)
	}
	return err
}

func parseNumbers(text string) (numbers []int, err error) {
	for part := range strings.SplitSeq(text, ",") {
		number, err := parseNumber(part)
		if err != nil {
			return nil, err
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

func parseNumber(text string) (int, error) {
	number, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0, fmt.Errorf("%w: %s", errField, text)
	}
	return int(number), nil
}

// parseTime parses what formatTime returns; the digits after the point may be left out.
func parseTime(text string) (time.Duration, error) {
	whole, fraction, _ := strings.Cut(text, ".")
	seconds, err := strconv.ParseUint(whole, 10, 16)
	if err != nil || len(fraction) > 3 {
		return 0, fmt.Errorf("%w: %s", errTime, text)
	}
	millis := uint64(0)
	if fraction != "" {
		millis, err = strconv.ParseUint((fraction + "00")[:3], 10, 16)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %s", errTime, text)
	}
	return time.Duration(seconds)*time.Second + time.Duration(millis)*time.Millisecond, nil
}
