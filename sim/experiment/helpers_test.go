package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/sim/engine"
)

// small returns the text of a scenario that runs in some milliseconds, with parts replaced.
func small(change ...string) string {
	return strings.NewReplacer(change...).Replace(`name = "small"
seed = 1
length = "8s"

[dispatchers]
count = 2
slots = 12
buffer = 100
rates_stated = true

[clients]
rate = 60
retries = 1

[destinations]
count = 6

[[event]]
name = "status"
target = "2s"
ttl = "10s"

[[kind]]
name = "shop"
endpoints = [1, 2]
answer = "100ms"
spread = 0.4
`)
}

func write(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	return path
}

func parsed(t *testing.T, text string) *engine.Scenario {
	t.Helper()
	s, err := Parse("small.toml", []byte(text))
	require.NoError(t, err)
	return s
}

func read(t *testing.T, dir, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, name))
	require.NoError(t, err)
	return string(text)
}
