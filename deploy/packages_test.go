// Package deploy checks the deploy files.
package deploy

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// deployFile is the part of system.toml that says how the system is built.
type deployFile struct {
	Build    string   `toml:"build"`
	Packages []string `toml:"packages"`
}

// systemPrograms are the commands that the build line builds.
var systemPrograms = regexp.MustCompile(`\./cmd/[a-z-]+`)

// TestSystemPackages_SufficeForTheBuild builds the programs as system.toml does, with no program in PATH but Go and
// those of the listed packages, of what they depend on and of the essential packages of a Debian system. Each C header
// and each file that the linker reads must come from the same packages.
func TestSystemPackages_SufficeForTheBuild(t *testing.T) {
	if _, err := exec.LookPath("dpkg-query"); err != nil {
		t.Skip("the packages are Debian's, this system is another one")
	}
	content, err := os.ReadFile("system.toml")
	require.NoError(t, err)
	var file deployFile
	require.NoError(t, toml.Unmarshal(content, &file))
	installed := readInstalledPackages(t)
	for _, name := range file.Packages {
		if _, ok := installed.byName[name]; !ok {
			t.Skipf("package %s isn't installed here", name)
		}
	}
	available := filesOf(t, installed.closure(file.Packages))
	environment := restrictedEnvironment(t, available)
	programs := systemPrograms.FindAllString(file.Build, -1)
	require.NotEmpty(t, programs, "the build line names the programs")

	t.Run("programs", func(t *testing.T) {
		// The C parts of the standard library are compiled anew; those of other modules may come from the cache.
		runGo(t, environment, "build", "-a", "-o", os.DevNull, "runtime/cgo")
		mapFile := filepath.Join(t.TempDir(), "link.map")
		arguments := []string{"build", "-ldflags=-linkmode=external -s -w -extldflags=-Wl,-Map=" + mapFile, "-o",
			t.TempDir() + "/"}
		runGo(t, environment, append(arguments, programs[0])...)
		for _, path := range linkedFiles(t, mapFile) {
			assert.True(t, available.contain(path), "the linker reads %s", path)
		}
	})
	t.Run("headers", func(t *testing.T) {
		headers := includedHeaders(t, environment, programs)
		require.NotEmpty(t, headers)
		for _, path := range headers {
			assert.True(t, available.contain(path), "a C file includes %s", path)
		}
	})
}

// TestSystemPackages_IncludeRootCertificates: Go reads them to download the modules.
func TestSystemPackages_IncludeRootCertificates(t *testing.T) {
	content, err := os.ReadFile("system.toml")
	require.NoError(t, err)
	var file deployFile
	require.NoError(t, toml.Unmarshal(content, &file))
	assert.Contains(t, file.Packages, "ca-certificates")
}

// debianPackage is an installed package.
type debianPackage struct {
	essential    bool
	dependencies []string // each with its alternatives apart
}

// installedPackages are the packages of this machine.
type installedPackages struct {
	byName    map[string]debianPackage
	providers map[string][]string // by virtual package
}

var dependencyName = regexp.MustCompile(`[a-z0-9][a-z0-9+.-]*`)

func readInstalledPackages(t *testing.T) *installedPackages {
	t.Helper()
	const format = "${Package}\t${Essential}\t${Pre-Depends}, ${Depends}\t${Provides}\n"
	listed, err := exec.CommandContext(t.Context(), "dpkg-query", "-W", "-f", format).Output()
	require.NoError(t, err)
	installed := &installedPackages{byName: map[string]debianPackage{}, providers: map[string][]string{}}
	lines := bufio.NewScanner(bytes.NewReader(listed))
	for lines.Scan() {
		fields := strings.Split(lines.Text(), "\t")
		require.Len(t, fields, 4)
		described := debianPackage{essential: fields[1] == "yes"}
		for _, alternatives := range strings.Split(fields[2], ",") {
			for _, alternative := range strings.Split(alternatives, "|") {
				if name := dependencyName.FindString(alternative); name != "" {
					described.dependencies = append(described.dependencies, name)
				}
			}
		}
		installed.byName[fields[0]] = described
		for _, provided := range strings.Split(fields[3], ",") {
			virtual := dependencyName.FindString(provided)
			installed.providers[virtual] = append(installed.providers[virtual], fields[0])
		}
	}
	return installed
}

