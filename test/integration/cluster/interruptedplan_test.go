package cluster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
	"rowanlink/webhook/api"
)

// startLongTTLCluster starts a cluster with a lease TTL that is long enough for no lease to expire by itself on a busy
// machine.
func startLongTTLCluster(t *testing.T, s harness.Options) *harness.Cluster {
	s.LeaseTTL = 3 * leaseTTL
	return startCluster(t, s)
}

// lowRate is so low, in webhooks a second, that an owner often has nothing new for a range that moves, so that the move
// can end.
const lowRate = 4

// startLoadAt submits webhooks for some destinations at one member, until stop, so that none crosses a link that is
// partitioned. They have the whole TTL of their type: a shorter one would be taken for the rest of an earlier
// submission's.
func startLoadAt(c *harness.Cluster, at *harness.Member, perSecond float64,
	dests ...api.DestinationID) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	types := []string{"status", "paid", "charge"}
	wait := c.Platform.StartLoad(ctx, platform.Load{
		Members:   []string{at.Name},
		PerSecond: perSecond,
		Clients:   6,
		Next: func(n int) platform.Webhook {
			return platform.Webhook{
				Type:        types[n%3],
				Destination: dests[n/3%len(dests)],
				TTL:         20 * time.Second,
				Body:        "x",
			}
		},
	})
	return func() {
		cancel()
		wait()
		c.AwaitOutcomes()
	}
}

// interruptedPlan is a running plan: the range of one destination has switched, that of another can't, since its owner
// doesn't reach the target.
type interruptedPlan struct {
	cluster                       *harness.Cluster
	moved, blocked                api.DestinationID
	target, source, blockedTarget *harness.Member // of moved; of blocked, now and by the plan
	offsets                       map[*harness.Member]int
	stop                          func()
}

// operatorBlocks returns the blocks of the plan, with further blocks.
func (m *interruptedPlan) operatorBlocks(withBlocked bool, blocks string) string {
	text := fmt.Sprintf("pin \"p\" {\n  destinations = [%d]\n  to = %q\n}\nbounds { moves_at_once = 2 }\n",
		m.moved,
		m.target.Name)
	if withBlocked {
		text += fmt.Sprintf("pin \"q\" {\n  destinations = [%d]\n  to = %q\n}\n", m.blocked, m.blockedTarget.Name)
	}
	return text + blocks
}

// startInterruptedPlan starts a cluster with a plan, and waits until one range has moved and the other can't.
func startInterruptedPlan(t *testing.T, blocks string) *interruptedPlan {
	c := startLongTTLCluster(t, harness.Options{Members: 4, RaftNodes: 3, Ranges: 8})
	m := &interruptedPlan{
		cluster:       c,
		blockedTarget: c.Members[3], // no raft node, so that a partition doesn't affect the raft log
	}
	c.Eventually("two owners", func() bool {
		leader, shards := c.Leader(), c.ShardMap()
		m.blocked, m.moved = 0, 0
		for d := range api.DestinationID(4) {
			switch owner := c.Owner(d + 1); {
			case owner == nil || leader == nil || owner == m.blockedTarget:
			case m.blocked == 0 && owner != leader:
				m.blocked, m.source = d+1, owner
			}
		}
		if m.blocked == 0 {
			return false
		}
		of, _ := shards.RangeOf(cluster.DestinationKeyHash(m.blocked))
		for d := range api.DestinationID(4) {
			if r, ok := shards.RangeOf(cluster.DestinationKeyHash(d + 1)); ok && r.ID != of.ID {
				m.moved = d + 1
			}
		}
		owner := c.Owner(m.moved)
		for _, k := range c.RaftNodes() {
			if k != owner {
				m.target = k
			}
		}
		return m.moved != 0 && owner != nil
	})
	c.Network.SetFaultBetween(m.source.Name, m.blockedTarget.Name, harness.Partition)
	m.offsets = c.LogOffsets()
	c.ReloadOperatorFiles(m.operatorBlocks(true, blocks))
	c.Eventually("one range has moved, the other can't", func() bool {
		shards := c.ShardMap()
		if shards == nil || c.Owner(m.moved) != m.target {
			return false
		}
		r, _ := shards.RangeOf(cluster.DestinationKeyHash(m.blocked))
		moved, _ := shards.RangeOf(cluster.DestinationKeyHash(m.moved))
		return r.Move.IsOpen() && !moved.Move.IsOpen() && c.Member(string(r.Owner)) == m.source
	})
	m.stop = startLoadAt(c, m.target, 60, m.moved)
	return m
}

// awaitRollBack waits until the blocked move was rolled back, and checks that the range that had switched stays.
func (m *interruptedPlan) awaitRollBack(t *testing.T) {
	m.cluster.Eventually("the blocked move was rolled back", func() bool {
		shards := m.cluster.ShardMap()
		if shards == nil {
			return false
		}
		r, _ := shards.RangeOf(cluster.DestinationKeyHash(m.blocked))
		return !r.Move.IsOpen()
	})
	assert.Equal(t, m.source, m.cluster.Owner(m.blocked))
	assert.Equal(t, m.target, m.cluster.Owner(m.moved))
}

// finish heals the network and checks the outcomes.
func (m *interruptedPlan) finish() {
	m.cluster.Network.Heal()
	m.cluster.AwaitStable()
	m.stop()
	m.cluster.Check(deliverycheck.Order)
}

