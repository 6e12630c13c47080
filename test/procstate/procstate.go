// Package procstate tells, for tests, when a process that was sent SIGSTOP stands still.
package procstate

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
)

// AllThreadsStopped tells whether each thread of a process stands still. Guards against a test that takes a process as
// stopped once the signal was sent: its other threads run on until one of them has taken the signal, which
// can be milliseconds on a machine with other work.
func AllThreadsStopped(pid int) bool {
	all, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, path := range all {
		stat, err := os.ReadFile(path)
		if os.IsNotExist(err) {
			continue // a thread that has ended meanwhile
		}
		name := bytes.LastIndexByte(stat, ')')
		if err != nil || name < 0 || !bytes.HasPrefix(stat[name:], []byte(") T")) {
			return false
		}
	}
	return err == nil && len(all) > 0
}
