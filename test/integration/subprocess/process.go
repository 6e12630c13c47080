// Package subprocess builds programs of the repository, runs them as child processes of a test that end with it, and
// records what they write.
package subprocess

import (
	"context"
	"io"
	"os/exec"
	"runtime"
	"syscall"
	"time"
)

// Process is one run of a program.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed once the process has ended and its output is read
}

// startRequests are served by one locked thread that never ends. The kernel sends Pdeathsig when the thread that
// started a child ends, not the process, so that a child would die with any other thread of the Go runtime.
var startRequests = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range startRequests {
			start()
		}
	}()
}

// Start starts a program with arguments. Its environment is the given one alone, and its output goes to out. It is
// killed when the test's own process ends, also when that is killed.
func Start(path string, arguments, env []string, out io.Writer) (*Process, error) {
	p := &Process{
		cmd:  exec.CommandContext(context.Background(), path, arguments...), // tests end it by signals
		done: make(chan struct{}),
	}
	p.cmd.Env = env
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	startRequests <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait() // ExitStatus has the result
		close(p.done)
	}()
	return p, nil
}

// PID returns the ID of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Done returns a channel that is closed once the process has ended and its output is read.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitStatus describes how the process ended. It may be called once Done is closed.
func (p *Process) ExitStatus() string { return p.cmd.ProcessState.String() }

// IsRunning reports whether the process has not ended. A nil process never ran.
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

// AwaitExit waits until the process has ended, and returns false if it doesn't within a time.
func (p *Process) AwaitExit(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}