// closure returns the packages, the essential ones, and all that they depend on.
func (p *installedPackages) closure(names []string) map[string]bool {
	pending := append([]string(nil), names...)
	for name, described := range p.byName {
		if described.essential {
			pending = append(pending, name)
		}
	}
	found := map[string]bool{}
	for len(pending) > 0 {
		name := pending[0]
		pending = pending[1:]
		described, isInstalled := p.byName[name]
		if found[name] {
			continue
		}
		if !isInstalled {
			pending = append(pending, p.providers[name]...)
			delete(p.providers, name) // once
			continue
		}
		found[name] = true
		pending = append(pending, described.dependencies...)
	}
	return found
}

// fileSet is a set of paths. The folders of a merged /usr are in it under either name.
type fileSet map[string]bool

// filesOf returns the files of packages.
func filesOf(t *testing.T, packages map[string]bool) fileSet {
	t.Helper()
	files := fileSet{}
	for name := range packages {
		listed, err := exec.CommandContext(t.Context(), "dpkg-query", "-L", name).Output()
		require.NoError(t, err)
		for path := range strings.Lines(string(listed)) {
			path = strings.TrimPrefix(strings.TrimSpace(path), "/usr")
			files[path] = true
			files["/usr"+path] = true
		}
	}
	return files
}

// contain reports whether a path, or the file that it leads to, is in the set.
func (f fileSet) contain(path string) bool {
	resolved, err := filepath.EvalSymlinks(path)
	return f[path] || err == nil && f[resolved]
}

// restrictedEnvironment returns an environment whose PATH has the programs among some files, and Go.
func restrictedEnvironment(t *testing.T, files fileSet) []string {
	t.Helper()
	folder := t.TempDir()
	for path := range files {
		if base := filepath.Base(filepath.Dir(path)); base == "bin" || base == "sbin" {
			_ = os.Symlink(path, filepath.Join(folder, filepath.Base(path))) // both names of a merged /usr
		}
	}
	goProgram, err := exec.LookPath("go")
	require.NoError(t, err)
	goProgram, err = filepath.EvalSymlinks(goProgram)
	require.NoError(t, err)
	require.NoError(t, os.Symlink(goProgram, filepath.Join(folder, "go")))
	environment := append(os.Environ(), "PATH="+folder, "CGO_ENABLED=1", "GOROOT="+filepath.Dir(filepath.Dir(goProgram)))
	return environment
}

// runGo runs the go command at the repository's root.
func runGo(t *testing.T, environment []string, arguments ...string) []byte {
	t.Helper()
	command := exec.CommandContext(t.Context(), "go", arguments...)
	command.Dir = ".."
	command.Env = environment
	var problems bytes.Buffer
	command.Stderr = &problems
	output, err := command.Output()
	require.NoError(t, err, "%s", problems.String())
	return output
}

// linkedFiles returns the files outside of temporary folders that a linker's map file says were read.
func linkedFiles(t *testing.T, mapFile string) (paths []string) {
	t.Helper()
	content, err := os.ReadFile(mapFile)
	require.NoError(t, err)
	for line := range strings.Lines(string(content)) {
		path, isLoaded := strings.CutPrefix(strings.TrimSpace(line), "LOAD ")
		if isLoaded && strings.HasPrefix(path, "/") && !strings.HasPrefix(path, os.TempDir()) {
			paths = append(paths, filepath.Clean(path))
		}
	}
	require.NotEmpty(t, paths)
	slices.Sort(paths)
	return slices.Compact(paths)
}

// cPackage is a Go package with C files, as go list describes it.
type cPackage struct {
	Dir       string
	CFiles    []string
	CgoCFLAGS []string
}

// includedHeaders returns the headers outside of their own folders that the programs' C files include.
func includedHeaders(t *testing.T, environment, programs []string) (paths []string) {
	t.Helper()
	goRoot := strings.TrimSpace(string(runGo(t, environment, "env", "GOROOT")))
	arguments := append([]string{"list", "-deps", "-json=Dir,CFiles,CgoCFLAGS"}, programs...)
	decoder := json.NewDecoder(bytes.NewReader(runGo(t, environment, arguments...)))
	for decoder.More() {
		var described cPackage
		require.NoError(t, decoder.Decode(&described))
		for _, file := range described.CFiles {
			flags := append([]string{"-M", "-I", described.Dir}, described.CgoCFLAGS...)
			output, err := exec.CommandContext(t.Context(), "gcc", append(flags, filepath.Join(described.Dir, file))...).Output()
			if err != nil {
				continue // a file of the standard library with headers that the build generates
			}
			for _, word := range strings.Fields(string(output)) {
				if strings.HasPrefix(word, "/usr/") && !strings.HasPrefix(word, goRoot) {
					paths = append(paths, filepath.Clean(word))
				}
			}
		}
	}
	slices.Sort(paths)
	return slices.Compact(paths)
}
