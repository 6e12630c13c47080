package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"rowanlink/serving/errcode"
	"rowanlink/serving/event"
	"rowanlink/serving/settings"
)

// handwrittenNote ends the introduction of a list with a hand-written column.
const handwrittenNote = "\n\nThis list is written by `make catalogue`. Only the last column is written by hand."

// lists returns all lists, built from the tables in the code.
func lists() []list { return []list{settingsList(), eventList(), resultCodeList()} }

func settingsList() list {
	l := list{
		path: "docs/settings.md",
		introduction: "# Settings of a process\n\nEach process of the serving system reads the file that `" +
			settings.EnvironmentVariable + "` or `--settings` names: lines of the form `a.b=value`. Unknown keys are " +
			"ignored. A program checks the file for changes every two seconds and on SIGHUP; only a change of the " +
			"seeds takes effect without a restart. `rowanctl settings check FILE` reports all errors in a file." +
			"\n\nThis list is written by `make catalogue`.",
		columns: []string{"Setting", "Value", "Default", "Meaning"},
	}
	for _, setting := range settings.Table() {
		key, defaultText := setting.Key, setting.Default
		if setting.Pattern {
			key += "NAME"
		}
		if setting.Required {
			defaultText = "(required)"
		}
		l.rows = append(l.rows, []string{"`" + key + "`", setting.Type, defaultText, setting.Doc})
	}
	return l
}

func eventList() list {
	l := list{
		path: "docs/log-events.md",
		introduction: "# Log events\n\nThe programs of the serving system log JSON lines. The field `event` holds " +
			"the number of an event in this list." + handwrittenNote,
		columns:              []string{"Event", "Level", "Message", "What to do"},
		hasHandwrittenColumn: true,
	}
	for _, kind := range sortedValues(event.All()) {
		l.rows = append(l.rows, []string{fmt.Sprint(kind.Code), kind.Level.String(), kind.Message})
	}
	return l
}

func resultCodeList() list {
	l := list{
		path: "docs/result-codes.md",
		introduction: "# Result codes\n\nErrors that the programs of the serving system return to callers have a " +
			"number: in texts as R and four digits, in JSON responses as `code`." + handwrittenNote,
		columns:              []string{"Code", "HTTP status", "Message", "What to do"},
		hasHandwrittenColumn: true,
	}
	for _, kind := range sortedValues(errcode.All()) {
		code := fmt.Sprintf("R%04d", kind.Code)
		l.rows = append(l.rows, []string{code, strconv.Itoa(kind.Status), kind.Message})
	}
	return l
}

// sortedValues returns the values of a map in the order of its keys.
func sortedValues[Key cmp.Ordered, Value any](all map[Key]Value) (values []Value) {
	for _, key := range slices.Sorted(maps.Keys(all)) {
		values = append(values, all[key])
	}
	return values
}
