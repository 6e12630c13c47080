package serving

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A processor quota of a tenth: a process runs at full speed until it is spent, and then not for the rest of a period.
const (
	quotaPeriod = 100 * time.Millisecond
	quotaRun    = 10 * time.Millisecond
	// quotaSpan is how long the processes have the quota.
	quotaSpan = 10 * time.Second
	// quotaChanges is the number of configurations that are sent meanwhile.
	quotaChanges = 5
)

// enforceQuota suspends and resumes a process as a quota does, until the context ends.
func (n *node) enforceQuota(ctx context.Context) {
	period := time.NewTicker(quotaPeriod)
	defer period.Stop()
	for ctx.Err() == nil {
		_ = n.process.Signal(syscall.SIGCONT) // fails if the process has ended, which the test finds
		time.Sleep(quotaRun)
		_ = n.process.Signal(syscall.SIGSTOP)
		<-period.C
	}
	_ = n.process.Signal(syscall.SIGCONT)
}

// TestProcessorQuota: with pauses of 90 ms in any 100 ms at all processes, no member is taken for down, changes are
// acknowledged in time, and all requests are served.
func TestProcessorQuota(t *testing.T) {
	c := startCluster(t)
	load := c.startTraffic()
	load.awaitServed(30)
	ctx, stop := context.WithCancel(t.Context())
	var quotas sync.WaitGroup
	for number, n := range c.nodes() {
		quotas.Go(func() {
			time.Sleep(time.Duration(number) * quotaPeriod / time.Duration(len(c.nodes()))) // out of step
			n.enforceQuota(ctx)
		})
	}
	var down sync.Map // what members were taken for down
	for _, observer := range append(append([]*node(nil), c.cores...), c.agents...) {
		quotas.Go(func() { c.watchDownMembers(ctx, observer, &down) })
	}
	began := time.Now()
	for number := range quotaChanges {
		sent := time.Now()
		c.configure(c.version+1, fmt.Sprint("quota", number))
		assert.Less(t, time.Since(sent), quotaAcknowledgement, "acknowledged in time")
		time.Sleep(time.Until(began.Add(time.Duration(number+1) * quotaSpan / quotaChanges)))
	}
	load.awaitServed(30)
	stop()
	quotas.Wait()
	down.Range(func(what, _ any) bool { return assert.Fail(t, "a running member was taken for down", what) })
	load.stopAndCheck()
	c.ledger.check(t)
}

// watchDownMembers records, until the context ends, which members an observer takes for down.
func (c *cluster) watchDownMembers(ctx context.Context, observer *node, down *sync.Map) {
	for ctx.Err() == nil {
		time.Sleep(pollInterval)
		report, answered := c.fetchReport(ctx, observer)
		if answered {
			for _, member := range report.Members {
				if member.Down {
					down.Store(member.Member.Name+" by "+observer.name, true)
				}
			}
		}
	}
}

// quotaAcknowledgement bounds the time until a change is acknowledged, as bounds.ack_ms does.
const quotaAcknowledgement = 5 * time.Second
