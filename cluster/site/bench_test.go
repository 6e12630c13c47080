package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/config"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/callback"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/lifecycle"
	"rowanlink/webhook/dispatcher/upstream"
	"rowanlink/webhook/dispatcher/wal"
	"rowanlink/webhook/policy"
)

// The number of sites and subscribers that the benchmark's announcement is sent to.
const (
	benchSites              = 40
	benchSubscribersPerSite = 250
)

// stubSession holds every lease with epoch 1.
type stubSession struct{}

func (stubSession) Acquire(cluster.Resource)                     {}
func (stubSession) Release(cluster.Resource)                     {}
func (stubSession) Holds(cluster.Resource) (cluster.Epoch, bool) { return 1, true }

// openAdmission lets this member call a destination whenever its site's stream allows it.
type openAdmission struct{ sites *Sites }

func (o openAdmission) MayCall(d api.DestinationID, _ bool) bool {
	may, _ := o.sites.MayCall(d)
	return may
}
func (openAdmission) IsInDoubt(inflight.RequestID) bool     { return false }
func (o openAdmission) RateShare(api.DestinationID) float64 { return 1 }

// BenchmarkAnnouncement measures one announcement to 10,000 subscribers at 40 sites, at the member that owns all of
// them, from its submission until the journal has all results. It calls the subscribers directly, or sends streams to
// the sites' relays. The calls and bytes are those of the member's connections, the CPU time that of its process.
func BenchmarkAnnouncement(b *testing.B) {
	for _, path := range []string{"direct", "streams"} {
		b.Run(path, func(b *testing.B) { benchmarkAnnouncement(b, path == "streams") })
	}
}

func benchmarkAnnouncement(b *testing.B, useStreams bool) {
	b.Helper()
	listener, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	require.NoError(b, err)
	peer := exec.CommandContext(context.Background(), os.Args[0]) // ends when its input is closed
	peer.Env = append(os.Environ(), peerProcessEnv+"="+listener.Addr().String())
	out, err := peer.StdoutPipe()
	require.NoError(b, err)
	in, err := peer.StdinPipe()
	require.NoError(b, err)
	require.NoError(b, peer.Start())
	b.Cleanup(func() {
		_ = in.Close()
		_ = peer.Wait()
	})
	line := make([]byte, 4096)
	n, err := out.Read(line)
	require.NoError(b, err)
	addrs := strings.Fields(string(line[:n]))
	f := config.File{LeaseTTL: 3 * api.Second, MaxClockDrift: 0.05}
	addresses, all := map[cluster.MemberID]string{}, []api.DestinationID{}
	for s := range benchSites {
		site := config.Site{ID: cluster.SiteID(fmt.Sprint(s)), Relay: cluster.MemberID(fmt.Sprint("r", s))}
		for n := range benchSubscribersPerSite {
			site.Subscribers = append(site.Subscribers, api.DestinationID(s*benchSubscribersPerSite+n+1))
		}
		addresses[site.Relay] = addrs[s+1]
		all = append(all, site.Subscribers...)
		if useStreams {
			f.Sites = append(f.Sites, site)
		}
	}
	f.Lists = []config.List{{ID: "all", Subscribers: all}}
	journal, err := wal.Open(b.TempDir(), 200)
	require.NoError(b, err)
	inbox, life := inflight.New(), &lifecycle.Lifecycle{}
	life.Enter(lifecycle.Serving)
	eventType := api.EventType{LatencyTarget: 5 * api.Second, TTL: 600 * api.Second}
	loop := eventloop.New(inbox, life, journal, api.Settings{
		MaxInFlight:      256,
		BufferSize:       2 * len(all),
		MaxAttempts:      3,
		MinTurnInterval:  1000,
		ConnectTimeout:   api.Second,
		EventTypes:       []api.EventType{eventType},
		DestinationKinds: []api.DestinationKind{{BatchSize: 1}},
	})
	messenger := transport.NewClient("m", addresses)
	sites := New(Options{
		Self:           "m",
		StateDir:       b.TempDir(),
		Inbox:          inbox,
		Loop:           loop,
		Messenger:      messenger,
		NotifyHandoff:  func() {},
		EventType:      func(api.EventTypeID) api.EventType { return eventType },
		IsRangeOwner:   func(api.DestinationID) bool { return true },
		IsSiteOwner:    func(cluster.SiteID) bool { return true },
		IsOwnerUnknown: func(cluster.SiteID) bool { return false },
		BufferCapacity: func() int { return 2 * len(all) },
	}, f)
	sites.Install()
	loop.JoinCluster(openAdmission{sites})
	server := transport.NewServer(256, 5*time.Second)
	sites.RegisterHandlers(server)
	go func() { _ = server.Serve(listener) }()
	calls := upstream.New(&inbox.Counters, loop.CallFinished, api.Second, api.Second, 400)
	loop.Begin(calls, callback.New("127.0.0.1:1", &inbox.Counters, loop.CallbacksDelivered),
		func(f api.Settings, h api.Host) api.Policy { return policy.New(f, h) })
	go loop.Run()
	require.NoError(b, sites.Start(stubSession{}))
	var list []api.EndpointEntry
	var to []string
	for _, dest := range all {
		list = append(list, api.EndpointEntry{Endpoint: api.EndpointID(dest), Destination: dest, Rate: 50})
		to = append(to, addrs[0])
	}
	loop.UpdateEndpoints(list, to, true)
	b.Cleanup(func() {
		life.Enter(lifecycle.Stopped)
		_ = server.Close(time.Second)
	})
	time.Sleep(time.Second) // until the streams are open
	callsBefore, bytesBefore := readCounts(b, addrs[0])
	cpuBefore, n := cpuTime(), 0
	for b.Loop() {
		n++
		w := &inflight.Webhook{
			RequestID:  inflight.RequestID(fmt.Sprint("a", n)),
			Body:       incompressibleBody(),
			Deadline:   inflight.Now() + eventType.TTL,
			ReceivedAt: inflight.Now(),
		}
		w.List = "all"
		answer, _ := sites.submit(w, nil)
		require.Equal(b, inflight.Accepted, answer)
		for !loop.Empty() {
			time.Sleep(5 * time.Millisecond)
		}
	}
	b.ReportMetric(float64((cpuTime()-cpuBefore).Milliseconds())/float64(n), "cpu-ms/op")
	callsAfter, bytesAfter := readCounts(b, addrs[0])
	b.ReportMetric(float64(callsAfter-callsBefore)/float64(n), "calls/op")
	b.ReportMetric(float64(bytesAfter-bytesBefore)/float64(n), "wire-bytes/op")
	b.ReportMetric(float64(inbox.RejectedByCallback.Load()+inbox.DeadLettered.Load()), "undelivered")
}

// incompressibleBody returns about a kilobyte that does not compress well.
func incompressibleBody() []byte {
	b := &strings.Builder{}
	for n := range 40 {
		fmt.Fprintf(b, `{"article":%d,"price":%d},`, n*7919, n*n*104729)
	}
	return []byte(b.String())
}

func readCounts(b *testing.B, addr string) (calls, bytes int64) {
	b.Helper()
	request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+addr+"/counts", nil)
	require.NoError(b, err)
	resp, err := http.DefaultClient.Do(request)
	require.NoError(b, err)
	defer func() { _ = resp.Body.Close() }()
	_, err = fmt.Fscan(resp.Body, &calls, &bytes)
	require.NoError(b, err)
	return calls, bytes
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
