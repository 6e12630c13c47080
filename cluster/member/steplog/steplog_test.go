package steplog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/cluster/shardmap"
)

// TestUnconfirmed_LogsAStepOnceTaken guards against a step that is missing from the log because its proposal was not
// answered.
func TestUnconfirmed_LogsAStepOnceTaken(t *testing.T) {
	var written bytes.Buffer
	former := slog.Default()
	defer slog.SetDefault(former)
	slog.SetDefault(slog.New(slog.NewTextHandler(&written, nil)))
	count := func() int { return strings.Count(written.String(), `msg="move warming" range=3 move=7`) }

	var u Unconfirmed
	isWarming := func(r shardmap.Range) bool { return r.Move.Step == shardmap.StepWarming }
	planned := shardmap.Range{ID: 3, Move: shardmap.Move{ID: 7, Step: shardmap.StepPlanned}}
	warming := shardmap.Range{ID: 3, Move: shardmap.Move{ID: 7, Step: shardmap.StepWarming}}
	u.Confirm(warming)
	u.Add(3, "move warming", isWarming, "range", 3, "move", 7)
	u.Confirm(planned)
	u.Confirm(shardmap.Range{ID: 4, Move: warming.Move})
	assert.Zero(t, count())
	u.Confirm(warming)
	u.Confirm(warming)
	assert.Equal(t, 1, count())
	u.Add(3, "move warming", isWarming, "range", 3, "move", 7)
	u.Drop(3)
	u.Confirm(warming)
	assert.Equal(t, 1, count())
}
