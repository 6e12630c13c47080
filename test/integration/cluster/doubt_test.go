package cluster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
)

// answerless plays a webhook that may take effect once only, that its home takes on and calls for while no
// answer of it reaches the entry. Then the home stands still for longer than its term, so that the entry is
// home while it is in doubt, and calls for what is its own. offer has the webhook go to its home, by links
// over which no answer comes back; meanwhile is what befalls the entry once it is home.
func answerless(t *testing.T, offer func(f *harness.Fleet, home, entry *harness.Member) (id string),
	meanwhile func(entry *harness.Member)) {
	t.Parallel()
	f := begin(t, harness.Shape{Keepers: 1, Ranges: 1, Extra: func(m string) string {
		if m == "m1" { // keeps the log, and no range goes to it
			return "  weight = 0\n"
		}
		return ""
	}})
	home, entry := homes(f)
	delivered := func(by *harness.Member, atLeast string) { // and the answer is heard
		f.Soon(by.Name+" has delivered", func() bool {
			n, _ := by.Metric("attempts_delivered_total")
			return n >= atLeast
		})
	}
	f.Platform.HandIn(entry.Name, webhookOf("status")) // the home's folder is known from here on
	delivered(home, "1")

	id := offer(f, home, entry)
	delivered(home, "2")
	home.Stop()
	f.Soon("the entry is home", func() bool { return f.Home(1) == entry })
	meanwhile(entry)
	f.Platform.HandIn(entry.Name, webhookOf("status"))
	delivered(entry, "1")
	some(0.5) // what is parked there has had its turn by now
	f.Judge()
	require.False(t, t.Failed())

	f.Net.Heal()
	home.Continue()
	entry.Await("doubt settled", "webhook="+id, "ours=false")
	f.Settled()
	f.Judge()
}

func webhookOf(kind string) platform.Webhook {
	return platform.Webhook{Type: kind, Dest: 1, TTL: 20 * time.Second, Body: "once"}
}

// Guards against a webhook that is called for here while it is offered to another member: what was parked
// because its home could not be reached is in doubt from its first offer on.
func TestAWebhookThatIsOfferedIsCalledForByNobodyElse(t *testing.T) {
	answerless(t, func(f *harness.Fleet, home, entry *harness.Member) string {
		f.Net.Set(entry.Name, home.Name, harness.Refuse)
		id, _ := f.Platform.HandIn(entry.Name, webhookOf("charge"))
		f.Net.Set(home.Name, entry.Name, harness.OneWay)
		f.Net.Set(entry.Name, home.Name, harness.Fault{})
		return id
	}, func(*harness.Member) {})
}

// Guards against doubts that end with the process that had them.
func TestADoubtOutlastsARestart(t *testing.T) {
	answerless(t, func(f *harness.Fleet, home, entry *harness.Member) string {
		f.Net.Set(home.Name, entry.Name, harness.OneWay)
		id, _ := f.Platform.HandIn(entry.Name, webhookOf("charge"))
		return id
	}, (*harness.Member).Restart)
}
