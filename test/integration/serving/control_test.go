package serving

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/errcode"
	"rowanlink/serving/state"
)

// These tests are the hardest cases of the control plane: a core that is suspended and resumes, all power lost
// right after an acknowledgement, and a process that was down during a thousand changes.

const (
	// operatorTimeout is how long an operator waits for a response, according to the protocol.
	operatorTimeout = time.Second
	// readsAfterResume is the number of reads from a core that has just resumed.
	readsAfterResume = 200
)

// operatorRequest is a request of an operator to one core.
type operatorRequest struct {
	method, path, baseVersion string
	body                      []byte
}

// call sends a request and returns the status and the body; zero if there was no response in time.
func (n *node) call(o operatorRequest) (status int, answer string) {
	return n.callUntil(context.Background(), o)
}

// callUntil is call until a context ends.
func (n *node) callUntil(ctx context.Context, o operatorRequest) (status int, answer string) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, o.method, "http://"+n.address(portControl)+o.path, bytes.NewReader(o.body))
	if err != nil {
		return 0, ""
	}
	if o.baseVersion != "" {
		request.Header.Set("X-Based-On", o.baseVersion)
	}
	once := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := once.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(read)
}

func replaceRequest(basedOn, version uint64, extra ...string) operatorRequest {
	return operatorRequest{method: http.MethodPost, path: "/Settings.Replace", baseVersion: strconv.FormatUint(basedOn, 10),
		body: configurationWith(version, extra...)}
}

// TestSuspendedCore: a core is suspended in the middle of its work, requests remain unread in its sockets, and the
// others continue without it. When it resumes, it returns nothing outdated, and executes no request that has timed out
// at its operator.
func TestSuspendedCore(t *testing.T) {
	t.Parallel() // as TestMissedThousandChanges
	c := startCluster(t)
	suspended := c.cores[0]
	for round := range 3 {
		c.stop(suspended)
		zone := locations[1].zone
		unread := []operatorRequest{
			{method: http.MethodPost, path: "/Clearance.Begin/" + zone},
			replaceRequest(c.version, c.version+5, "given up"),
			{method: http.MethodGet, path: "/Settings.Read"},
		}
		var senders sync.WaitGroup
		for _, each := range unread {
			senders.Go(func() {
				status, _ := suspended.call(each)
				assert.Zero(t, status, "it is suspended")
			})
		}
		senders.Wait()
		c.configure(c.version+2, fmt.Sprint("round", round))
		c.evacuate(zone)
		c.endEvacuation(zone)
		c.eventually("the other members mark it as down", func() bool { return !c.knowsMember(c.cores[1], suspended) })
		require.NoError(t, suspended.process.Signal(syscall.SIGCONT))
		c.assertReadsNewest(suspended)
		c.awaitVersion(suspended)
		c.eventually("no evacuation is in force", func() bool {
			report, answered := c.report(suspended)
			return answered && len(report.Evacuated) == 0
		})
		for _, n := range c.cores {
			status, read := n.call(operatorRequest{method: http.MethodGet, path: "/Settings.Read"})
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, string(configurationWith(c.version, fmt.Sprint("round", round))), read)
		}
	}
}

// assertReadsNewest reads from a core many times: each response has the newest configuration.
func (c *cluster) assertReadsNewest(n *node) {
	c.t.Helper()
	newest := fmt.Sprintf(`"edition":%d,`, c.version)
	answered := 0
	for range readsAfterResume {
		status, read := n.call(operatorRequest{method: http.MethodGet, path: "/Settings.Read"})
		if status == http.StatusOK {
			answered++
			assert.Contains(c.t, read, newest)
		}
	}
	c.eventually(n.name+" responds to a read", func() bool {
		status, read := n.call(operatorRequest{method: http.MethodGet, path: "/Settings.Read"})
		return status == http.StatusOK && strings.Contains(read, newest)
	})
	c.t.Logf("%d of %d reads got a response right after it resumed", answered, readsAfterResume)
}

