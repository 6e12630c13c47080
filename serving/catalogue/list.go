package main

import (
	"strings"
)

// todo is the placeholder for the hand-written text of a new entry.
const todo = "TODO"

// list is one file in docs/: an introduction and a Markdown table. The table's first column identifies an entry; its
// last column is written by hand if hasHandwrittenColumn is set.
type list struct {
	path                 string // relative to the root of the repository
	introduction         string
	columns              []string
	rows                 [][]string // without the hand-written column
	hasHandwrittenColumn bool
}

// render returns the file's new content, with the hand-written texts of its previous content.
func (l list) render(previous string) string {
	texts := handwrittenTexts(previous)
	var file strings.Builder
	file.WriteString(l.introduction + "\n\n")
	writeRow(&file, l.columns)
	file.WriteString(strings.Repeat("|---", len(l.columns)) + "|\n")
	for _, row := range l.rows {
		if !l.hasHandwrittenColumn {
			writeRow(&file, row)
			continue
		}
		text, found := texts[escapeCell(row[0])]
		if !found {
			text = todo
		}
		writeRow(&file, row, text)
	}
	return file.String()
}

// writeRow writes a row of the table. The cells are escaped; raw cells follow them unchanged.
func writeRow(file *strings.Builder, cells []string, raw ...string) {
	for _, cell := range cells {
		file.WriteString("| " + escapeCell(cell) + " ")
	}
	for _, cell := range raw {
		file.WriteString("| " + cell + " ")
	}
	file.WriteString("|\n")
}

// escapeCell escapes the separator of columns in a cell.
func escapeCell(cell string) string { return strings.ReplaceAll(cell, "|", `\|`) }

// handwrittenTexts returns the texts in the last column of a file's table, by the text in the first column.
func handwrittenTexts(file string) map[string]string {
	texts := map[string]string{}
	for line := range strings.Lines(file) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "| ") || !strings.HasSuffix(line, " |") {
			continue
		}
		row := strings.TrimSuffix(strings.TrimPrefix(line, "| "), " |")
		cells := strings.Split(row, " | ")
		texts[cells[0]] = cells[len(cells)-1]
	}
	return texts
}
