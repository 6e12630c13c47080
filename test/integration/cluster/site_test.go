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

// siteLeaseTTL is long: five members with all their webhooks keep their sessions on a machine that is busy.
const siteLeaseTTL = 3 * leaseTTL

// sleepSiteTTLs waits a part of it, for a fault to last.
func sleepSiteTTLs(terms float64) { time.Sleep(time.Duration(terms * float64(siteLeaseTTL))) }

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

// startSites is a fleet of three keepers and two relays.
func startSites(t *testing.T) *harness.Cluster {
	all := slices.Concat(depot, harbor, direct)
	f := startCluster(t, harness.Options{LeaseTTL: siteLeaseTTL, Members: 5, Ranges: 9, Destinations: all, ConfigBlocks: twoSites,
		WaitsBindAll:    true,
		SubscriberLists: map[string][]api.DestinationID{"prices": all},
		MemberSettings: func(m string) string {
			if m == "m4" || m == "m5" {
				return "  weight = 0\n"
			}
			return ""
		}})
	f.AwaitStable()
	for _, d := range all {
		require.NoError(t, f.Platform.Destination(d).SetBehaviour(platform.Slow(60*time.Millisecond)))
	}
	return f
}

// startAnnouncements hands announcements of each rule in, and single webhooks to subscribers behind relays beside them.
func startAnnouncements(f *harness.Cluster, at ...string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	types, both := []string{"status", "paid", "charge", "ride"}, slices.Concat(depot, harbor)
	waits := []func(){f.Platform.StartLoad(ctx, platform.Load{Members: at, PerSecond: 8, Clients: 4,
		Next: func(n int) platform.Webhook {
			return platform.Webhook{Type: types[n%4], List: "prices", TTL: 20 * time.Second, Body: "prices of today"}
		}}), f.Platform.StartLoad(ctx, platform.Load{Members: at, PerSecond: 100, Clients: 8,
		Next: func(n int) platform.Webhook { // most of which may take effect once only
			return platform.Webhook{Type: types[min(n%5, 2)], Destination: both[n%12], TTL: 20 * time.Second, Body: "one"}
		}})}
	for _, name := range at { // a key's order is the one in which one member takes them
		waits = append(waits, f.Platform.StartLoad(ctx, platform.Load{Members: []string{name}, PerSecond: 15, Clients: 1,
			Next: func(n int) platform.Webhook {
				return platform.Webhook{Type: "ride", Key: name, Destination: both[n%12], TTL: 20 * time.Second, Body: "one"}
			}}))
	}
	return func() {
		cancel()
		for _, wait := range waits {
			wait()
		}
		f.AwaitOutcomes()
	}
}

// relayResults counts those that relays told, at the members that are owed them.
func relayResults(f *harness.Cluster) (n int) {
	for _, m := range f.Members {
		v, _ := m.Metric("site_ends_total")
		each, _ := strconv.Atoi(v)
		n += each
	}
	return n
}

// awaitSender is who sends to a site: the home of its subscribers.
func awaitSender(f *harness.Cluster, of api.DestinationID) (m *harness.Member) {
	f.Eventually("a site has its sender", func() bool {
		m = f.Owner(of)
		return m != nil
	})
	return m
}

// runSiteScenario plays faults at such a fleet under load, at which no rule may break. Where a home is lost for
// longer than a term, what lies in its journal comes after what the next home takes meanwhile, whatever its
// key.
func runSiteScenario(t *testing.T, faults func(f *harness.Cluster), but ...deliverycheck.Rule) (notices int) {
	t.Parallel()
	f := startSites(t)
	stop := startAnnouncements(f, "m1", "m2", "m3")
	f.Eventually("something goes by the streams", func() bool { return anyMetricPositive(f, "site_ends_total") })
	sleepSiteTTLs(0.5)
	faults(f)
	sleepSiteTTLs(0.5)
	stop()
	f.Check(but...)
	t.Logf("%+v", f.Platform.Checker.Counts())
	return f.Platform.Checker.Counts().Notices
}

