// Package mutants takes guards of the control plane out of the code, one at a time, and requires that a test fails.
package mutants

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// parallelMutants bounds how many mutants are tested at once; each builds and runs a package's tests.
var parallelMutants = max(1, runtime.GOMAXPROCS(0)/2)

// buildFailed stands in the output of go test where a mutant doesn't compile.
const buildFailed = "[build failed]"

// TestMutants_AreFoundByTests runs the tests of each mutant. A mutant that no test finds means that its guard could be
// lost unnoticed.
func TestMutants_AreFoundByTests(t *testing.T) {
	root, err := filepath.Abs("../../..")
	require.NoError(t, err)
	slots := make(chan struct{}, parallelMutants)
	for _, m := range slices.Concat(mutants, endpointMutants, rolloutMutants) {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			output, err := runTests(t, root, m)
			require.NotContains(t, output, buildFailed)
			require.Error(t, err, "no test fails")
			failed := failedTests(output)
			assert.NotEmpty(t, failed, "%s", output)
			t.Logf("found by %s", strings.Join(failed, ", "))
		})
	}
}

// runTests runs the mutant's tests with the changed file in place of the repository's.
func runTests(t *testing.T, root string, m mutant) (output string, err error) {
	t.Helper()
	path := filepath.Join(root, m.file)
	source, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, 1, strings.Count(string(source), m.old), "%s has the guard in one place", m.file)
	changed := filepath.Join(t.TempDir(), filepath.Base(m.file))
	require.NoError(t, os.WriteFile(changed, []byte(strings.Replace(string(source), m.old, m.replace, 1)), 0o600))
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{path: changed}})
	require.NoError(t, err)
	overlayFile := filepath.Join(t.TempDir(), "overlay.json")
	require.NoError(t, os.WriteFile(overlayFile, overlay, 0o600))
	// Failed histories of property tests are not written into the repository.
	arguments := []string{"test", "-count=1", "-vet=off", "-failfast", "-timeout=5m", "-overlay", overlayFile,
		"-run", "^(" + m.tests + ")", "./" + m.pkg}
	if importsRapid(t, filepath.Join(root, m.pkg)) {
		arguments = append(arguments, "-rapid.nofailfile")
	}
	command := exec.CommandContext(t.Context(), "go", arguments...)
	command.Dir = root
	written, err := command.CombinedOutput()
	return string(written), err
}

// importsRapid reports whether a package's tests have the flags of the property testing library.
func importsRapid(t *testing.T, folder string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	require.NoError(t, err)
	for _, file := range files {
		source, err := os.ReadFile(file)
		require.NoError(t, err)
		if strings.Contains(string(source), `"pgregory.net/rapid"`) {
			return true
		}
	}
	return false
}

// failedTests returns the names of the top-level tests that failed.
func failedTests(output string) (names []string) {
	for line := range strings.Lines(output) {
		if rest, failed := strings.CutPrefix(line, "--- FAIL: "); failed {
			name, _, _ := strings.Cut(rest, " ")
			names = append(names, name)
		}
	}
	return names
}
