package session_test

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/member/session"
	"rowanlink/cluster/raftnode"
	"rowanlink/cluster/transport"
	"rowanlink/test/fake/portalloc"
	"rowanlink/webhook/api"
)

const (
	leaseTTL    = api.Second
	longTimeout = 20 * time.Second // than anything takes, on a busy machine too
)

func TestMain(m *testing.M) {
	if os.Getenv("ROWANLINK_LOG") == "" {
		slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	}
	os.Exit(m.Run())
}

var began = time.Now()

func clock() api.Micros { return api.Micros(time.Since(began).Microseconds()) }

// fleetOf is some keepers, and members that reach them over links of their own.
type fleetOf struct {
	t          testing.TB
	leaseTTL   api.Micros
	names      []cluster.MemberID
	says, logs map[cluster.MemberID]string
	folders    map[cluster.MemberID]string
	links      map[[2]cluster.MemberID][]*link
	up         map[cluster.MemberID]*running
	lives      lease.Incarnation
	moved      atomic.Int64 // bytes that keepers heard and said, both kinds
	plain      bool         // without links
}

type running struct {
	*raftnode.Node
	book   *lease.Table
	server *transport.Server
	talk   *transport.Client
}

func keepers(t testing.TB, n int, leaseTTL api.Micros) *fleetOf { return begin(t, n, leaseTTL, false) }

func begin(t testing.TB, n int, leaseTTL api.Micros, plain bool) *fleetOf {
	f := &fleetOf{t: t, leaseTTL: leaseTTL, plain: plain, says: map[cluster.MemberID]string{},
		logs: map[cluster.MemberID]string{}, folders: map[cluster.MemberID]string{},
		links: map[[2]cluster.MemberID][]*link{},
		up:    map[cluster.MemberID]*running{}}
	for i := range n {
		f.place(cluster.MemberID(fmt.Sprintf("m%d", i+1)))
	}
	for _, m := range f.names {
		f.start(m)
	}
	t.Cleanup(func() {
		for m := range f.up {
			f.stop(m)
		}
	})
	return f
}

// place gives a keeper its addresses and its folder.
func (f *fleetOf) place(m cluster.MemberID) {
	f.names = append(f.names, m)
	for _, to := range []map[cluster.MemberID]string{f.says, f.logs} {
		kept, err := portalloc.Reserve()
		require.NoError(f.t, err)
		f.t.Cleanup(func() { kept.Close() })
		to[m] = kept.Addr
	}
	f.folders[m] = f.t.TempDir()
}

// seen is the table of addresses as somebody has it.
func (f *fleetOf) seen(by cluster.MemberID, real map[cluster.MemberID]string) map[cluster.MemberID]string {
	if f.plain {
		return real
	}
	table := map[cluster.MemberID]string{}
	for m, addr := range real {
		l := newLink(f.t, addr)
		f.links[[2]cluster.MemberID{by, m}] = append(f.links[[2]cluster.MemberID{by, m}], l)
		table[m] = l.on.Addr().String()
	}
	return table
}

// cut cuts one off from some others, or joins it to them again.
func (f *fleetOf) cut(one cluster.MemberID, cut bool, others ...cluster.MemberID) {
	for _, m := range others {
		for _, l := range append(f.links[[2]cluster.MemberID{one, m}], f.links[[2]cluster.MemberID{m, one}]...) {
			l.set(cut)
		}
	}
}

func (f *fleetOf) start(m cluster.MemberID) {
	says, err := net.Listen("tcp", f.says[m])
	require.NoError(f.t, err)
	r := &running{server: transport.NewServer(1000, time.Second), talk: transport.NewClient(m, f.seen(m, f.says)),
		book: lease.NewTable()}
	r.Node, err = f.open(m, r)
	require.NoError(f.t, err)
	r.RegisterHandlers(r.server)
	go r.server.Serve(counted{says, &f.moved})
	f.up[m] = r
}

func (f *fleetOf) open(m cluster.MemberID, r *running) (*raftnode.Node, error) {
	log, err := net.Listen("tcp", f.logs[m])
	require.NoError(f.t, err)
	return raftnode.Open(raftnode.Config{ClusterName: "test", Self: m, StateDir: f.folders[m], SessionTTL: f.leaseTTL,
		Addresses: f.seen(m, f.logs), Client: r.talk, Clock: clock, Leases: r.book, StateMachine: fsm.New(r.book, nil)},
		counted{log, &f.moved})
}

func (f *fleetOf) stop(m cluster.MemberID) {
	r := f.up[m]
	delete(f.up, m)
	r.Close()
	r.server.Close(time.Second)
	r.talk.Close()
}

// leader waits for one, other than those named.
func (f *fleetOf) leader(but ...cluster.MemberID) (who cluster.MemberID) {
	require.Eventually(f.t, func() bool {
		for m, r := range f.up {
			if _, self := r.Leader(); self && !contains(but, m) {
				who = m
				return true
			}
		}
		return false
	}, longTimeout, 5*time.Millisecond)
	return who
}

func contains(all []cluster.MemberID, m cluster.MemberID) bool {
	for _, other := range all {
		if other == m {
			return true
		}
	}
	return false
}

func (f *fleetOf) keepers(by cluster.MemberID) *session.LeaderClient {
	t := transport.NewClient(by, f.seen(by, f.says))
	f.t.Cleanup(t.Close)
	return session.NewLeaderClient(t, f.names, rand.Float64)
}

func (f *fleetOf) member(name cluster.MemberID, wants ...cluster.Resource) *session.Session {
	f.lives++
	s := session.New(session.Config{Self: name, Incarnation: f.lives, LeaseTTL: f.leaseTTL,
		MaxClockDrift: 0.05, Clock: clock, Leader: f.keepers(name)})
	f.t.Cleanup(s.Close)
	for _, t := range wants {
		s.Acquire(t)
	}
	return s
}

func awaitHeld(t testing.TB, s *session.Session, task cluster.Resource) (e cluster.Epoch) {
	require.Eventually(t, func() (held bool) {
		e, held = s.Holds(task)
		return held
	}, longTimeout, time.Millisecond)
	return e
}

// watched looks all the time who holds a task: never two at once, never an epoch that goes back.
func watched(t testing.TB, task cluster.Resource, all ...*session.Session) {
	end, over := make(chan struct{}), make(chan string, 1)
	go func() {
		var last cluster.Epoch
		for {
			select {
			case <-end:
				over <- ""
				return
			default:
			}
			for i, s := range all {
				e, held := s.Holds(task)
				for _, other := range all[i+1:] {
					if _, also := other.Holds(task); held && also {
						if _, still := s.Holds(task); still {
							over <- "two held it at once"
							return
						}
					}
				}
				if held && e < last {
					over <- "an epoch went back"
					return
				}
				last = max(last, e)
			}
			time.Sleep(100 * time.Microsecond)
		}
	}()
	t.Cleanup(func() { close(end); require.Empty(t, <-over) })
}
