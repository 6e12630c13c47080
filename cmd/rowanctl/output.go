package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// noValue is printed in a column without a value.
const noValue = "-"

// tableRow is a row of a table. With --json its JSON encoding is printed instead.
type tableRow interface {
	// cells returns the texts of the columns.
	cells() []string
}

// printTable prints rows as a table with a header, or as a JSON list.
func printTable[Row tableRow](s *session, header []string, rows []Row) error {
	if s.json {
		return s.printJSON(rows)
	}
	table := tabwriter.NewWriter(s.out, 0, 0, columnGap, ' ', 0)
	writeCells(table, header)
	for _, row := range rows {
		writeCells(table, row.cells())
	}
	return table.Flush()
}

// printLines prints the lines or, with --json, the value that they describe.
func (s *session) printLines(value any, lines ...string) error {
	if s.json {
		return s.printJSON(value)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(s.out, line); err != nil {
			return err
		}
	}
	return nil
}

// printJSON prints a value as indented JSON.
func (s *session) printJSON(value any) error {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// writeCells writes a row into the table's buffer. Errors can be ignored, since Flush returns them.
func writeCells(table *tabwriter.Writer, cells []string) {
	_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
}

// acknowledgement is the JSON output of a successful change.
type acknowledgement struct {
	Acknowledged bool   `json:"acknowledged"`
	Outcome      string `json:"outcome"`
}

// printAcknowledgement prints that a change was acknowledged.
func (s *session) printAcknowledgement(outcome string) error {
	value := acknowledgement{Acknowledged: true, Outcome: outcome}
	return s.printLines(value, "acknowledged: "+outcome)
}

// orNoValue returns the text, or noValue if it is empty.
func orNoValue(text string) string {
	if text == "" {
		return noValue
	}
	return text
}
