package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// CPUTime is what a member's process has used of the cores, in this life.
func (m *Member) CPUTime() time.Duration {
	m.cluster.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.PID()))
	if err != nil {
		m.cluster.t.Fatal(err)
	}
	const user, perSecond = 11, 100 // of what follows the name; Linux counts hundredths for programs
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var ticks int64
	for _, field := range f[user : user+2] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			m.cluster.t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / perSecond
}

// ResidentMemory is how much memory its process holds now, in bytes.
func (m *Member) ResidentMemory() int64 {
	m.cluster.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.PID()))
	if err != nil {
		m.cluster.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmRSS:" {
			kb, err := strconv.ParseInt(f[1], 10, 64)
			if err != nil {
				m.cluster.t.Fatal(err)
			}
			return kb << 10
		}
	}
	m.cluster.t.Fatalf("%s tells no VmRSS", m.Name)
	return 0
}
