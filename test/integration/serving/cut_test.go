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

// buildCuttable builds the programs with links that can be cut: their calls to each other go through
// testdata/cut.go.txt. No file of the repository is changed.
func buildCuttable(t *testing.T) (folder string) {
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

// cannotReach names the machines that a node's calls don't reach from now on, in place of those before.
func (n *node) cannotReach(machines ...*node) {
	n.t.Helper()
	var hosts strings.Builder
	for _, each := range machines {
		hosts.WriteString(each.ip + "\n")
	}
	require.NoError(n.t, os.WriteFile(n.cut+".new", []byte(hosts.String()), 0o600))
	require.NoError(n.t, os.Rename(n.cut+".new", n.cut))
}

// others are all cores and agents but one.
func (c *cluster) others(one *node) (others []*node) {
	for _, n := range append(append([]*node(nil), c.cores...), c.agents...) {
		if n != one {
			others = append(others, n)
		}
	}
	return others
}

// cutSpan is how long a core is cut off.
const cutSpan = 20 * time.Second

// TestCoreThatIsCutOff cuts a core off from all other machines, both ways and each way alone, while operators and
// clients reach all. Two operators go on ordering through all cores, and the core that is cut off is read all the time:
// it answers with the newest configuration or not at all.
func TestCoreThatIsCutOff(t *testing.T) {
	folder := buildCuttable(t)
	for _, way := range []struct {
		name           string
		mute, deafened bool
	}{{"both ways", true, true}, {"it reaches nobody", true, false}, {"nobody reaches it", false, true}} {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			c := beginWith(t, folder)
			off := c.cores[0]
			if way.mute {
				off.cannotReach(c.others(off)...)
			}
			if way.deafened {
				for _, other := range c.others(off) {
					other.cannotReach(off)
				}
			}
			var acknowledged atomic.Uint64
			acknowledged.Store(c.version)
			read := readAllTheTime(t, off, &acknowledged)
			for until := time.Now().Add(cutSpan); time.Now().Before(until); {
				c.raceReplacements(c.version + 2)
				acknowledged.Store(c.version)
			}
			off.cannotReach()
			for _, other := range c.others(off) {
				other.cannotReach()
			}
			c.raceReplacements(c.version + 2)
			acknowledged.Store(c.version)
			c.readsTheNewest(off)
			t.Logf("%d reads, %d answered, version %d", read.stop(), read.answered.Load(), c.version)
			for _, n := range append(append([]*node(nil), c.cores...), c.agents...) {
				c.hasVersion(n)
			}
		})
	}
}

// reading reads a core's configuration again and again.
type reading struct {
	answered atomic.Int64
	reads    int
	end      chan struct{}
	ended    chan struct{}
}

// readAllTheTime begins to read: no answer may be older than what was acknowledged before it was asked for.
func readAllTheTime(t *testing.T, n *node, acknowledged *atomic.Uint64) *reading {
	r := &reading{end: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		for {
			select {
			case <-r.end:
				return
			case <-time.After(look):
			}
			r.reads++
			newest := acknowledged.Load()
			status, answer := n.call(order{method: http.MethodGet, path: "/Settings.Read"})
			if status != http.StatusOK {
				continue
			}
			r.answered.Add(1)
			var document struct {
				Edition uint64 `json:"edition"`
			}
			if assert.NoError(t, json.Unmarshal([]byte(answer), &document)) {
				assert.GreaterOrEqual(t, document.Edition, newest, "an older configuration was handed out")
			}
		}
	}()
	return r
}

// stop ends it and returns how many reads there were.
func (r *reading) stop() int {
	close(r.end)
	<-r.ended
	return r.reads
}
