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

// TestCoreLosses kills cores and disks, one after another up to what the system must survive, then all processes at
// once.
func TestCoreLosses(t *testing.T) {
	c := startCluster(t)
	for _, scenario := range []struct {
		name string
		run  func(*cluster, *testing.T)
	}{
		{"a core is killed and the configuration changes meanwhile", killCore},
		{"a core's disk is lost and it rejoins", wipeCore},
		{"a core machine is replaced", replaceCore},
		{"all are killed and acknowledged changes survive", killAll},
	} {
		t.Run(scenario.name, func(t *testing.T) { scenario.run(c, t) })
		c.ledger.check(t)
		if t.Failed() {
			return
		}
	}
}

func killCore(c *cluster, _ *testing.T) {
	load := c.startTraffic()
	load.awaitServed(30)
	killed := c.cores[0]
	killed.kill()
	load.awaitServed(30)
	c.configure(c.version+1, "one")
	for _, n := range c.agents {
		c.awaitVersion(n)
	}
	killed.start()
	c.awaitVersion(killed)
	load.stopAndCheck()
}

func wipeCore(c *cluster, t *testing.T) {
	before := c.replicaOf(c.cores[2], c.cores[1].address(portMembers))
	c.cores[1].kill()
	c.cores[1].wipe()
	c.cores[1].start()
	c.eventually("the core is a replica under a new ID", func() bool {
		now := c.replicaOf(c.cores[2], c.cores[1].address(portMembers))
		return now != "" && now != before
	})
	c.awaitVersion(c.cores[1])
	c.cores[0].kill() // the new replica is needed for a majority now
	c.configure(c.version+1, "two")
	c.cores[0].start()
	c.awaitVersion(c.cores[0])
	c.awaitVersion(c.cores[1])
	report, answered := c.report(c.cores[0])
	require.True(t, answered)
	assert.Len(t, report.Voters.Replicas, machinesPerRole)
}

// replicaOf returns the ID of the replica at an address, as a member knows it; empty: none.
func (c *cluster) replicaOf(observer *node, address string) string {
	report, answered := c.report(observer)
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

// replaceCore shuts a core machine down for good before its successor starts, and then another one after its successor
// has started: that one transfers its vote, and at once another core loses its disk. Successors have other names,
// addresses and disks.
func replaceCore(c *cluster, t *testing.T) {
	stopped := c.cores[2]
	stopped.terminate()
	c.cores[2] = c.startCore(firstCoreNumber + machinesPerRole)
	c.awaitVoter(c.cores[2])
	c.awaitReplicas()
	assert.Empty(t, c.replicaOf(c.cores[0], stopped.address(portMembers)))

	stopped = c.cores[2]
	c.cores[2] = c.startCore(firstCoreNumber + machinesPerRole + 1)
	c.eventually("the successor is a learner, and known", func() bool {
		report, answered := c.report(c.cores[2])
		return answered && report.Learner && c.knowsMember(stopped, c.cores[2])
	})
	c.awaitReplicas()
	stopped.terminate()
	_, transferred := stopped.log.Find(0, `"event":213`)
	assert.True(t, transferred, "the vote was transferred before the process ended")
	c.awaitVoter(c.cores[2])
	c.awaitReplicas()
	assert.Empty(t, c.replicaOf(c.cores[0], stopped.address(portMembers)))
	wipeCore(c, t)
}

// startCore starts a core on a new machine.
func (c *cluster) startCore(number int) *node {
	successor := c.newNode(programCore, number, locations[2])
	successor.firstRun = false
	successor.start()
	return successor
}

// knowsMember reports whether a member knows another one as live.
func (c *cluster) knowsMember(observer, other *node) bool {
	report, answered := c.report(observer)
	return answered && slices.ContainsFunc(report.Members, func(m introspect.Member) bool {
		return m.Member.Name == other.name && !m.Down
	})
}

// awaitVoter waits until a core is a voter.
func (c *cluster) awaitVoter(n *node) {
	c.t.Helper()
	c.eventually(n.name+" is a voter", func() bool { return c.replicaOf(c.cores[0], n.address(portMembers)) != "" })
}

// awaitReplicas waits until there is a replica for each core machine.
func (c *cluster) awaitReplicas() {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%d replicas", machinesPerRole), func() bool {
		report, answered := c.report(c.cores[0])
		return answered && len(report.Voters.Replicas) == machinesPerRole
	})
}

func killAll(c *cluster, t *testing.T) {
	evacuated := locations[2].zone
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
	assert.Equal(t, string(configurationWith(c.version, "three")), string(read))
	c.awaitReady()
	for _, n := range append(c.cores, c.agents...) {
		c.awaitVersion(n)
		c.eventually(n.name+" knows of the evacuation", func() bool {
			report, answered := c.report(n)
			return answered && len(report.Evacuated) == 1 && report.Evacuated[0] == evacuated
		})
	}
	load := c.startTraffic()
	load.awaitServed(60)
	load.stopAndCheck()
	assert.Empty(t, c.ledger.runsAfter(restarted, inZone...), "sent into an evacuated zone")
}

// endpointsOf returns the IDs of a zone's endpoints that an agent knows.
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
