package cluster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
)

// runInDoubtScenario plays a webhook that may take effect once only, that its home takes on and calls for while no
// answer of it reaches the entry. Then the home stands still for longer than its term, so that the entry is
// home while it is in doubt, and calls for what is its own. offer has the webhook go to its home, by links
// over which no answer comes back; meanwhile is what befalls the entry once it is home.
func runInDoubtScenario(t *testing.T, offer func(f *harness.Cluster, home, entry *harness.Member) (id string),
	meanwhile func(entry *harness.Member)) {
	t.Parallel()
	f := startCluster(t, harness.Options{RaftNodes: 1, Ranges: 1, MemberSettings: func(m string) string {
		if m == "m1" { // keeps the log, and no range goes to it
			return "  weight = 0\n"
		}
		return ""
	}})
	home, entry := awaitOwner(f)
	delivered := func(by *harness.Member, atLeast string) { // and the answer is heard
		f.Eventually(by.Name+" has delivered", func() bool {
			n, _ := by.Metric("attempts_delivered_total")
			return n >= atLeast
		})
	}
	f.Platform.Submit(entry.Name, newWebhook("status")) // the home's folder is known from here on
	delivered(home, "1")

	id := offer(f, home, entry)
	delivered(home, "2")
	home.Pause()
	f.Eventually("the entry is home", func() bool { return f.Owner(1) == entry })
	meanwhile(entry)
	f.Platform.Submit(entry.Name, newWebhook("status"))
	delivered(entry, "1")
	sleepTTLs(0.5) // what is parked there has had its turn by now
	f.Check()
	require.False(t, t.Failed())

	f.Network.Heal()
	home.Resume()
	entry.AwaitLog("doubt settled", "webhook="+id, "ours=false")
	f.AwaitOutcomes()
	f.Check()
}

func newWebhook(kind string) platform.Webhook {
	return platform.Webhook{Type: kind, Destination: 1, TTL: 20 * time.Second, Body: "once"}
}

// Guards against a webhook that is called for here while it is offered to another member: what was parked
// because its home could not be reached is in doubt from its first offer on.
func TestForward_OfferedWebhookIsDeliveredByNobodyElse(t *testing.T) {
	runInDoubtScenario(t, func(f *harness.Cluster, home, entry *harness.Member) string {
		f.Network.SetFault(entry.Name, home.Name, harness.Refused)
		id, _ := f.Platform.Submit(entry.Name, newWebhook("charge"))
		f.Network.SetFault(home.Name, entry.Name, harness.OneWayPartition)
		f.Network.SetFault(entry.Name, home.Name, harness.Fault{})
		return id
	}, func(*harness.Member) {})
}

// Guards against doubts that end with the process that had them.
func TestForward_InDoubtSurvivesRestart(t *testing.T) {
	runInDoubtScenario(t, func(f *harness.Cluster, home, entry *harness.Member) string {
		f.Network.SetFault(home.Name, entry.Name, harness.OneWayPartition)
		id, _ := f.Platform.Submit(entry.Name, newWebhook("charge"))
		return id
	}, (*harness.Member).Restart)
}
