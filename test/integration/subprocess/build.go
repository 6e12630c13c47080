package subprocess

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Build builds commands of the repository for a test's TestMain, as the deploy files do. It returns the folder that
// they are in and a function that removes it. root is the folder of go.mod, relative to the test's.
func Build(root string, commands ...string) (folder string, remove func(), err error) {
	return BuildWithOverlay(root, "", commands...)
}

// BuildWithOverlay is Build with files replaced or added by an overlay file of the go command; "" is none.
func BuildWithOverlay(root, overlay string, commands ...string) (folder string, remove func(), err error) {
	folder, err = os.MkdirTemp("", "harness")
	if err != nil {
		return "", nil, err
	}
	remove = func() { _ = os.RemoveAll(folder) } // a temporary folder
	args := []string{"build", "-ldflags=-linkmode=external", "-o", folder + string(filepath.Separator)}
	args = append(args, raceFlags()...)
	if overlay != "" {
		args = append(args, "-overlay", overlay)
	}
	for _, command := range commands {
		args = append(args, "./cmd/"+command)
	}
	build := exec.CommandContext(context.Background(), "go", args...)
	build.Dir = root
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		remove()
		return "", nil, fmt.Errorf("%w\n%s", err, out)
	}
	return folder, remove, nil
}

// raceFlags has the programs detect data races if ROWAN_RACE is set, at ten times the cost.
func raceFlags() []string {
	if os.Getenv("ROWAN_RACE") != "" {
		return []string{"-race"}
	}
	return nil
}
