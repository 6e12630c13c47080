package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

// CPUTime returns the processor time that the member's current process has used.
func (m *Member) CPUTime() time.Duration {
	m.cluster.t.Helper()
	// Of the fields of proc(5) after the name, utime and stime; Linux reports hundredths of a second to programs.
	const userTime, systemTime, ticksPerSecond = 11, 12, 100
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.PID()))
	require.NoError(m.cluster.t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	var ticks int64
	for _, field := range []string{fields[userTime], fields[systemTime]} {
		n, err := strconv.ParseInt(field, 10, 64)
		require.NoError(m.cluster.t, err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

// ResidentMemory returns the memory that the member's current process holds, in bytes.
func (m *Member) ResidentMemory() int64 {
	m.cluster.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.PID()))
	require.NoError(m.cluster.t, err)
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			require.NoError(m.cluster.t, err)
			return kib << 10
		}
	}
	m.cluster.t.Fatalf("no VmRSS of %s", m.Name)
	return 0
}