// Guards against two ends: what the relay has is dead-lettered by nobody meanwhile, as it comes back in time.
func TestSite_PartitionBetweenSenderAndRelay(t *testing.T) {
	assert.Zero(t, runSiteScenario(t, func(f *harness.Cluster) {
		waits := f.Platform.Destination(harbor[4])
		waits.QueueBehaviours(platform.RateLimited(3 * time.Second))
		sleepSiteTTLs(0.4) // what it told the relay binds the sender, too
		for _, fault := range []harness.Fault{harness.Partition, harness.OneWayPartition, harness.ResetAfterBytes(2000)} {
			who := awaitSender(f, harbor[0])
			f.Network.SetFault("m5", who.Name, fault)
			f.Network.SetFault(who.Name, "m5", harness.Fault{})
			sleepSiteTTLs(1)
			f.Network.Heal()
			sleepSiteTTLs(0.5)
		}
	}, deliverycheck.Overlap), "no webhook ends but by being delivered")
}

func TestSite_AnnouncementEndsOnceAtEachSubscriber(t *testing.T) {
	runSiteScenario(t, func(f *harness.Cluster) {
		f.Member("m4").Kill()
		f.Eventually("what was there or would go there is seen to", func() bool {
			return anyMetricPositive(f, "site_beside_total") || anyMetricPositive(f, "site_unsure_total")
		})
		sleepSiteTTLs(0.5)
		f.Member("m4").Start()
		sleepSiteTTLs(0.5)

		who := awaitSender(f, harbor[0])
		f.Network.SetFaultBetween(who.Name, "m5", harness.Partition)
		who.AwaitLog("called directly", "site=harbor", "directly=true")
		f.Network.Heal()
		sleepSiteTTLs(0.5)

		who = awaitSender(f, depot[0])
		who.Kill()
		f.AwaitServed()
		who.Start()
	}, deliverycheck.Order, deliverycheck.Overlap) // while a relay is cut off, what may run twice may run at both
}

func TestSite_PausedRelayBlocksNoOtherSite(t *testing.T) {
	runSiteScenario(t, func(f *harness.Cluster) {
		for range 2 {
			f.Member("m5").Pause()
			n := relayResults(f)
			f.Eventually("the other site's subscribers go on", func() bool { return relayResults(f) > n+50 })
			f.Member("m5").Resume()
			sleepSiteTTLs(0.5)
		}
	}, deliverycheck.Order)
}

func TestSite_SubscribersAndRelaysChangeSites(t *testing.T) {
	moved := strings.NewReplacer("24, 25, 26", "24, 25", "31, 32, 33", "26, 32, 33").Replace(twoSites)
	swapped := strings.NewReplacer("m4", "m5", "m5", "m4").Replace(twoSites)
	assert.Zero(t, runSiteScenario(t, func(f *harness.Cluster) {
		for _, blocks := range []string{moved, swapped, twoSites} {
			f.ReloadOperatorFiles(blocks)
			sleepSiteTTLs(1)
		}
	}, deliverycheck.Order), "no webhook ends but by being delivered")
}

func TestSite_RelaysAndSendersRestart(t *testing.T) {
	runSiteScenario(t, func(f *harness.Cluster) {
		for _, m := range []*harness.Member{f.Member("m4"), awaitSender(f, harbor[0])} {
			m.Terminate()
			f.AwaitServed()
			m.Start()
			sleepSiteTTLs(0.5)
		}
	}, deliverycheck.Order)
}

// A subscriber behind one relay is sick while that is lost, one behind the other has an endpoint that drains
// while that is cut off: whoever calls, what returns is not pushed over and the drain is kept.
func TestSite_UnhealthySubscriberAndDrainDuringFaults(t *testing.T) {
	runSiteScenario(t, func(f *harness.Cluster) {
		sick := f.Platform.Destination(depot[1])
		require.NoError(t, sick.BeginOutage(platform.Unavailable))
		first := f.Platform.Endpoints(harbor[2])[0]
		_, err := f.Platform.AddEndpoint(harbor[2])
		require.NoError(t, err)
		sleepSiteTTLs(0.5)
		f.Member("m4").Kill()
		f.Platform.Drain(first)
		f.Network.SetFaultBetween(awaitSender(f, harbor[0]).Name, "m5", harness.Partition)
		sleepSiteTTLs(0.7)
		require.NoError(t, sick.EndOutage(100))
		f.Member("m4").Start()
		f.Network.Heal()
		sleepSiteTTLs(1)
	}, deliverycheck.Order, deliverycheck.Overlap) // as above
}
