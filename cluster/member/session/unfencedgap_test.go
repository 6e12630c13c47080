package session_test

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/test/fake/raftleader"
)

// gaps summarizes the gaps that a lease holder measured. A gap is the time from the last check of the lease until the
// write of the last byte has returned.
type gaps struct {
	Actions    int
	WithStop   int // gaps in which the process was stopped
	AfterLease int // gaps counted in WithStop that ended after the lease had expired
	Median     time.Duration
	Worst      time.Duration
	Sum        time.Duration // total duration of the gaps
	Busy       time.Duration // total duration of the actions
}

const (
	gapPartner = "ROWANLINK_GAP_PARTNER" // host:port
	gapStop    = "ROWANLINK_GAP_STOP"    // in the format of time.ParseDuration
)

// TestUnfencedGapHolder is the lease holder that BenchmarkUnfencedGap runs as a process of its own and stops
// repeatedly. In other test runs it is skipped.
func TestUnfencedGapHolder(t *testing.T) {
	to := os.Getenv(gapPartner)
	if to == "" {
		t.Skip("only within BenchmarkUnfencedGap")
	}
	stop, err := time.ParseDuration(os.Getenv(gapStop))
	require.NoError(t, err)
	_, s := startFakeLeader(t, raftleader.ReplyTruthfully)
	s.Acquire("home/1")
	awaitHeld(t, s, "home/1")
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", to)
	require.NoError(t, err)
	var all []time.Duration
	message, measured := make([]byte, 900), gaps{}
	partnerGone := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn) // until the partner closes
		close(partnerGone)
	}()
	for {
		select {
		case <-partnerGone:
			measured.Actions = len(all)
			slices.Sort(all)
			measured.Median, measured.Worst = all[len(all)/2], all[len(all)-1]
			require.NoError(t, json.NewEncoder(os.Stdout).Encode(measured))
			return
		default:
		}
		begun := time.Now()
		s.DoWhileHeld("home/1", func(_ cluster.Epoch, stillHeld func() bool) {
			if _, err := conn.Write(message[:len(message)-1]); err != nil || !stillHeld() {
				return
			}
			checked := time.Now()
			if _, err := conn.Write(message[len(message)-1:]); err != nil {
				return
			}
			gap := time.Since(checked)
			all = append(all, gap)
			measured.Sum += gap
			if gap > stop/2 {
				measured.WithStop++
				if _, held := s.Holds("home/1"); !held {
					measured.AfterLease++
				}
			}
		})
		measured.Busy += time.Since(begun)
	}
}

// BenchmarkUnfencedGap measures the gap between the last check of a lease and the end of a write, in which a receiver
// that checks no fencing token is unprotected. A process that holds a lease writes to a partner, one action after the
// other, and is stopped with SIGSTOP at random times for longer than its lease TTL. The benchmark reports the lengths
// of the gap and how many of the stops fall into it.
func BenchmarkUnfencedGap(b *testing.B) {
	for _, stop := range []time.Duration{0, leaseTTL.Duration() * 5 / 4} {
		b.Run("stop="+stop.String(), func(b *testing.B) { benchmarkUnfencedGap(b, stop) })
	}
}

func benchmarkUnfencedGap(b *testing.B, stop time.Duration) {
	listener, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	require.NoError(b, err)
	child := exec.CommandContext(context.Background(), os.Args[0], "-test.run=^TestUnfencedGapHolder$")
	child.Env = append(os.Environ(), gapPartner+"="+listener.Addr().String(),
		gapStop+"="+max(stop, time.Second).String())
	out, err := child.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, child.Start())
	conn, err := listener.Accept()
	require.NoError(b, err)
	go func() { _, _ = io.Copy(io.Discard, conn) }() // until it is closed below
	for b.Loop() {
		time.Sleep(50*time.Millisecond + time.Duration(rand.Int64N(int64(50*time.Millisecond))))
		if stop > 0 {
			require.NoError(b, child.Process.Signal(syscall.SIGSTOP))
			time.Sleep(stop)
			require.NoError(b, child.Process.Signal(syscall.SIGCONT))
		}
	}
	require.NoError(b, conn.Close())
	var measured gaps
	require.NoError(b, json.NewDecoder(out).Decode(&measured))
	_, _ = io.Copy(io.Discard, out) // the rest of the test's output
	require.NoError(b, child.Wait())
	b.ReportMetric(float64(measured.Actions), "deeds")
	b.ReportMetric(float64(measured.Median)/1e3, "us-median")
	b.ReportMetric(float64(measured.Worst)/1e3, "us-worst")
	b.ReportMetric(100*float64(measured.Sum)/float64(measured.Busy), "%-of-a-deed")
	b.ReportMetric(float64(measured.WithStop), "stops-in-gap")
	b.ReportMetric(float64(measured.AfterLease), "past-the-term")
	b.ReportMetric(0, "ns/op")
}
