// Package subprocess starts programs of the repository as children of a test, ends them with it, and watches what they
// write.
package subprocess

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// Build builds commands of the repository for a test's TestMain, as the deploy files do, and returns the folder that
// they are in and what removes it. root is where go.mod is, as seen from the test.
func Build(root string, commands ...string) (folder string, remove func(), err error) {
	return BuildWithOverlay(root, "", commands...)
}

// BuildWithOverlay does the same with files replaced or added by an overlay file of the go command; empty: none.
func BuildWithOverlay(root, overlay string, commands ...string) (folder string, remove func(), err error) {
	folder, err = os.MkdirTemp("", "harness")
	if err != nil {
		return "", nil, err
	}
	args := append([]string{"build", "-ldflags=-linkmode=external", "-o", folder + string(filepath.Separator)},
		raceFlags()...)
	if overlay != "" {
		args = append(args, "-overlay", overlay)
	}
	for _, command := range commands {
		args = append(args, "./cmd/"+command)
	}
	build := exec.Command("go", args...)
	build.Dir = root
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		os.RemoveAll(folder)
		return "", nil, fmt.Errorf("%w\n%s", err, out)
	}
	return folder, func() { os.RemoveAll(folder) }, nil
}

// raceFlags: ROWAN_RACE=1 has members tell of data races, at ten times the cost.
func raceFlags() []string {
	if os.Getenv("ROWAN_RACE") != "" {
		return []string{"-race"}
	}
	return nil
}

// Process is one life of a program.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended and its output is read
}

// startRequests are done by one thread that never ends: a child is killed when the thread that started it ends, and
// so none outlives a test that is cut off.
var startRequests = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range startRequests {
			start()
		}
	}()
}

// Start starts a program with arguments. Its environment is the given one alone, its output goes to out. It is
// killed when the test's own process ends.
func Start(path string, arguments, env []string, out io.Writer) (*Process, error) {
	p := &Process{cmd: exec.Command(path, arguments...), done: make(chan struct{})}
	p.cmd.Env, p.cmd.Stdout, p.cmd.Stderr = env, out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	startRequests <- func() { done <- p.cmd.Start() }
	if err := <-done; err != nil {
		return nil, err
	}
	go func() { p.cmd.Wait(); close(p.done) }()
	return p, nil
}

// PID is the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Done is closed when the process has ended and its output is read.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitStatus says how the process has ended; it is for after Over.
func (p *Process) ExitStatus() string { return p.cmd.ProcessState.String() }

// IsRunning tells whether it has not ended. A nil process never ran.
func (p *Process) IsRunning() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// AwaitExit waits until it has ended; false: not within that time.
func (p *Process) AwaitExit(within time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		return false
	}
}
