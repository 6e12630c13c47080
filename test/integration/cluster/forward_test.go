package cluster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
)

// runInDoubtScenario forwards a webhook with at-most-once semantics to its owner, which accepts and delivers it while
// no response reaches the forwarding member. Then the owner is paused for longer than its lease TTL, so that the
// forwarding member becomes the owner while the webhook is in doubt, and delivers its own webhooks. offer forwards the
// webhook over links on which no response arrives; meanwhile is what happens to the forwarding member once it is the
// owner.
func runInDoubtScenario(t *testing.T, offer func(c *harness.Cluster, owner, entry *harness.Member) (id string),
	meanwhile func(entry *harness.Member)) {
	t.Parallel()
	c := startCluster(t, harness.Options{
		RaftNodes: 1,
		Ranges:    1,
		MemberSettings: func(m string) string {
			if m == "m1" { // a raft node that owns no range
				return "  weight = 0\n"
			}
			return ""
		},
	})
	owner, entry := awaitOwner(c)
	delivered := func(by *harness.Member, atLeast string) { // by its counter, so that it received the response
		c.Eventually(by.Name+" has delivered", func() bool {
			n, _ := by.Metric("attempts_delivered_total")
			return n >= atLeast
		})
	}
	c.Platform.Submit(entry.Name, newWebhook("status")) // the forwarding member knows the owner's incarnation from here on
	delivered(owner, "1")

	id := offer(c, owner, entry)
	delivered(owner, "2")
	owner.Pause()
	c.Eventually("the forwarding member is the owner", func() bool { return c.Owner(1) == entry })
	meanwhile(entry)
	c.Platform.Submit(entry.Name, newWebhook("status"))
	delivered(entry, "1")
	sleepTTLs(0.5) // parked webhooks have been reevaluated by then
	c.Check()
	require.False(t, t.Failed())

	c.Network.Heal()
	owner.Resume()
	entry.AwaitLog("in-doubt webhook resolved", "webhook="+id, "ours=false")
	c.AwaitOutcomes()
	c.Check()
}

func newWebhook(kind string) platform.Webhook {
	return platform.Webhook{Type: kind, Destination: 1, TTL: 20 * time.Second, Body: "once"}
}

// A webhook that was parked because its owner could not be reached is in doubt from its first offer on: no other member
// calls for it.
func TestForward_InDoubtWebhookIsNotCalledElsewhere(t *testing.T) {
	runInDoubtScenario(t, func(c *harness.Cluster, owner, entry *harness.Member) string {
		c.Network.SetFault(entry.Name, owner.Name, harness.Refused)
		id, _ := c.Platform.Submit(entry.Name, newWebhook("charge"))
		c.Network.SetFault(owner.Name, entry.Name, harness.OneWayPartition)
		c.Network.SetFault(entry.Name, owner.Name, harness.Fault{})
		return id
	}, func(*harness.Member) {})
}

// A webhook stays in doubt over a restart of the forwarding member.
func TestForward_InDoubtSurvivesRestart(t *testing.T) {
	runInDoubtScenario(t, func(c *harness.Cluster, owner, entry *harness.Member) string {
		c.Network.SetFault(owner.Name, entry.Name, harness.OneWayPartition)
		id, _ := c.Platform.Submit(entry.Name, newWebhook("charge"))
		return id
	}, (*harness.Member).Restart)
}
