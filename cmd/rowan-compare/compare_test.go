package main

import (
	"context"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newTestRepository makes a repository with one commit.
func newTestRepository(t *testing.T) string {
	folder := t.TempDir()
	require.NoError(t, os.MkdirAll(filepath.Join(folder, "journal"), 0o755))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "value"), []byte("1\n"), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "journal", "old"), []byte("{}"), 0o600))
	for _, arguments := range [][]string{{"init", "-q"}, {"add", "-A"},
		{"-c", "user.name=t", "-c", "user.email=t@example", "commit", "-q", "-m", "first"}} {
		run := exec.CommandContext(t.Context(), "git", arguments...)
		run.Dir = folder
		printed, err := run.CombinedOutput()
		require.NoError(t, err, "%s", printed)
	}
	return folder
}

// newTestBench makes a program in place of the bench: it writes a report with the value in the clone, and a journal
// entry.
func newTestBench(t *testing.T) string {
	file := filepath.Join(t.TempDir(), "bench")
	script := `#!/bin/sh
while [ $# -gt 0 ]; do case "$1" in --report) report="$2";; --seed) seed="$2";; esac; shift; done
value=$(cat value)
[ "$value" = 9 ] && { echo "no such day" >&2; exit 1; }
echo "{\"G\":0.$value,\"parts\":[[\"whole day\",0.7,0.$value]],\"prices\":[[\"probes\",3,0.01]],\"classes\":[{\"name\":\"chat\",\"worth\":0.5}],\"breaks\":{}}" > "$report"
echo "{}" > "journal/entry-$value-$seed"
`
	require.NoError(t, os.WriteFile(file, []byte(script), 0o700))
	return file
}

func TestRunAll_ComparesVariantsByPairs(t *testing.T) {
	top := newTestRepository(t)
	scratch := t.TempDir()
	patch := filepath.Join(scratch, "two.patch")
	require.NoError(t, os.WriteFile(patch, []byte("--- a/value\n+++ b/value\n@@ -1 +1 @@\n-1\n+2\n"), 0o600))
	variants, err := parseVariants(t.Context(), top, []string{"base=HEAD", "two=HEAD+" + patch})
	require.NoError(t, err)
	command := &compareCommand{Bench: newTestBench(t), Site: []string{"s.toml"}, Day: []string{"quiet"}, Seed: []int{1, 2}, Jobs: 2,
		Scratch: scratch, Why: "test"}
	results := command.runAll(t.Context(), top, command.listRuns(variants))
	require.Len(t, results, 4)
	var out strings.Builder
	writeTables(&out, variants, results)
	assert.Contains(t, out.String(), "two against base")
	assert.Contains(t, out.String(), "+0.1000")
	assert.Contains(t, out.String(), "+- 0.0000")
	assert.FileExists(t, filepath.Join(top, "journal", "entry-2-1"), "the entries of trials are kept")
	unchanged, err := os.ReadFile(filepath.Join(top, "value"))
	require.NoError(t, err)
	assert.Equal(t, "1\n", string(unchanged))
}

// TestRunAll_FailedRunIsReported: it has no report, and the other runs are made.
func TestRunAll_FailedRunIsReported(t *testing.T) {
	top := newTestRepository(t)
	require.NoError(t, os.WriteFile(filepath.Join(top, "value"), []byte("9\n"), 0o600))
	stash := func(ctx context.Context) []*variant {
		run := exec.CommandContext(ctx, "git", "config", "user.email", "t@example")
		run.Dir = top
		require.NoError(t, run.Run())
		run = exec.CommandContext(ctx, "git", "config", "user.name", "t")
		run.Dir = top
		require.NoError(t, run.Run())
		variants, err := parseVariants(ctx, top, []string{"base=HEAD", "nine=WORKTREE"})
		require.NoError(t, err)
		return variants
	}
	variants := stash(t.Context())
	command := &compareCommand{Bench: newTestBench(t), Site: []string{"s.toml"}, Day: []string{"quiet"}, Seed: []int{1}, Jobs: 1,
		Scratch: t.TempDir(), Why: "test"}
	results := command.runAll(t.Context(), top, command.listRuns(variants))
	require.NoError(t, results[0].err)
	require.Error(t, results[1].err)
	var out strings.Builder
	writeTables(&out, variants, results)
	assert.Contains(t, out.String(), "no result: s.toml-quiet-1-nine")
}

func TestParseVariants_Invalid(t *testing.T) {
	top := newTestRepository(t)
	for _, text := range []string{"HEAD", "=HEAD", "name=no-such-revision"} {
		_, err := parseVariants(t.Context(), top, []string{text})
		assert.Error(t, err, text)
	}
}

func TestStandardError_OfOneValueIsUnknown(t *testing.T) {
	assert.True(t, math.IsNaN(standardError([]float64{1})))
	assert.InDelta(t, 1, standardError([]float64{1, 3}), 1e-9)
}

func TestBenchReport_BrokenRule(t *testing.T) {
	broken := &benchReport{Breaks: map[string]any{"TWICE": 1}}
	assert.Contains(t, broken.failureText(), "TWICE")
	assert.Empty(t, (&benchReport{}).failureText())
}
