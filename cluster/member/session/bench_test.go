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

	"rowanlink/cluster"
	"rowanlink/cluster/member/session"
	"rowanlink/webhook/api"
)

// counted is a listener whose bytes are counted, in and out.
type counted struct {
	net.Listener
	n *atomic.Int64
}

type countedConn struct {
	net.Conn
	n *atomic.Int64
}

func (c counted) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, c.n}, nil
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

func cpu() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAtRest is three keepers and so many members that hold a task each and follow the leases, all in
// this process, for a leaseTTL of 3 s each time: what it costs that nothing happens.
func BenchmarkAtRest(b *testing.B) {
	for _, members := range []int{0, 300} {
		b.Run(fmt.Sprint(members), func(b *testing.B) { atRest(b, members) })
	}
}

func atRest(b *testing.B, members int) {
	const leaseTTL = 3 * api.Second
	f := begin(b, 3, leaseTTL, true)
	f.leader()
	var all []*session.Session
	for i := range members {
		task := cluster.RangeOwnerResource(cluster.RangeID(i))
		s := f.member(cluster.MemberID(fmt.Sprint("d", i)), task)
		s.Watch(cluster.LeaseComponent, func(uint64, []byte) {})
		all = append(all, s)
	}
	for i, s := range all {
		awaitHeld(b, s, cluster.RangeOwnerResource(cluster.RangeID(i)))
	}
	time.Sleep(3 * time.Second)
	k := f.up[f.leader()]
	entries, renewed, moved, used, since := k.LastIndex(), k.RenewalsAccepted.Load(), f.moved.Load(), cpu(), time.Now()
	for b.Loop() {
		time.Sleep(3 * time.Second)
	}
	spent := time.Since(since).Seconds()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(k.LastIndex()-entries)/spent, "entries/s")
	b.ReportMetric(float64(k.RenewalsAccepted.Load()-renewed)/spent, "renewed/s")
	b.ReportMetric(float64(f.moved.Load()-moved)/spent, "B/s")
	b.ReportMetric(100*(cpu()-used).Seconds()/spent, "%cpu")
	b.ReportMetric(float64(m.Sys)/1e6, "MB")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkTakeover cuts the leading keeper off, again and again: how long until another leads, by a leaseTTL of
// 3 s.
func BenchmarkTakeover(b *testing.B) {
	f := begin(b, 3, 3*api.Second, false)
	var all []float64
	for b.Loop() {
		old := f.leader()
		f.cut(old, true, f.names...)
		since := time.Now()
		f.leader(old)
		all = append(all, time.Since(since).Seconds())
		f.cut(old, false, f.names...)
		time.Sleep(2 * time.Second)
	}
	slices.Sort(all)
	b.ReportMetric(all[len(all)/2], "s-median")
	b.ReportMetric(all[len(all)-1], "s-worst")
	b.ReportMetric(0, "ns/op")
}
