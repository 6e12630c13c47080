package cluster

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
	"rowanlink/webhook/api"
)

var (
	depot  = []api.DestinationID{21, 22, 23, 24, 25, 26}
	harbor = []api.DestinationID{31, 32, 33, 34, 35, 36}
	direct = []api.DestinationID{41, 42, 43, 44}
)

// siteLeaseTTL is long: five members with all their webhooks keep their sessions on a busy machine.
const siteLeaseTTL = 3 * leaseTTL

// sleepSiteTTLs sleeps for a number of site lease TTLs.
func sleepSiteTTLs(ttls float64) { time.Sleep(time.Duration(ttls * float64(siteLeaseTTL))) }

const twoSites = `
site "depot" {
  relay       = "m4"
  subscribers = [21, 22, 23, 24, 25, 26]
}
site "harbor" {
  relay       = "m5"
  subscribers = [31, 32, 33, 34, 35, 36]
}
`

// startSites starts a cluster of three raft nodes and two relays.
func startSites(t *testing.T) *harness.Cluster {
	all := slices.Concat(depot, harbor, direct)
	c := startCluster(t, harness.Options{
		LeaseTTL:        siteLeaseTTL,
		Members:         5,
		Ranges:          9,
		Destinations:    all,
		ConfigBlocks:    twoSites,
		WaitsBindAll:    true,
		SubscriberLists: map[string][]api.DestinationID{"prices": all},
		MemberSettings: func(m string) string {
			if m == "m4" || m == "m5" {
				return "  weight = 0\n"
			}
			return ""
		},
	})
	c.AwaitStable()
	for _, d := range all {
		require.NoError(t, c.Platform.Destination(d).SetBehaviour(platform.Slow(60*time.Millisecond)))
	}
	return c
}

// startAnnouncements submits announcements of each rule, and single webhooks to subscribers behind relays.
func startAnnouncements(c *harness.Cluster, at ...string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	types, both := []string{"status", "paid", "charge", "ride"}, slices.Concat(depot, harbor)
	waits := []func(){c.Platform.StartLoad(ctx, platform.Load{
		Members:   at,
		PerSecond: 8,
		Clients:   4,
		Next: func(n int) platform.Webhook {
			return platform.Webhook{
				Type: types[n%4],
				List: "prices",
				TTL:  20 * time.Second,
				Body: "prices of today",
			}
		},
	}), c.Platform.StartLoad(ctx, platform.Load{
		Members:   at,
		PerSecond: 100,
		Clients:   8,
		Next: func(n int) platform.Webhook { // most of which may take effect once only
			return platform.Webhook{
				Type:        types[min(n%5, 2)],
				Destination: both[n%12],
				TTL:         20 * time.Second,
				Body:        "one",
			}
		},
	})}
	for _, name := range at { // a key's order is the one in which one member takes them
		waits = append(waits, c.Platform.StartLoad(ctx, platform.Load{
			Members:   []string{name},
			PerSecond: 15,
			Clients:   1,
			Next: func(n int) platform.Webhook {
				return platform.Webhook{
					Type:        "ride",
					Key:         name,
					Destination: both[n%12],
					TTL:         20 * time.Second,
					Body:        "one",
				}
			},
		}))
	}
	return func() {
		cancel()
		for _, wait := range waits {
			wait()
		}
		c.AwaitOutcomes()
	}
}

// relayResults counts the results that relays reported, at the members that wait for them.
func relayResults(c *harness.Cluster) (n int) {
	for _, m := range c.Members {
		v, _ := m.Metric("site_ends_total")
		each, _ := strconv.Atoi(v)
		n += each
	}
	return n
}

// awaitSender returns the sender of a site: the owner of its subscribers.
func awaitSender(c *harness.Cluster, of api.DestinationID) (m *harness.Member) {
	c.Eventually("a site has a sender", func() bool {
		m = c.Owner(of)
		return m != nil
	})
	return m
}

// runSiteScenario runs faults in a cluster with sites under load, checks all rules except the given ones, and returns
// the number of notices. Where an owner is lost for longer than a lease TTL, the webhooks in its journal come after
// those that the next owner accepts meanwhile, so that the order of keys doesn't hold.
func runSiteScenario(t *testing.T, faults func(c *harness.Cluster), but ...deliverycheck.Rule) (notices int) {
	return runSiteScenarioAllowing(t, faults, func(v deliverycheck.Violation) bool { return slices.Contains(but, v.Rule) })
}

func runSiteScenarioAllowing(
	t *testing.T, faults func(c *harness.Cluster), isAllowed func(deliverycheck.Violation) bool,
) (notices int) {
	t.Parallel()
	c := startSites(t)
	stop := startAnnouncements(c, "m1", "m2", "m3")
	c.Eventually("something goes by the streams", func() bool { return anyMetricPositive(c, "site_ends_total") })
	sleepSiteTTLs(0.5)
	faults(c)
	sleepSiteTTLs(0.5)
	stop()
	c.CheckAllowing(isAllowed)
	t.Logf("%+v", c.Platform.Checker.Counts())
	return c.Platform.Checker.Counts().Notices
}