// A plan stops when a destination becomes unhealthy or late at its new owner: moves that haven't switched are rolled
// back, the others stay, nothing starts, and the log has the reason. Once the destination has recovered, a reload resumes
// the plan.
func TestPlan_StopsOnDegradation(t *testing.T) {
	for name, test := range map[string]struct {
		stop, reason string
		does         platform.Behaviour
	}{
		"sick": {"sick = true", "became unhealthy in range", platform.Fails},
		"late": {"late = 0.3", "of webhooks late in the ranges that move", platform.Slow(3 * time.Second / 2)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rules := "stop_when { " + test.stop + " }\n"
			m := startInterruptedPlan(t, rules)
			require.NoError(t, m.cluster.Platform.Destination(m.moved).BeginOutage(test.does))
			who := m.cluster.AwaitLog(m.offsets, "plan stopped", test.reason)
			m.awaitRollBack(t)
			m.cluster.Eventually("/metrics shows it", func() bool { v, _ := who.Metric("plan_stopped"); return v == "1" })
			require.NoError(t, m.cluster.Platform.Destination(m.moved).SetBehaviour(platform.Delivers))
			m.cluster.Network.Heal()
			sleepTTLs(3) // it stays stopped, whatever recovers
			assert.Equal(t, m.source, m.cluster.Owner(m.blocked))
			m.cluster.ReloadOperatorFiles(m.operatorBlocks(true, rules))
			m.cluster.Eventually("the plan resumes", func() bool { return m.cluster.Owner(m.blocked) == m.blockedTarget })
			m.finish()
		})
	}
}

// A reload during a plan undoes no work: ranges that have switched stay where the new file has them too, the other
// moves are rolled back.
func TestPlan_ReloadKeepsSwitchedRanges(t *testing.T) {
	t.Parallel()
	m := startInterruptedPlan(t, "")
	before := m.cluster.ShardMap()
	m.cluster.ReloadOperatorFiles(m.operatorBlocks(false, ""))
	m.awaitRollBack(t)
	m.cluster.AwaitStable()
	was, _ := before.RangeOf(cluster.DestinationKeyHash(m.moved))
	is, _ := m.cluster.ShardMap().RangeOf(cluster.DestinationKeyHash(m.moved))
	assert.Equal(t, was.Epoch, is.Epoch, "the lease was released meanwhile")
	m.finish()
}

// When the coordinator is killed, another raft node resumes the plan from the raft log, without repeating a step or
// making a new plan. The raft nodes own no ranges here, so that nothing else is lost.
func TestPlan_CoordinatorKilled(t *testing.T) {
	t.Parallel()
	c := startLongTTLCluster(t, harness.Options{
		Members:   5,
		RaftNodes: 3,
		Ranges:    8,
		MemberSettings: func(m string) string {
			if m == "m4" || m == "m5" {
				return ""
			}
			return "  weight = 0\n"
		},
	})
	stop, offsets, drained := startLoadAt(c, c.Members[4], lowRate, 1, 2, 3, 4), c.LogOffsets(), c.Members[3]
	c.ReloadOperatorFiles("leave \"m4\" {}\nbounds { pause = \"1s\" }\nstop_when { rejected = 1 }\n")
	coordinator := c.AwaitLog(offsets, "INFO move planned ")
	c.AwaitLog(offsets, "INFO move cleared ")
	coordinator.Kill()
	next := c.LogOffsets()
	another := c.AwaitLog(next, "INFO move planned ")
	assert.NotEqual(t, coordinator, another)
	coordinator.Start()
	c.AwaitStable(drained)
	for _, m := range c.Members {
		_, isReplanned := m.Log.Find(next[m], "plan adopted")
		assert.False(t, isReplanned, "%s adopted the plan again", m.Name)
	}
	stop()
	c.Check(deliverycheck.Order)
}

// A pinned destination is split off under load and moves alone; once no rule needs that, the ranges are merged again.
// Then the range can still move: the lease of the merged range was released.
func TestPlan_SplitsOffAndMergesADestination(t *testing.T) {
	t.Parallel()
	c := startLongTTLCluster(t, harness.Options{Members: 3, Ranges: 4}) // 2 and 4 lie in one range
	var owner, target *harness.Member
	c.Eventually("an owner of both destinations", func() bool { owner = c.Owner(2); return owner != nil && c.Owner(4) == owner })
	for _, m := range c.Members {
		if m != owner {
			target = m
		}
	}
	stop := startLoadAt(c, target, lowRate, 2, 4)
	before := len(c.ShardMap().Ranges)
	c.ReloadOperatorFiles(fmt.Sprintf("pin \"p\" {\n  destinations = [2]\n  to = %q\n}\n", target.Name))
	c.Eventually("the destination moves alone", func() bool { return c.Owner(2) == target })
	c.AwaitStable()
	assert.Equal(t, owner, c.Owner(4))
	assert.Len(t, c.ShardMap().Ranges, before+2)
	c.ReloadOperatorFiles("")
	c.Eventually("the ranges are merged", func() bool { shards := c.ShardMap(); return shards != nil && len(shards.Ranges) == before })
	c.AwaitStable()
	assert.Equal(t, owner, c.Owner(2))
	c.ReloadOperatorFiles(fmt.Sprintf("leave %q {}\n", owner.Name))
	c.AwaitStable(owner)
	stop()
	c.Check(deliverycheck.Order)
}
