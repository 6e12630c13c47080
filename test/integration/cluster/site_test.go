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

// siteTerm is long: five members with all their webhooks keep their sessions on a machine that is busy.
const siteTerm = 3 * term

// lasts waits a part of it, for a fault to last.
func lasts(terms float64) { time.Sleep(time.Duration(terms * float64(siteTerm))) }

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

// sited is a fleet of three keepers and two relays.
func sited(t *testing.T) *harness.Fleet {
	all := slices.Concat(depot, harbor, direct)
	f := begin(t, harness.Shape{Term: siteTerm, Members: 5, Ranges: 9, Dests: all, Blocks: twoSites,
		WaitsBind: true,
		Lists:     map[string][]api.DestinationID{"prices": all},
		Extra: func(m string) string {
			if m == "m4" || m == "m5" {
				return "  weight = 0\n"
			}
			return ""
		}})
	f.Homed()
	for _, d := range all {
		require.NoError(t, f.Platform.Destination(d).Set(platform.Slow(60*time.Millisecond)))
	}
	return f
}

// announce hands announcements of each rule in, and single webhooks to subscribers behind relays beside them.
func announce(f *harness.Fleet, at ...string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	types, both := []string{"status", "paid", "charge", "ride"}, slices.Concat(depot, harbor)
	waits := []func(){f.Platform.Drive(ctx, platform.Load{Members: at, PerSecond: 8, Lines: 4,
		Next: func(n int) platform.Webhook {
			return platform.Webhook{Type: types[n%4], List: "prices", TTL: 20 * time.Second, Body: "prices of today"}
		}}), f.Platform.Drive(ctx, platform.Load{Members: at, PerSecond: 100, Lines: 8,
		Next: func(n int) platform.Webhook { // most of which may take effect once only
			return platform.Webhook{Type: types[min(n%5, 2)], Dest: both[n%12], TTL: 20 * time.Second, Body: "one"}
		}})}
	for _, name := range at { // a key's order is the one in which one member takes them
		waits = append(waits, f.Platform.Drive(ctx, platform.Load{Members: []string{name}, PerSecond: 15, Lines: 1,
			Next: func(n int) platform.Webhook {
				return platform.Webhook{Type: "ride", Key: name, Dest: both[n%12], TTL: 20 * time.Second, Body: "one"}
			}}))
	}
	return func() {
		cancel()
		for _, wait := range waits {
			wait()
		}
		f.Settled()
	}
}

// ends counts those that relays told, at the members that are owed them.
func ends(f *harness.Fleet) (n int) {
	for _, m := range f.Members {
		v, _ := m.Metric("site_ends_total")
		each, _ := strconv.Atoi(v)
		n += each
	}
	return n
}

// sender is who sends to a site: the home of its subscribers.
func sender(f *harness.Fleet, of api.DestinationID) (m *harness.Member) {
	f.Soon("a site has its sender", func() bool {
		m = f.Home(of)
		return m != nil
	})
	return m
}

// story plays faults at such a fleet under load, at which no rule may break. Where a home is lost for
// longer than a term, what lies in its journal comes after what the next home takes meanwhile, whatever its
// key.
func story(t *testing.T, faults func(f *harness.Fleet), but ...deliverycheck.Rule) (notices int) {
	t.Parallel()
	f := sited(t)
	stop := announce(f, "m1", "m2", "m3")
	f.Soon("something goes by the streams", func() bool { return told(f, "site_ends_total") })
	lasts(0.5)
	faults(f)
	lasts(0.5)
	stop()
	f.Judge(but...)
	t.Logf("%+v", f.Platform.Ledger.Counts())
	return f.Platform.Ledger.Counts().Told
}

