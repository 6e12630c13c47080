package serving

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/introspect"
	"rowanlink/serving/state"
)

// TestLossesOfCores kills cores and disks, one after the other as much as must be borne, then all processes at once.
func TestLossesOfCores(t *testing.T) {
	c := begin(t)
	for _, story := range []struct {
		name string
		play func(*cluster, *testing.T)
	}{
		{"a core is killed and the configuration changes meanwhile", killCore},
		{"a core's disk is lost and it joins again", wipeCore},
		{"a core machine goes by plan and another takes its place", replaceCore},
		{"all are killed and what was acknowledged is there", killAll},
	} {
		t.Run(story.name, func(t *testing.T) { story.play(c, t) })
		c.ledger.judge(t)
		if t.Failed() {
			return
		}
	}
}

func killCore(c *cluster, _ *testing.T) {
	load := c.send()
	load.more(30)
	killed := c.cores[0]
	killed.kill()
	load.more(30)
	c.configure(c.version+1, "one")
	for _, n := range c.agents {
		c.hasVersion(n)
	}
	killed.start()
	c.hasVersion(killed)
	load.end()
}

func wipeCore(c *cluster, t *testing.T) {
	before := c.replicaOf(c.cores[2], c.cores[1].at(portInner))
	c.cores[1].kill()
	c.cores[1].wipe()
	c.cores[1].start()
	c.soon("the core is a replica under a new ID", func() bool {
		now := c.replicaOf(c.cores[2], c.cores[1].at(portInner))
		return now != "" && now != before
	})
	c.hasVersion(c.cores[1])
	c.cores[0].kill() // the new replica is needed for a majority now
	c.configure(c.version+1, "two")
	c.cores[0].start()
	c.hasVersion(c.cores[0])
	c.hasVersion(c.cores[1])
	report, answered := c.report(c.cores[0])
	require.True(t, answered)
	assert.Len(t, report.Voters.Replicas, machinesOfKind)
}

// replicaOf is the ID of the replica at an address, as a member knows it; empty: none.
func (c *cluster) replicaOf(asked *node, address string) string {
	report, answered := c.report(asked)
	if !answered {
		return ""
	}
	for _, replica := range report.Voters.Replicas {
		if replica.Address == address {
			return replica.ID
		}
	}
	return ""
}

// replaceCore ends a core machine for good, with a farewell, before its successor starts, and then another one after
// its successor has started: that one hands its vote over, and at once another core loses its disk. Successors have
// other names, addresses and disks.
func replaceCore(c *cluster, t *testing.T) {
	gone := c.cores[2]
	gone.terminate()
	c.cores[2] = c.startCore(coreNumber + machinesOfKind)
	c.isVoter(c.cores[2])
	c.replicasAre(machinesOfKind)
	assert.Empty(t, c.replicaOf(c.cores[0], gone.at(portInner)))

	gone = c.cores[2]
	c.cores[2] = c.startCore(coreNumber + machinesOfKind + 1)
	c.soon("the successor is a learner, and known", func() bool {
		report, answered := c.report(c.cores[2])
		return answered && report.Learner && c.knows(gone, c.cores[2])
	})
	c.replicasAre(machinesOfKind)
	gone.terminate()
	_, handedOver := gone.log.Find(0, `"event":213`)
	assert.True(t, handedOver, "the vote was handed over before the end")
	c.isVoter(c.cores[2])
	c.replicasAre(machinesOfKind)
	assert.Empty(t, c.replicaOf(c.cores[0], gone.at(portInner)))
	wipeCore(c, t)
}

// startCore starts a core on a new machine.
func (c *cluster) startCore(number int) *node {
	successor := c.newNode(programCore, number, places[2])
	successor.firstRun = false
	successor.start()
	return successor
}

// knows tells whether a member knows another as live.
func (c *cluster) knows(asked, other *node) bool {
	report, answered := c.report(asked)
	return answered && slices.ContainsFunc(report.Members, func(m introspect.Member) bool {
		return m.Member.Name == other.name && !m.Down
	})
}

// isVoter waits until a core has a vote.
func (c *cluster) isVoter(n *node) {
	c.t.Helper()
	c.soon(n.name+" is a voter", func() bool { return c.replicaOf(c.cores[0], n.at(portInner)) != "" })
}

// replicasAre waits until there are so many.
func (c *cluster) replicasAre(n int) {
	c.t.Helper()
	c.soon(fmt.Sprintf("%d replicas", n), func() bool {
		report, answered := c.report(c.cores[0])
		return answered && len(report.Voters.Replicas) == n
	})
}

func killAll(c *cluster, t *testing.T) {
	evacuated := places[2].zone
	inZone := c.endpointsOf(evacuated)
	assert.Len(t, inZone, 2)
	assert.NotEmpty(t, c.ledger.runsAfter(time.Time{}, inZone...))
	c.configure(c.version+3, "three")
	c.evacuate(evacuated)
	for _, n := range c.nodes() {
		n.kill()
	}
	restarted := time.Now()
	for _, n := range c.nodes() {
		n.start()
	}
	operator, ctx, cancel := c.operator()
	defer cancel()
	read, err := operator.Configuration(ctx)
	require.NoError(t, err)
	assert.Equal(t, string(document(c.version, "three")), string(read))
	c.allReady()
	for _, n := range append(c.cores, c.agents...) {
		c.hasVersion(n)
		c.soon(n.name+" knows of the evacuation", func() bool {
			report, answered := c.report(n)
			return answered && len(report.Evacuated) == 1 && report.Evacuated[0] == evacuated
		})
	}
	load := c.send()
	load.more(60)
	load.end()
	assert.Empty(t, c.ledger.runsAfter(restarted, inZone...), "sent into an evacuated zone")
}

// endpointsOf are the IDs of a zone's endpoints that an agent knows.
func (c *cluster) endpointsOf(zone string) (ids []string) {
	report, answered := c.report(c.agents[0])
	require.True(c.t, answered)
	for _, each := range report.Endpoints {
		if each.Zone == zone && each.State == state.EndpointAccepting {
			ids = append(ids, each.ID)
		}
	}
	return ids
}
