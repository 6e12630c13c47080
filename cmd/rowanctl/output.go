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

// tableRow is a row of a table. Its JSON form is printed with --json.
type tableRow interface {
	// cells returns the texts of the columns.
	cells() []string
}

// printTable prints rows as a table with a header, or as a JSON list.
func printTable[Row tableRow](s *session, header []string, rows []Row) error {
	texts := make([][]string, 0, len(rows))
	for _, row := range rows {
		texts = append(texts, row.cells())
	}
	return s.print(rows, header, texts)
}

// print prints a value as JSON, or a table with the header and rows.
func (s *session) print(value any, header []string, rows [][]string) error {
	if s.json {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(s.out, 0, 0, columnGap, ' ', 0)
	writeCells(table, header)
	for _, row := range rows {
		writeCells(table, row)
	}
	return table.Flush()
}

// writeCells writes a row into the table's buffer. Its errors are those that Flush returns.
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
	return s.print(value, []string{"acknowledged: " + outcome}, nil)
}

// orNoValue returns the text, or noValue if it is empty.
func orNoValue(text string) string {
	if text == "" {
		return noValue
	}
	return text
}
