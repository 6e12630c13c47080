// Package procstate tells, for tests, whether a process that was sent SIGSTOP has stopped.
package procstate

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
)

// AllThreadsStopped reports whether every thread of a process is stopped. A process is not stopped once the signal is
// sent: its other threads run on until one of them has taken the signal, which can be milliseconds on a busy machine.
func AllThreadsStopped(pid int) bool {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, path := range paths {
		stat, err := os.ReadFile(path)
		if os.IsNotExist(err) {
			continue // a thread that has ended meanwhile
		}
		nameEnd := bytes.LastIndexByte(stat, ')') // the name may contain anything
		if err != nil || nameEnd < 0 || !bytes.HasPrefix(stat[nameEnd:], []byte(") T")) {
			return false
		}
	}
	return err == nil && len(paths) > 0
}
