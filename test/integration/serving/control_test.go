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
)

// These stories are the users' worst days for the control side: a core that stands still and wakes, all power lost
// right after an acknowledgement, and a process that was away through a thousand changes.

const (
	// operatorPatience is how long an operator waits for one answer, as the protocol says.
	operatorPatience = time.Second
	// standstillReads is how often a core that has just woken is read.
	standstillReads = 200
)

// order is one call of an operator to one core.
type order struct {
	method, path, basedOn string
	body                  []byte
}

// call makes a call and returns the status and the answer; zero: no answer in time.
func (n *node) call(o order) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, o.method, "http://"+n.at(portControl)+o.path, bytes.NewReader(o.body))
	if err != nil {
		return 0, ""
	}
	if o.basedOn != "" {
		request.Header.Set("X-Based-On", o.basedOn)
	}
	once := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := once.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(read)
}

func replacement(basedOn, version uint64, extra ...string) order {
	return order{method: http.MethodPost, path: "/Settings.Replace", basedOn: strconv.FormatUint(basedOn, 10),
		body: document(version, extra...)}
}

// TestCoreThatStoodStill: a core stops in the middle of its work, orders lie unread in its sockets, and the others go
// on without it. When it wakes it hands out nothing from before, and carries out nothing that was given up.
func TestCoreThatStoodStill(t *testing.T) {
	c := begin(t)
	still := c.cores[0]
	for round := range 3 {
		require.NoError(t, still.process.Signal(syscall.SIGSTOP))
		zone := places[1].zone
		lying := []order{
			{method: http.MethodPost, path: "/Clearance.Begin/" + zone},
			replacement(c.version, c.version+5, "given up"),
			{method: http.MethodGet, path: "/Settings.Read"},
		}
		var given sync.WaitGroup
		for _, each := range lying {
			given.Go(func() {
				status, _ := still.call(each)
				assert.Zero(t, status, "it stands still")
			})
		}
		given.Wait()
		c.configure(c.version+2, fmt.Sprint("round", round))
		c.evacuate(zone)
		c.endEvacuation(zone)
		c.soon("the others see it down", func() bool { return !c.knows(c.cores[1], still) })
		require.NoError(t, still.process.Signal(syscall.SIGCONT))
		c.readsTheNewest(still)
		c.hasVersion(still)
		c.soon("no evacuation is in force", func() bool {
			report, answered := c.report(still)
			return answered && len(report.Evacuated) == 0
		})
		for _, n := range c.cores {
			status, read := n.call(order{method: http.MethodGet, path: "/Settings.Read"})
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, string(document(c.version, fmt.Sprint("round", round))), read)
		}
	}
}

// readsTheNewest reads at a core again and again: it answers with the newest configuration or not at all.
func (c *cluster) readsTheNewest(n *node) {
	c.t.Helper()
	newest := fmt.Sprintf(`"edition":%d,`, c.version)
	answered := 0
	for range standstillReads {
		status, read := n.call(order{method: http.MethodGet, path: "/Settings.Read"})
		if status == http.StatusOK {
			answered++
			assert.Contains(c.t, read, newest)
		}
	}
	c.soon(n.name+" answers a read", func() bool {
		status, read := n.call(order{method: http.MethodGet, path: "/Settings.Read"})
		return status == http.StatusOK && strings.Contains(read, newest)
	})
	c.t.Logf("%d of %d reads answered right after it woke", answered, standstillReads)
}

func (c *cluster) endEvacuation(zone string) {
	c.t.Helper()
	operator, ctx, cancel := c.operator()
	defer cancel()
	require.NoError(c.t, operator.EndEvacuation(ctx, zone))
}

// TestTwoOperatorsWhoseAnswersAreLost send under the same numbers on the same versions, through all cores, each order
// again and again as if no answer had come: of each pair one is in force, and it alone is ever acknowledged.
func TestTwoOperatorsWhoseAnswersAreLost(t *testing.T) {
	c := begin(t)
	for round := range 10 {
		c.raceReplacements(c.version + 1 + uint64(round%3))
	}
}

// raceReplacements has two whole configurations race under the same number.
func (c *cluster) raceReplacements(version uint64) {
	c.t.Helper()
	c.race(version, replacement(c.version, version, "side0"), replacement(c.version, version, "side1"))
}

