package raftnode

import (
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	transportpkg "rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

const term = api.Second

var began = time.Now()

func clock() api.Micros { return api.Micros(time.Since(began).Microseconds()) }

// alone is a place of a keeper without others.
func alone(t *testing.T, folder string) (Config, net.Listener) {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	book := lease.NewTable()
	return Config{ClusterName: "f", Self: "m1", StateDir: folder, SessionTTL: term, Client: transportpkg.NewClient("m1", nil), Clock: clock,
		Addresses: map[cluster.MemberID]string{"m1": on.Addr().String()}, Leases: book, StateMachine: fsm.New(book, nil)}, on
}

func starts(t *testing.T, folder string) *Node {
	k, err := Open(alone(t, folder))
	require.NoError(t, err)
	require.Eventually(t, func() bool { _, self := k.Leader(); return self }, 20*time.Second, time.Millisecond)
	return k
}

func (k *Node) does(t *testing.T, l raft.Log) applyResult {
	f := k.raft.ApplyLog(l, time.Second)
	require.NoError(t, f.Error())
	return f.Response().(applyResult)
}

// Guards against an end decided on in one reign and put in the log in a later one.
func TestAnEndOfAnEarlierReignChangesNothing(t *testing.T) {
	k := starts(t, t.TempDir())
	defer k.Close()
	opened, err := lease.DecodeResult(k.does(t, newLogEntry(lease.OpenSession("a", 7))).response)
	require.NoError(t, err)
	began, err := lease.DecodeResult(k.does(t, newLogEntry(lease.BeginLeaderEpoch())).response) // another's, as far as it knows
	require.NoError(t, err)
	over := lease.ExpiredSession{Session: opened.Session, LeaderEpoch: began.LeaderEpoch - 1}
	require.ErrorIs(t, k.does(t, newLogEntry(lease.ExpireSession(over))).err, cluster.ErrStale)
	require.Eventually(t, func() bool { return k.SessionsEnded.Load() == 1 }, 20*time.Second, time.Millisecond)
}

func TestSessionsThatAreNotRenewedEnd(t *testing.T) {
	k := starts(t, t.TempDir())
	defer k.Close()
	k.does(t, newLogEntry(lease.OpenSession("a", 7)))
	require.Eventually(t, func() bool { return k.SessionsEnded.Load() == 1 }, 20*time.Second, time.Millisecond)
}

// What a newer program wrote is neither skipped nor passed over by a snapshot.
func TestAnEntryOfANewerProgramHaltsTheKeeper(t *testing.T) {
	folder := t.TempDir()
	k := starts(t, folder)
	k.does(t, newLogEntry(lease.OpenSession("a", 7)))
	newer := newLogEntry(lease.OpenSession("b", 8))
	newer.Extensions = transportpkg.Encode(entryHeader{Format: entryFormat + 1})
	require.ErrorIs(t, k.does(t, newer).err, errNewerFormat)
	require.ErrorIs(t, k.does(t, newLogEntry(lease.OpenSession("c", 9))).err, errNewerFormat)
	require.Error(t, k.raft.Snapshot().Error())
	require.NoError(t, k.Close())
	again, err := Open(alone(t, folder))
	require.NoError(t, err)
	defer again.Close()
	require.Eventually(t, func() bool { return again.haltCause() != nil }, 20*time.Second, time.Millisecond)
	require.Len(t, again.leases.Sessions(), 1)
	_, self := again.Leader()
	require.False(t, self)
}

func TestAFolderThatCannotBeReadIsOneClearLine(t *testing.T) {
	for name, harm := range map[string]func(folder string){
		"snapshot": func(folder string) {
			all, _ := filepath.Glob(filepath.Join(folder, "snapshots", "*", "state.bin"))
			require.NotEmpty(t, all)
			for _, at := range all {
				os.WriteFile(at, []byte("of a newer program"), 0o600)
			}
		},
		"log":    func(folder string) { os.WriteFile(filepath.Join(folder, logFile), []byte("none"), 0o600) },
		"name":   func(folder string) { os.Remove(filepath.Join(folder, nameFile)) },
		"name's": func(folder string) { os.WriteFile(filepath.Join(folder, nameFile), nil, 0o600) },
	} {
		folder := t.TempDir()
		k := starts(t, folder)
		k.does(t, newLogEntry(lease.OpenSession("a", 7)))
		require.NoError(t, k.Close())
		harm(filepath.Join(folder, "fleet"))
		_, err := Open(alone(t, folder))
		require.Error(t, err, name)
		require.NotContains(t, strings.TrimSpace(err.Error()), "\n", name)
	}
}

// What counts was heard in this very term, from those who vote, and other than itself.
func TestAMajorityIsOneThatFollowedInThisTerm(t *testing.T) {
	h := newContactTransport(nil, clock)
	all := []raft.Server{voter("a/1"), voter("b/1"), voter("c/1"), {ID: "d/1", Suffrage: raft.Nonvoter}}
	covers := func(term uint64, at api.Micros) bool { return h.quorumContact(term, all, "a/1").HasQuorumSince(at) }
	h.recordContact("d/1", 3, 9)
	h.recordContact("a/1", 3, 9)
	require.False(t, covers(3, 5))
	h.recordContact("b/1", 3, 5)
	require.True(t, covers(3, 5))
	h.recordContact("b/1", 3, 4) // came late
	require.True(t, covers(3, 5))
	require.False(t, covers(3, 6))
	h.recordContact("c/1", 5, 8)
	require.False(t, covers(3, 5))
	require.True(t, covers(5, 8))
	h.recordContact("b/1", 3, 9)
	require.False(t, covers(5, 9))
}

// Guards against a call that was meant for a folder that is gone.
func TestOnlyCallsForThisVeryFolderAreHeard(t *testing.T) {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := newStreamLayer(on, "f", "m1/new", time.Second)
	defer w.Close()
	heard := make(chan string, 10)
	go func() {
		for {
			c, err := w.Accept()
			if err != nil {
				return
			}
			b := make([]byte, 10)
			n, _ := c.Read(b)
			heard <- string(b[:n])
		}
	}()
	from := newStreamLayer(&net.TCPListener{}, "f", "m2/x", time.Second)
	from.setAddresses(map[cluster.MemberID]string{"m1": on.Addr().String()})
	for _, to := range []raft.ServerAddress{"m1/old", "m1/new"} {
		c, err := from.Dial(to, time.Second)
		require.NoError(t, err)
		c.Write([]byte("to " + to))
		if to == "m1/old" {
			c.SetReadDeadline(time.Now().Add(20 * time.Second))
			_, err = c.Read(make([]byte, 1))
			require.Error(t, err)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
		}
	}
	require.Equal(t, "to m1/new", <-heard)
	_, err = from.Dial("m9/1", time.Second)
	require.Error(t, err)
}
