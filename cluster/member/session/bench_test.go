package session_test

import (
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/member/session"
	"rowanlink/webhook/api"
)

// countingListener is a listener that counts the bytes received and sent on its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, c.bytes}, nil
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

const benchLeaseTTL = 3 * api.Second

// BenchmarkAtRest measures an idle cluster, for one lease TTL per iteration. Three raft nodes run in this process,
// together with a number of members that hold one lease each and watch the leases.
func BenchmarkAtRest(b *testing.B) {
	for _, members := range []int{0, 300} {
		b.Run(fmt.Sprint(members), func(b *testing.B) { benchmarkAtRest(b, members) })
	}
}

func benchmarkAtRest(b *testing.B, members int) {
	c := startClusterWith(b, benchLeaseTTL, true)
	c.awaitLeader()
	var sessions []*session.Session
	for i := range members {
		resource := cluster.RangeOwnerResource(cluster.RangeID(i))
		s := c.startSession(cluster.MemberID(fmt.Sprint("d", i)), resource)
		s.Watch(cluster.LeaseComponent, func(uint64, []byte) {})
		sessions = append(sessions, s)
	}
	for i, s := range sessions {
		awaitHeld(b, s, cluster.RangeOwnerResource(cluster.RangeID(i)))
	}
	time.Sleep(3 * time.Second)
	leader := c.running[c.awaitLeader()]
	entries, renewals, bytes := leader.LastIndex(), leader.RenewalsAccepted.Load(), c.nodeBytes.Load()
	used, begun := cpuTime(b), time.Now()
	for b.Loop() {
		time.Sleep(3 * time.Second)
	}
	seconds := time.Since(begun).Seconds()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(leader.LastIndex()-entries)/seconds, "entries/s")
	b.ReportMetric(float64(leader.RenewalsAccepted.Load()-renewals)/seconds, "renewed/s")
	b.ReportMetric(float64(c.nodeBytes.Load()-bytes)/seconds, "B/s")
	b.ReportMetric(100*(cpuTime(b)-used).Seconds()/seconds, "%cpu")
	b.ReportMetric(float64(memory.Sys)/1e6, "MB")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkTakeover measures the time until another raft node leads after the leading one was partitioned.
func BenchmarkTakeover(b *testing.B) {
	c := startClusterWith(b, benchLeaseTTL, false)
	var all []float64
	for b.Loop() {
		old := c.awaitLeader()
		c.partition(old, c.names...)
		begun := time.Now()
		c.awaitLeader(old)
		all = append(all, time.Since(begun).Seconds())
		c.heal(old, c.names...)
		time.Sleep(2 * time.Second)
	}
	slices.Sort(all)
	b.ReportMetric(all[len(all)/2], "s-median")
	b.ReportMetric(all[len(all)-1], "s-worst")
	b.ReportMetric(0, "ns/op")
}