// TestAmendmentAgainstReplacement is the same with an amendment on one side. What is in force is what the winner asked
// for, on every core and at every agent.
func TestAmendmentAgainstReplacement(t *testing.T) {
	c := begin(t)
	for round := range 10 {
		version := c.version + 1 + uint64(round%3)
		mark := fmt.Sprint("amended", round)
		c.race(version, replacement(c.version, version, "whole"), amendment(c.version, version, mark))
		var first string
		for _, n := range c.cores {
			_, read := n.call(order{method: http.MethodGet, path: "/Settings.Read"})
			if first == "" {
				first = read
			}
			assert.Equal(t, first, read, n.name)
		}
		assert.Contains(t, first, fmt.Sprintf(`"edition":%d,`, version))
		t.Logf("round %d: the amendment won: %t", round, strings.Contains(first, mark))
	}
	for _, n := range c.agents {
		c.hasVersion(n)
	}
}

// amendment adds a service that no route uses.
func amendment(basedOn, version uint64, service string) order {
	return order{method: http.MethodPost, path: "/Settings.Amend", basedOn: strconv.FormatUint(basedOn, 10),
		body: fmt.Appendf(nil, `{"edition":%d,"upsert":{"carriers":[{"name":%q}]}}`, version, service)}
}

// race has two operators change the configuration under the same number on the same version, through all cores. Each
// order is sent again and again as if no answer had come.
func (c *cluster) race(version uint64, one, other order) {
	c.t.Helper()
	orders := []order{one, other}
	var both sync.WaitGroup
	acknowledged := make([]int, 2)
	refused := make([]int, 2)
	for side := range 2 {
		both.Go(func() {
			sent := orders[side]
			for attempt := range 9 {
				switch status, _ := c.cores[(side+attempt)%len(c.cores)].call(sent); status {
				case http.StatusOK:
					acknowledged[side]++
				case http.StatusPreconditionFailed:
					refused[side]++
				}
			}
		})
	}
	both.Wait()
	for side := range 2 {
		assert.False(c.t, acknowledged[side] > 0 && refused[side] > 0, "one order was acknowledged and refused")
	}
	assert.False(c.t, acknowledged[0] > 0 && acknowledged[1] > 0, "both were acknowledged")
	require.True(c.t, acknowledged[0]+acknowledged[1] > 0, "none was")
	c.version = version
}

// TestAllPowerIsLostRightAfterAnAcknowledgement, and one disk with it, at each core in turn.
func TestAllPowerIsLostRightAfterAnAcknowledgement(t *testing.T) {
	c := begin(t)
	for number, loser := range append(c.cores, c.cores...) {
		mark := fmt.Sprint("power", number)
		lost := c.replicaOf(loser, loser.at(portInner))
		c.configure(c.version+1, mark)
		for _, n := range c.nodes() {
			n.kill()
		}
		loser.wipe()
		for _, n := range c.nodes() {
			n.start()
		}
		operator, ctx, cancel := c.operator()
		read, err := operator.Configuration(ctx)
		cancel()
		require.NoError(t, err)
		assert.Equal(t, string(document(c.version, mark)), string(read))
		c.soon("all cores know that it votes under a new ID", func() bool {
			for _, n := range c.cores {
				if now := c.replicaOf(n, loser.at(portInner)); now == "" || now == lost {
					return false
				}
			}
			return true
		})
		c.replicasAre(machinesOfKind)
	}
}

const (
	// manyChanges is more than the history of the record holds.
	manyChanges = 1000
	// largeRoutes makes a document of some 60 KB.
	largeRoutes = 450
	// mostMemory bounds what a process may come to through them, in kilobytes: a machine grants 184 MB and more.
	mostMemory = 150_000
)

// TestAwayThroughAThousandChanges: a core and an agent are away through more changes than the history holds, and come
// back to the newest one; what was acknowledged first is not refused. Memory and disk stay bounded.
func TestAwayThroughAThousandChanges(t *testing.T) {
	c := begin(t)
	first := replacement(c.version, c.version+1)
	status, _ := c.cores[0].call(first)
	require.Equal(t, http.StatusOK, status)
	c.version++
	away := []*node{c.cores[2], c.agents[2]}
	for _, n := range away {
		n.kill()
	}
	routes := make([]string, largeRoutes)
	for number := range routes {
		routes[number] = fmt.Sprintf("route%d", number)
	}
	for range manyChanges {
		c.configure(c.version+1, routes...)
	}
	for _, n := range away {
		n.start()
		c.hasVersion(n)
	}
	c.soon("it votes", func() bool { return c.replicaOf(c.cores[2], c.cores[2].at(portInner)) != "" })
	for _, n := range c.cores {
		status, _ := n.call(first)
		assert.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, status, "acknowledged long ago")
		status, _ = n.call(replacement(c.version-1, c.version, routes...))
		assert.Equal(t, http.StatusOK, status, "acknowledged just now")
	}
	for _, n := range c.nodes() {
		used := n.peakMemory()
		t.Logf("%s on %s: %d KB at its peak, %d KB on disk", n.program, n.name, used, n.diskUsed())
		assert.Less(t, used, mostMemory)
	}
}
