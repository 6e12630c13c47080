package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fileChange is what happens to the file before a look.
type fileChange struct {
	name    string
	content string // empty: the file is removed
	applied int    // calls of apply after the look, from the start
	logged  string // what the log then holds; empty: nothing new
}

func TestWatcher_FollowsTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.conf")
	var log bytes.Buffer
	var applied []*Process
	logger := zerolog.New(&log)
	w := watcher{path: path, log: &logger, apply: func(p *Process) { applied = append(applied, p) }}
	for _, step := range []fileChange{
		{"first", minimalSettings, 1, ""},
		{"the same again", minimalSettings, 1, ""},
		{"new seeds", minimalSettings + "seed_nodes=10.0.0.2:80\n", 2, `"event":100`},
		{"wrong", minimalSettings + "seed_nodes=elsewhere\n", 2, `"event":101`},
		{"wrong and not told again", minimalSettings + "seed_nodes=elsewhere\n", 2, ""},
		{"gone", "", 2, `"event":101`},
		{"still gone", "", 2, ""},
		{"back", minimalSettings, 3, `"event":100`},
	} {
		if step.content == "" {
			_ = os.Remove(path)
		} else {
			require.NoError(t, os.WriteFile(path, []byte(step.content), 0o600))
		}
		log.Reset()
		w.reload()
		assert.Len(t, applied, step.applied, step.name)
		if step.logged == "" {
			assert.Empty(t, log.String(), step.name)
		}
		assert.Contains(t, log.String(), step.logged, step.name)
	}
	assert.Equal(t, []string{"10.0.0.2:80"}, applied[1].Seeds)
}
