package operator

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// repositoryRoot is the folder of go.mod, relative to this package.
const repositoryRoot = "../.."

// contractRow matches a row of the table of calls in docs/contracts.md: method and path, program, file, test.
var contractRow = regexp.MustCompile("(?m)^\\| `([A-Z]+) (/[^`]*)` \\| (\\w+) \\| `([^`]+)` \\| (\\w+) \\|$")

// TestContracts_CallsAreServed guards against issue 78: the docs named a call that no handler served. Each call to a
// core member in docs/contracts.md must reach a handler, and the file and the test that its row names must exist.
func TestContracts_CallsAreServed(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs/contracts.md"))
	require.NoError(t, err)
	rows := contractRow.FindAllStringSubmatch(string(page), -1)
	require.GreaterOrEqual(t, len(rows), 11)
	tests := testNames(t)
	f := newFixture(t)
	for _, row := range rows {
		method, path, program, file, test := row[1], row[2], row[3], row[4], row[5]
		assert.FileExists(t, filepath.Join(repositoryRoot, file))
		assert.True(t, tests[test], "%s %s: no test %s", method, path, test)
		if program == "core" {
			response := f.call(method, path, "")
			assert.NotContains(t, response.Body.String(), `"code":418`, "%s %s isn't served", method, path)
		}
	}
}

// testNames returns the names of all tests below serving/.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	declaration := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir(filepath.Join(repositoryRoot, "serving"), func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range declaration.FindAllStringSubmatch(string(text), -1) {
			names[match[1]] = true
		}
		return err
	})
	require.NoError(t, err)
	return names
}