func (c *cluster) endEvacuation(zone string) {
	c.t.Helper()
	operator, ctx, cancel := c.operator()
	defer cancel()
	require.NoError(c.t, operator.EndEvacuation(ctx, zone))
}

// TestRacingReplacements: two operators send configurations with the same version and base version through all cores,
// each many times as if no response had arrived. One of each pair is committed, and only that one is ever
// acknowledged.
func TestRacingReplacements(t *testing.T) {
	c := startCluster(t)
	for round := range 10 {
		c.raceReplacements(c.version + 1 + uint64(round%3))
	}
}

// raceReplacements races two complete configurations with the same version.
func (c *cluster) raceReplacements(version uint64) {
	c.t.Helper()
	c.raceChanges(version, replaceRequest(c.version, version, "side0"), replaceRequest(c.version, version, "side1"))
}

// TestRacingAmendmentAndReplacement is the same with an amendment on one side. The winner's configuration is in force
// on every core and at every agent.
func TestRacingAmendmentAndReplacement(t *testing.T) {
	c := startCluster(t)
	for round := range 10 {
		version := c.version + 1 + uint64(round%3)
		name := fmt.Sprint("amended", round)
		c.raceChanges(version, replaceRequest(c.version, version, "whole"), amendRequest(c.version, version, name))
		var first string
		for _, n := range c.cores {
			_, read := n.call(operatorRequest{method: http.MethodGet, path: "/Settings.Read"})
			if first == "" {
				first = read
			}
			assert.Equal(t, first, read, n.name)
		}
		assert.Contains(t, first, fmt.Sprintf(`"edition":%d,`, version))
		t.Logf("round %d: the amendment won: %t", round, strings.Contains(first, name))
	}
	for _, n := range c.agents {
		c.awaitVersion(n)
	}
}

// amendRequest returns a request that adds a service that no route uses.
func amendRequest(basedOn, version uint64, service string) operatorRequest {
	return operatorRequest{method: http.MethodPost, path: "/Settings.Amend", baseVersion: strconv.FormatUint(basedOn, 10),
		body: fmt.Appendf(nil, `{"edition":%d,"upsert":{"carriers":[{"name":%q}]}}`, version, service)}
}

// raceChanges has two operators send changes with the same version and base version through all cores. Each change is
// sent many times as if no response had arrived.
func (c *cluster) raceChanges(version uint64, one, other operatorRequest) {
	c.t.Helper()
	orders := []operatorRequest{one, other}
	var both sync.WaitGroup
	acknowledged := make([]int, 2)
	rejected := make([]int, 2)
	for side := range 2 {
		both.Go(func() {
			sent := orders[side]
			for attempt := range 9 {
				switch status, _ := c.cores[(side+attempt)%len(c.cores)].call(sent); status {
				case http.StatusOK:
					acknowledged[side]++
				case http.StatusPreconditionFailed:
					rejected[side]++
				}
			}
		})
	}
	both.Wait()
	for side := range 2 {
		assert.False(c.t, acknowledged[side] > 0 && rejected[side] > 0, "one change was acknowledged and rejected")
	}
	assert.False(c.t, acknowledged[0] > 0 && acknowledged[1] > 0, "both were acknowledged")
	require.True(c.t, acknowledged[0]+acknowledged[1] > 0, "none was")
	c.version = version
}

// TestPowerLossAfterAcknowledgement: all processes lose power right after an acknowledgement and one core, each in
// turn, loses its disk.
func TestPowerLossAfterAcknowledgement(t *testing.T) {
	c := startCluster(t)
	for number, wiped := range append(c.cores, c.cores...) {
		name := fmt.Sprint("power", number)
		lost := c.replicaOf(wiped, wiped.address(portMembers))
		c.configure(c.version+1, name)
		for _, n := range c.nodes() {
			n.kill()
		}
		wiped.wipe()
		for _, n := range c.nodes() {
			n.start()
		}
		operator, ctx, cancel := c.operator()
		read, err := operator.Configuration(ctx)
		cancel()
		require.NoError(t, err)
		assert.Equal(t, string(configurationWith(c.version, name)), string(read))
		c.eventually("all cores know that it votes under a new ID", func() bool {
			for _, n := range c.cores {
				if now := c.replicaOf(n, wiped.address(portMembers)); now == "" || now == lost {
					return false
				}
			}
			return true
		})
		c.awaitReplicas()
	}
}