// No webhook has two outcomes: what the relay has is dead-lettered by nobody during the partition, since the relay is
// back in time.
func TestSite_PartitionBetweenSenderAndRelay(t *testing.T) {
	assert.Zero(t, runSiteScenario(t, func(c *harness.Cluster) {
		waits := c.Platform.Destination(harbor[4])
		waits.QueueBehaviours(platform.RateLimited(3 * time.Second))
		sleepSiteTTLs(0.4) // a Retry-After that the relay received binds the sender, too
		for _, fault := range []harness.Fault{harness.Partition, harness.OneWayPartition, harness.ResetAfterBytes(2000)} {
			who := awaitSender(c, harbor[0])
			c.Network.SetFault("m5", who.Name, fault)
			c.Network.SetFault(who.Name, "m5", harness.Fault{})
			sleepSiteTTLs(1)
			c.Network.Heal()
			sleepSiteTTLs(0.5)
		}
	}, deliverycheck.Overlap, deliverycheck.ForkOverlap), "no webhook ends but by being delivered")
}

func TestSite_AnnouncementEndsOnceAtEachSubscriber(t *testing.T) {
	runSiteScenario(t, func(c *harness.Cluster) {
		c.Member("m4").Kill()
		c.Eventually("what was there or would go there is seen to", func() bool {
			return anyMetricPositive(c, "site_beside_total") || anyMetricPositive(c, "site_unsure_total")
		})
		sleepSiteTTLs(0.5)
		c.Member("m4").Start()
		sleepSiteTTLs(0.5)

		who := awaitSender(c, harbor[0])
		c.Network.SetFaultBetween(who.Name, "m5", harness.Partition)
		who.AwaitLog("called directly", "site=harbor", "directly=true")
		c.Network.Heal()
		sleepSiteTTLs(0.5)

		who = awaitSender(c, depot[0])
		who.Kill()
		c.AwaitServed()
		who.Start()
	}, deliverycheck.Order, deliverycheck.Overlap, deliverycheck.ForkOverlap) // while a relay is cut off, what may run twice may run at both
}

// A call that the relay has begun when it is paused ends when it goes on. Meanwhile the sender calls directly with what is
// idempotent and in doubt.
func TestSite_PausedRelayBlocksNoOtherSite(t *testing.T) {
	const relay = "m5"
	runSiteScenarioAllowing(t, func(c *harness.Cluster) {
		for range 2 {
			c.Member(relay).Pause()
			n := relayResults(c)
			c.Eventually("the other site's subscribers go on", func() bool { return relayResults(c) > n+50 })
			c.Member(relay).Resume()
			sleepSiteTTLs(0.5)
		}
	}, func(v deliverycheck.Violation) bool {
		isOfRelay := (v.Member == relay || v.With == relay) && slices.Contains(harbor, v.Destination)
		return v.Rule == deliverycheck.Order || v.Rule == deliverycheck.ForkOverlap && isOfRelay
	})
}

func TestSite_SubscribersAndRelaysChangeSites(t *testing.T) {
	moved := strings.NewReplacer("24, 25, 26", "24, 25", "31, 32, 33", "26, 32, 33").Replace(twoSites)
	swapped := strings.NewReplacer("m4", "m5", "m5", "m4").Replace(twoSites)
	assert.Zero(t, runSiteScenario(t, func(c *harness.Cluster) {
		for _, blocks := range []string{moved, swapped, twoSites} {
			c.ReloadOperatorFiles(blocks)
			sleepSiteTTLs(1)
		}
	}, deliverycheck.Order), "no webhook ends but by being delivered")
}

func TestSite_RelaysAndSendersRestart(t *testing.T) {
	runSiteScenario(t, func(c *harness.Cluster) {
		for _, m := range []*harness.Member{c.Member("m4"), awaitSender(c, harbor[0])} {
			m.Terminate()
			c.AwaitServed()
			m.Start()
			sleepSiteTTLs(0.5)
		}
	}, deliverycheck.Order)
}

// A subscriber behind one relay is unhealthy while that is down, one behind the other has an endpoint that drains while
// that is partitioned: whoever calls, the recovered destination is not overloaded and the drain is observed.
func TestSite_UnhealthySubscriberAndDrainDuringFaults(t *testing.T) {
	runSiteScenario(t, func(c *harness.Cluster) {
		sick := c.Platform.Destination(depot[1])
		require.NoError(t, sick.BeginOutage(platform.Unavailable))
		first := c.Platform.Endpoints(harbor[2])[0]
		_, err := c.Platform.AddEndpoint(harbor[2])
		require.NoError(t, err)
		sleepSiteTTLs(0.5)
		c.Member("m4").Kill()
		c.Platform.Drain(first)
		c.Network.SetFaultBetween(awaitSender(c, harbor[0]).Name, "m5", harness.Partition)
		sleepSiteTTLs(0.7)
		require.NoError(t, sick.EndOutage(100))
		c.Member("m4").Start()
		c.Network.Heal()
		sleepSiteTTLs(1)
	}, deliverycheck.Order, deliverycheck.Overlap, deliverycheck.ForkOverlap) // as above
}