// Guards against two ends: what the relay has is dead-lettered by nobody meanwhile, as it comes back in time.
func TestASenderAndItsRelayThatDoNotHearEachOtherForAWhile(t *testing.T) {
	assert.Zero(t, story(t, func(f *harness.Fleet) {
		waits := f.Platform.Destination(harbor[4])
		waits.Next(platform.Full(3 * time.Second))
		lasts(0.4) // what it told the relay binds the sender, too
		for _, fault := range []harness.Fault{harness.Cut, harness.OneWay, harness.HalfWay(2000)} {
			who := sender(f, harbor[0])
			f.Net.Set("m5", who.Name, fault)
			f.Net.Set(who.Name, "m5", harness.Fault{})
			lasts(1)
			f.Net.Heal()
			lasts(0.5)
		}
	}, deliverycheck.Overlap), "no webhook ends but by being delivered")
}

func TestAnAnnouncementEndsOnceAtEachSubscriberWhateverBecomesOfItsRelayAndSender(t *testing.T) {
	story(t, func(f *harness.Fleet) {
		f.Member("m4").Kill()
		f.Soon("what was there or would go there is seen to", func() bool {
			return told(f, "site_beside_total") || told(f, "site_unsure_total")
		})
		lasts(0.5)
		f.Member("m4").Start()
		lasts(0.5)

		who := sender(f, harbor[0])
		f.Net.Between(who.Name, "m5", harness.Cut)
		who.Await("called directly", "site=harbor", "directly=true")
		f.Net.Heal()
		lasts(0.5)

		who = sender(f, depot[0])
		who.Kill()
		f.Served()
		who.Start()
	}, deliverycheck.Order, deliverycheck.Overlap) // while a relay is cut off, what may run twice may run at both
}

func TestARelayThatStandsStillHoldsUpNoOtherSite(t *testing.T) {
	story(t, func(f *harness.Fleet) {
		for range 2 {
			f.Member("m5").Stop()
			n := ends(f)
			f.Soon("the other site's subscribers go on", func() bool { return ends(f) > n+50 })
			f.Member("m5").Continue()
			lasts(0.5)
		}
	}, deliverycheck.Order)
}

func TestSubscribersThatLeaveMoveAndComeBackAndRelaysThatChangeSitesUnderLoad(t *testing.T) {
	moved := strings.NewReplacer("24, 25, 26", "24, 25", "31, 32, 33", "26, 32, 33").Replace(twoSites)
	swapped := strings.NewReplacer("m4", "m5", "m5", "m4").Replace(twoSites)
	assert.Zero(t, story(t, func(f *harness.Fleet) {
		for _, blocks := range []string{moved, swapped, twoSites} {
			f.Reload(blocks)
			lasts(1)
		}
	}, deliverycheck.Order), "no webhook ends but by being delivered")
}

func TestRelaysAndSendersThatAreToldToEndAndComeBack(t *testing.T) {
	story(t, func(f *harness.Fleet) {
		for _, m := range []*harness.Member{f.Member("m4"), sender(f, harbor[0])} {
			m.End()
			f.Served()
			m.Start()
			lasts(0.5)
		}
	}, deliverycheck.Order)
}

// A subscriber behind one relay is sick while that is lost, one behind the other has an endpoint that drains
// while that is cut off: whoever calls, what returns is not pushed over and the drain is kept.
func TestASickSubscriberAndADrainBehindRelaysThatAreMissed(t *testing.T) {
	story(t, func(f *harness.Fleet) {
		sick := f.Platform.Destination(depot[1])
		require.NoError(t, sick.Fail(platform.Shut))
		first := f.Platform.Endpoints(harbor[2])[0]
		_, err := f.Platform.Add(harbor[2])
		require.NoError(t, err)
		lasts(0.5)
		f.Member("m4").Kill()
		f.Platform.Drain(first)
		f.Net.Between(sender(f, harbor[0]).Name, "m5", harness.Cut)
		lasts(0.7)
		require.NoError(t, sick.Return(100))
		f.Member("m4").Start()
		f.Net.Heal()
		lasts(1)
	}, deliverycheck.Order, deliverycheck.Overlap) // as above
}
