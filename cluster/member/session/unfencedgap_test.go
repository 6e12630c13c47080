package session_test

import (
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

// gaps are what a holder measured between the last look at its clock and the return of the last byte's write.
type gaps struct {
	Deeds, Over, After int // Over: gaps with a stop in them; After: of those, the leaseTTL was over by then
	Median, Worst      time.Duration
	In, Busy           time.Duration // all gaps, all deeds
}

const (
	gapPartner = "ROWANLINK_GAP_PARTNER" // host:port
	gapStop    = "ROWANLINK_GAP_STOP"    // as time.Duration has it
)

// TestUnfencedGapHolder is the process that BenchmarkUnfencedGap stops; by itself it does nothing.
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
	c, err := net.Dial("tcp", to)
	require.NoError(t, err)
	var all []time.Duration
	said, n := make([]byte, 900), gaps{}
	over := make(chan struct{})
	go func() { io.Copy(io.Discard, c); close(over) }() // the partner's end ends it
	for {
		select {
		case <-over:
			n.Deeds = len(all)
			slices.Sort(all)
			n.Median, n.Worst = all[len(all)/2], all[len(all)-1]
			json.NewEncoder(os.Stdout).Encode(n)
			return
		default:
		}
		from := time.Now()
		s.DoWhileHeld("home/1", func(_ cluster.Epoch, still func() bool) {
			if _, err := c.Write(said[:len(said)-1]); err != nil || !still() {
				return
			}
			looked := time.Now()
			if _, err := c.Write(said[len(said)-1:]); err != nil {
				return
			}
			gap := time.Since(looked)
			all = append(all, gap)
			n.In += gap
			if gap > stop/2 {
				n.Over++
				if _, held := s.Holds("home/1"); !held {
					n.After++
				}
			}
		})
		n.Busy += time.Since(from)
	}
}

// BenchmarkUnfencedGap has a process that holds a task write to a partner, deed after deed, and stops it with
// SIGSTOP at drawn moments for longer than its leaseTTL: how long the gap is that no fence closes, and how many
// of the stops fall into it.
func BenchmarkUnfencedGap(b *testing.B) {
	for _, stop := range []time.Duration{0, time.Duration(leaseTTL) * time.Microsecond * 5 / 4} {
		b.Run("stop="+stop.String(), func(b *testing.B) { unfenced(b, stop) })
	}
}

func unfenced(b *testing.B, stop time.Duration) {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	child := exec.Command(os.Args[0], "-test.run=^TestUnfencedGapHolder$")
	child.Env = append(os.Environ(), gapPartner+"="+on.Addr().String(),
		gapStop+"="+max(stop, time.Second).String())
	out, err := child.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, child.Start())
	c, err := on.Accept()
	require.NoError(b, err)
	go io.Copy(io.Discard, c)
	for b.Loop() {
		time.Sleep(50*time.Millisecond + time.Duration(rand.Int64N(int64(50*time.Millisecond))))
		if stop > 0 {
			require.NoError(b, child.Process.Signal(syscall.SIGSTOP))
			time.Sleep(stop)
			require.NoError(b, child.Process.Signal(syscall.SIGCONT))
		}
	}
	c.Close()
	var n gaps
	require.NoError(b, json.NewDecoder(out).Decode(&n))
	io.Copy(io.Discard, out)
	require.NoError(b, child.Wait())
	b.ReportMetric(float64(n.Deeds), "deeds")
	b.ReportMetric(float64(n.Median)/1e3, "us-median")
	b.ReportMetric(float64(n.Worst)/1e3, "us-worst")
	b.ReportMetric(100*float64(n.In)/float64(n.Busy), "%-of-a-deed")
	b.ReportMetric(float64(n.Over), "stops-in-gap")
	b.ReportMetric(float64(n.After), "past-the-term")
	b.ReportMetric(0, "ns/op")
}