// TestPowerLossWhileACoreIsAway: more is lost at once than the settings state, but no more disks. One core is down and
// misses a change; then all processes lose power, and one of the two cores that have the change loses its disk. The
// change is there once all are back, and at no time is an older configuration returned.
func TestPowerLossWhileACoreIsAway(t *testing.T) {
	c := startCluster(t)
	for number := range c.cores {
		away, wiped := c.cores[number], c.cores[(number+1)%len(c.cores)]
		lost := c.replicaOf(wiped, wiped.address(portMembers))
		away.kill()
		name := fmt.Sprint("away", number)
		c.configure(c.version+1, name)
		for _, n := range c.nodes() {
			if n != away {
				n.kill()
			}
		}
		wiped.wipe()
		for _, n := range c.nodes() {
			n.start()
		}
		for _, n := range c.cores {
			c.assertReadsNewest(n)
		}
		c.eventually("the core without its disk votes under a new ID", func() bool {
			now := c.replicaOf(away, wiped.address(portMembers))
			return now != "" && now != lost
		})
		c.awaitReplicas()
	}
	for _, n := range c.agents {
		c.awaitVersion(n)
	}
}

const (
	// missedChanges is more than a day's changes, and all of them are remembered.
	missedChanges = 1000
	// furtherChanges, together with missedChanges, is more than the history in the record holds.
	furtherChanges = state.MaxHistory + state.MaxOlderHistory - missedChanges + 1
	// largeRoutes is the number of routes of a document of some 60 KB.
	largeRoutes = 450
	// maxMemoryKB bounds the resident memory of a process: a machine has 184 MB and more.
	maxMemoryKB = 150_000
)

// TestMissedThousandChanges: a core and an agent are down during more changes than a day has, and restart with the
// newest one. A change acknowledged first is acknowledged again, and after more changes than the history holds it is
// said to be older. Memory and disk stay bounded.
func TestMissedThousandChanges(t *testing.T) {
	t.Parallel() // it takes minutes and judges no times
	c := startCluster(t)
	first := replaceRequest(c.version, c.version+1)
	status, _ := c.cores[0].call(first)
	require.Equal(t, http.StatusOK, status)
	c.version++
	stopped := []*node{c.cores[2], c.agents[2]}
	for _, n := range stopped {
		n.kill()
	}
	routes := make([]string, largeRoutes)
	for number := range routes {
		routes[number] = fmt.Sprintf("route%d", number)
	}
	for range missedChanges {
		c.configure(c.version+1, routes...)
	}
	for _, n := range stopped {
		n.start()
		c.awaitVersion(n)
	}
	c.eventually("it votes", func() bool { return c.replicaOf(c.cores[2], c.cores[2].address(portMembers)) != "" })
	for _, n := range c.cores {
		status, _ := n.call(first)
		assert.Equal(t, http.StatusOK, status, "acknowledged long ago")
		status, _ = n.call(replaceRequest(c.version-1, c.version, routes...))
		assert.Equal(t, http.StatusOK, status, "acknowledged just now")
	}
	for range furtherChanges {
		c.configure(c.version+1, routes...)
	}
	for _, n := range c.cores {
		status, body := n.call(first)
		assert.Equal(t, http.StatusServiceUnavailable, status, "older than the history")
		assert.Contains(t, body, errcode.ChangeForgotten.Message)
	}
	for _, n := range c.nodes() {
		used := n.peakMemoryKB()
		t.Logf("%s on %s: %d KB at its peak, %d KB on disk", n.program, n.name, used, n.diskUsedKB())
		assert.Less(t, used, maxMemoryKB)
	}
}
