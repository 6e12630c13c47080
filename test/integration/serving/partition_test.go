package serving

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/integration/subprocess"
)

// buildPartitionable builds the programs so that their connections can be partitioned: their calls to each other go
// through testdata/cut.go.txt. No file of the repository is changed.
func buildPartitionable(t *testing.T) (folder string) {
	t.Helper()
	root, err := filepath.Abs("../../..")
	require.NoError(t, err)
	calls := filepath.Join(root, "serving", "rpc", "rpc.go")
	source, err := os.ReadFile(calls)
	require.NoError(t, err)
	dialer := regexp.MustCompile(`DialContext:\s+dialer\.DialContext,`)
	require.Len(t, dialer.FindAll(source, -1), 1, "rpc.go dials in one place")
	changed := dialer.ReplaceAll(source, []byte("DialContext: cuttable(dialer.DialContext),"))

	work := t.TempDir()
	replaced := filepath.Join(work, "rpc.go")
	require.NoError(t, os.WriteFile(replaced, changed, 0o600))
	added, err := filepath.Abs("testdata/cut.go.txt")
	require.NoError(t, err)
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{calls: replaced,
		filepath.Join(root, "serving", "rpc", "cut.go"): added}})
	require.NoError(t, err)
	path := filepath.Join(work, "overlay.json")
	require.NoError(t, os.WriteFile(path, overlay, 0o600))
	folder, remove, err := subprocess.BuildWithOverlay("../../..", path, programCore, programAgent, programProxy)
	require.NoError(t, err)
	t.Cleanup(remove)
	return folder
}

// setUnreachable sets the machines that a node's calls can't reach, replacing the previous set.
func (n *node) setUnreachable(machines ...*node) {
	n.t.Helper()
	var hosts strings.Builder
	for _, each := range machines {
		hosts.WriteString(each.ip + "\n")
	}
	require.NoError(n.t, os.WriteFile(n.unreachableFile+".new", []byte(hosts.String()), 0o600))
	require.NoError(n.t, os.Rename(n.unreachableFile+".new", n.unreachableFile))
}

// othersThan returns all cores and agents but one.
func (c *cluster) othersThan(one *node) (others []*node) {
	for _, n := range append(append([]*node(nil), c.cores...), c.agents...) {
		if n != one {
			others = append(others, n)
		}
	}
	return others
}

// partitionSpan is how long a core is partitioned.
const partitionSpan = 20 * time.Second

// TestPartitionedCore partitions a core from all other machines, in both directions and in each one, or from the other
// cores alone, while operators and clients reach all. Two operators continue to send changes through all cores, and the partitioned core is read
// continuously: it returns the newest configuration or no response.
func TestPartitionedCore(t *testing.T) {
	folder := buildPartitionable(t)
	for _, direction := range []struct {
		name                  string
		cantSend, cantReceive bool
		coresOnly             bool // all agents reach both sides
	}{
		{name: "both directions", cantSend: true, cantReceive: true},
		{name: "outgoing", cantSend: true},
		{name: "incoming", cantReceive: true},
		{name: "the other cores only", cantSend: true, cantReceive: true, coresOnly: true},
	} {
		t.Run(direction.name, func(t *testing.T) {
			t.Parallel()
			c := startClusterWithPrograms(t, folder)
			partitioned := c.cores[0]
			others := c.othersThan(partitioned)
			if direction.coresOnly {
				others = c.cores[1:]
			}
			if direction.cantSend {
				partitioned.setUnreachable(others...)
			}
			if direction.cantReceive {
				for _, other := range others {
					other.setUnreachable(partitioned)
				}
			}
			var acknowledged atomic.Uint64
			acknowledged.Store(c.version)
			read := startReading(t, partitioned, &acknowledged)
			for until := time.Now().Add(partitionSpan); time.Now().Before(until); {
				c.raceReplacements(c.version + 2)
				acknowledged.Store(c.version)
			}
			partitioned.setUnreachable()
			for _, other := range c.othersThan(partitioned) {
				other.setUnreachable()
			}
			c.raceReplacements(c.version + 2)
			acknowledged.Store(c.version)
			c.assertReadsNewest(partitioned)
			t.Logf("%d reads, %d answered, version %d", read.stop(), read.answered.Load(), c.version)
			for _, n := range append(append([]*node(nil), c.cores...), c.agents...) {
				c.awaitVersion(n)
			}
		})
	}
}

// continuousRead reads a core's configuration continuously.
type continuousRead struct {
	answered      atomic.Int64
	reads         int
	stopRequested chan struct{}
	stopped       chan struct{}
}

// startReading starts to read: no configuration may be older than the one acknowledged before the read.
func startReading(t *testing.T, n *node, acknowledged *atomic.Uint64) *continuousRead {
	r := &continuousRead{stopRequested: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(r.stopped)
		for {
			select {
			case <-r.stopRequested:
				return
			case <-time.After(pollInterval):
			}
			r.reads++
			newest := acknowledged.Load()
			status, body := n.call(operatorRequest{method: http.MethodGet, path: "/Settings.Read"})
			if status != http.StatusOK {
				continue
			}
			r.answered.Add(1)
			var document struct {
				Edition uint64 `json:"edition"`
			}
			if assert.NoError(t, json.Unmarshal([]byte(body), &document)) {
				assert.GreaterOrEqual(t, document.Edition, newest, "an older configuration was returned")
			}
		}
	}()
	return r
}

// stop ends the reads and returns their number.
func (r *continuousRead) stop() int {
	close(r.stopRequested)
	<-r.stopped
	return r.reads
}
