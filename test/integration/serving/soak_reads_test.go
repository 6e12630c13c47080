package serving

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// configurationReadInterval is the time between two reads of the configuration at a core machine.
const configurationReadInterval = 200 * time.Millisecond

// configurationRead is a successful read of the configuration at a core machine.
type configurationRead struct {
	core    string
	sent    time.Time
	version uint64
}

// acknowledgedVersion is a version of the configuration that an operator has got an acknowledgement for.
type acknowledgedVersion struct {
	at      time.Time
	version uint64
}

// configurationReader reads the configuration at all core machines again and again.
type configurationReader struct {
	stop    context.CancelFunc
	readers sync.WaitGroup

	mutex sync.Mutex
	reads []configurationRead
}

// startReader begins to read.
func (c *cluster) startReader() *configurationReader {
	ctx, stop := context.WithCancel(context.Background())
	r := &configurationReader{stop: stop}
	for _, n := range c.cores {
		r.readers.Go(func() { r.run(ctx, n) })
	}
	return r
}

func (r *configurationReader) run(ctx context.Context, n *node) {
	ticker := time.NewTicker(configurationReadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		sent := time.Now()
		status, text := n.callUntil(ctx, operatorRequest{method: http.MethodGet, path: "/Settings.Read"})
		var document configurationDocument
		if status != http.StatusOK || json.Unmarshal([]byte(text), &document) != nil {
			continue
		}
		r.mutex.Lock()
		r.reads = append(r.reads, configurationRead{core: n.name, sent: sent, version: document.Version})
		r.mutex.Unlock()
	}
}

// end ends the reads and returns them.
func (r *configurationReader) end() []configurationRead {
	r.stop()
	r.readers.Wait()
	return r.reads
}

// outdatedReads returns the reads that break CONFIG: sent later than applyTime after an acknowledgement, by a machine in
// touch or not, and answered with an older version.
func outdatedReads(reads []configurationRead, acknowledged []acknowledgedVersion) (outdated []configurationRead) {
	for _, read := range reads {
		for _, change := range acknowledged {
			if read.sent.After(change.at.Add(applyTime)) && read.version < change.version {
				outdated = append(outdated, read)
				break
			}
		}
	}
	return outdated
}

// TestOutdatedReads: reads that just break the rule and just don't.
func TestOutdatedReads(t *testing.T) {
	start := time.Now()
	acknowledged := []acknowledgedVersion{{start, 2}, {start.Add(time.Second), 3}}
	for _, test := range []struct {
		after    time.Duration
		version  uint64
		outdated int
	}{
		{applyTime, 1, 0},
		{applyTime + 1, 1, 1},
		{applyTime + 1, 2, 0},
		{applyTime + time.Second, 2, 0},
		{applyTime + time.Second + 1, 2, 1},
		{applyTime + time.Second + 1, 3, 0},
		{applyTime + time.Hour, 4, 0},
	} {
		reads := []configurationRead{{sent: start.Add(test.after), version: test.version}}
		assert.Len(t, outdatedReads(reads, acknowledged), test.outdated, "version %d after %v", test.version, test.after)
	}
}
