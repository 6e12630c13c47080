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

const generated = "\n\nThis list is written by `make catalogue`. Only the last column is written by hand."

// lists returns the files that the code determines.
func lists() []list { return []list{settingsList(), eventList(), resultList()} }

func settingsList() list {
	l := list{
		path: "docs/settings.md",
		intro: "# Settings of a process\n\nEach process of the serving system reads the file that `" +
			settings.EnvironmentVariable + "` or `--settings` names: lines of the form `a.b=value`. Fields that " +
			"aren't listed here are ignored. A program looks at the file every two seconds and on SIGHUP; what it " +
			"then takes up is the list of seeds. `rowanctl settings check FILE` tells everything that is wrong " +
			"with a file.\n\nThis list is written by `make catalogue`.",
		columns: []string{"Setting", "Value", "Default", "Meaning"},
	}
	for _, setting := range settings.Table() {
		key, fallback := setting.Key, setting.Default
		if setting.Pattern {
			key += "NAME"
		}
		if setting.Required {
			fallback = "(required)"
		}
		l.rows = append(l.rows, []string{"`" + key + "`", setting.Type, fallback, setting.Doc})
	}
	return l
}

func eventList() list {
	l := list{
		path: "docs/log-events.md",
		intro: "# Log events\n\nThe programs of the serving system log JSON lines. The field `event` holds the " +
			"number under which an event stands here." + generated,
		columns: []string{"Event", "Level", "Message", "What to do"},
		byHand:  true,
	}
	for _, kind := range sorted(event.All()) {
		l.rows = append(l.rows, []string{fmt.Sprint(kind.Code), kind.Level.String(), kind.Message})
	}
	return l
}

func resultList() list {
	l := list{
		path: "docs/result-codes.md",
		intro: "# Result codes\n\nErrors that the programs of the serving system give to callers carry a number: " +
			"in texts as R and four digits, in JSON answers as `code`." + generated,
		columns: []string{"Code", "HTTP status", "Message", "What to do"},
		byHand:  true,
	}
	for _, kind := range sorted(errcode.All()) {
		code := fmt.Sprintf("R%04d", kind.Code)
		l.rows = append(l.rows, []string{code, strconv.Itoa(kind.Status), kind.Message})
	}
	return l
}

// sorted returns the values of a map in the order of its keys.
func sorted[Key cmp.Ordered, Value any](all map[Key]Value) (values []Value) {
	for _, key := range slices.Sorted(maps.Keys(all)) {
		values = append(values, all[key])
	}
	return values
}
