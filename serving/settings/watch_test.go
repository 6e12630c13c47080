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

// fileChange is a change of the file, and what the reload after it must do.
type fileChange struct {
	name    string
	content string // empty: the file is removed
	applied int    // calls of apply so far
	logged  string // what the reload logs; empty: nothing
}

func TestWatcher_FollowsTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.conf")
	var log bytes.Buffer
	var applied []*Process
	logger := zerolog.New(&log)
	w := watcher{path: path, log: &logger, apply: func(p *Process) { applied = append(applied, p) }}
	for _, step := range []fileChange{
		{"first", minimalSettings, 1, ""},
		{"unchanged", minimalSettings, 1, ""},
		{"new seeds", minimalSettings + "seed_nodes=10.0.0.2:80\n", 2, `"event":100`},
		{"invalid", minimalSettings + "seed_nodes=elsewhere\n", 2, `"event":101`},
		{"invalid and unchanged", minimalSettings + "seed_nodes=elsewhere\n", 2, ""},
		{"removed", "", 2, `"event":101`},
		{"still removed", "", 2, ""},
		{"restored", minimalSettings, 3, `"event":100`},
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
