package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLists_MatchTheCode fails if a setting, event or result code was added, changed or removed and its list in docs/
// wasn't generated again, or if the hand-written text of an entry is missing.
func TestLists_MatchTheCode(t *testing.T) {
	for _, list := range lists() {
		content, err := os.ReadFile(filepath.Join("..", "..", list.path))
		require.NoError(t, err)
		assert.Equal(t, list.render(string(content)), string(content), "%s: run make catalogue", list.path)
		assert.NotContains(t, string(content), "| "+todo+" |", "%s: write what to do", list.path)
	}
}

func TestList_RenderKeepsHandwrittenTexts(t *testing.T) {
	l := list{introduction: "# Title", columns: []string{"Code", "Message", "What to do"}, hasHandwrittenColumn: true,
		rows: [][]string{{"1", "one"}, {"3", "three | of a kind"}}}
	previous := "# Old\n\n| Code | Message | What to do |\n|---|---|---|\n" +
		"| 1 | uno | Wait. |\n| 2 | two | Gone. |\n"
	rendered := l.render(previous)
	assert.Equal(t, "# Title\n\n| Code | Message | What to do |\n|---|---|---|\n"+
		"| 1 | one | Wait. |\n| 3 | three \\| of a kind | TODO |\n", rendered)
	assert.Equal(t, rendered, l.render(rendered))
}
