package session_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"slices"
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
	longTimeout = 20 * time.Second // longer than any awaited condition takes, also on a busy machine

	nodeCount          = 3
	nodeMaxConnections = 1000

	// exclusiveResource is the resource that requireExclusive checks.
	exclusiveResource cluster.Resource = "home/1"
)

func TestMain(m *testing.M) {
	if os.Getenv("ROWANLINK_LOG") == "" {
		slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	}
	os.Exit(m.Run())
}

var startedAt = time.Now()

func clock() api.Micros { return api.Micros(time.Since(startedAt).Microseconds()) }

// linkEnds identifies a link by the member that dials and the member that accepts.
type linkEnds struct{ from, to cluster.MemberID }

// testCluster is a group of raft nodes with sessions. Each node and each session reaches the nodes over links of its
// own, which a test can cut.
type testCluster struct {
	t             testing.TB
	leaseTTL      api.Micros
	names         []cluster.MemberID // of the raft nodes
	addresses     map[cluster.MemberID]string
	raftAddresses map[cluster.MemberID]string
	stateDirs     map[cluster.MemberID]string
	links         map[linkEnds][]*link
	running       map[cluster.MemberID]*runningNode
	incarnations  lease.Incarnation
	nodeBytes     atomic.Int64 // bytes that the nodes received and sent, among themselves and with members
	withoutLinks  bool         // nodes and sessions connect directly, so that partition and heal have no effect
}

type runningNode struct {
	*raftnode.Node
	server *transport.Server
	client *transport.Client
}

func startCluster(t testing.TB, leaseTTL api.Micros) *testCluster {
	t.Helper()
	return startClusterWith(t, leaseTTL, false)
}

func startClusterWith(t testing.TB, leaseTTL api.Micros, withoutLinks bool) *testCluster {
	t.Helper()
	c := &testCluster{
		t:             t,
		leaseTTL:      leaseTTL,
		addresses:     map[cluster.MemberID]string{},
		raftAddresses: map[cluster.MemberID]string{},
		stateDirs:     map[cluster.MemberID]string{},
		links:         map[linkEnds][]*link{},
		running:       map[cluster.MemberID]*runningNode{},
		withoutLinks:  withoutLinks,
	}
	for i := range nodeCount {
		c.addNode(cluster.MemberID(fmt.Sprintf("m%d", i+1)))
	}
	for _, m := range c.names {
		c.startNode(m)
	}
	t.Cleanup(func() {
		for m := range c.running {
			c.stopNode(m)
		}
	})
	return c
}

// addNode reserves the addresses of a raft node and creates its state directory. It doesn't start the node.
func (c *testCluster) addNode(m cluster.MemberID) {
	c.t.Helper()
	c.names = append(c.names, m)
	for _, addresses := range []map[cluster.MemberID]string{c.addresses, c.raftAddresses} {
		port, err := portalloc.Reserve()
		require.NoError(c.t, err)
		c.t.Cleanup(func() { _ = port.Close() }) // an error doesn't matter: the port becomes free when the process ends
		addresses[m] = port.Addr
	}
	c.stateDirs[m] = c.t.TempDir()
}

// addressesFor returns the addresses that one member or node uses to reach the nodes: for each real address, that of a
// new link to it.
func (c *testCluster) addressesFor(by cluster.MemberID,
	real map[cluster.MemberID]string) map[cluster.MemberID]string {
	c.t.Helper()
	if c.withoutLinks {
		return real
	}
	addresses := map[cluster.MemberID]string{}
	for m, address := range real {
		l := newLink(c.t, address)
		c.links[linkEnds{by, m}] = append(c.links[linkEnds{by, m}], l)
		addresses[m] = l.listener.Addr().String()
	}
	return addresses
}

// partition cuts the links between one member or node and others.
func (c *testCluster) partition(one cluster.MemberID, others ...cluster.MemberID) {
	c.setLinks(true, one, others)
}

// heal restores the links between one member or node and others.
func (c *testCluster) heal(one cluster.MemberID, others ...cluster.MemberID) {
	c.setLinks(false, one, others)
}

func (c *testCluster) setLinks(cut bool, one cluster.MemberID, others []cluster.MemberID) {
	for _, m := range others {
		for _, l := range slices.Concat(c.links[linkEnds{one, m}], c.links[linkEnds{m, one}]) {
			l.setCut(cut)
		}
	}
}

func (c *testCluster) startNode(m cluster.MemberID) {
	c.t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", c.addresses[m])
	require.NoError(c.t, err)
	raftListener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", c.raftAddresses[m])
	require.NoError(c.t, err)
	n := &runningNode{
		server: transport.NewServer(nodeMaxConnections, time.Second),
		client: transport.NewClient(m, c.addressesFor(m, c.addresses)),
	}
	leases := lease.NewTable()
	n.Node, err = raftnode.Open(raftnode.Config{
		ClusterName:  "test",
		Self:         m,
		StateDir:     c.stateDirs[m],
		SessionTTL:   c.leaseTTL,
		Addresses:    c.addressesFor(m, c.raftAddresses),
		Client:       n.client,
		Clock:        clock,
		Leases:       leases,
		StateMachine: fsm.New(leases, nil),
	}, countingListener{raftListener, &c.nodeBytes})
	require.NoError(c.t, err)
	n.RegisterHandlers(n.server)
	go func() { _ = n.server.Serve(countingListener{listener, &c.nodeBytes}) }() // ends by Close
	c.running[m] = n
}

func (c *testCluster) stopNode(m cluster.MemberID) {
	n := c.running[m]
	delete(c.running, m)
	_ = n.Close() // fails without a majority, since no leadership can be transferred then
	_ = n.server.Close(time.Second)
	n.client.Close()
}

// awaitLeader waits for a leader other than those named.
func (c *testCluster) awaitLeader(except ...cluster.MemberID) (leader cluster.MemberID) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		for m, n := range c.running {
			if _, leads := n.Leader(); leads && !slices.Contains(except, m) {
				leader = m
				return true
			}
		}
		return false
	}, longTimeout, 5*time.Millisecond)
	return leader
}

// startSession starts the session of a member that requests the given resources.
func (c *testCluster) startSession(name cluster.MemberID, resources ...cluster.Resource) *session.Session {
	c.t.Helper()
	client := transport.NewClient(name, c.addressesFor(name, c.addresses))
	c.t.Cleanup(client.Close)
	c.incarnations++
	s := session.New(session.Config{
		Self:          name,
		Incarnation:   c.incarnations,
		LeaseTTL:      c.leaseTTL,
		MaxClockDrift: 0.05,
		Clock:         clock,
		Leader:        session.NewLeaderClient(client, c.names, rand.Float64),
	})
	c.t.Cleanup(s.Close)
	for _, resource := range resources {
		s.Acquire(resource)
	}
	return s
}

func awaitHeld(t testing.TB, s *session.Session, resource cluster.Resource) (epoch cluster.Epoch) {
	t.Helper()
	require.Eventually(t, func() (held bool) {
		epoch, held = s.Holds(resource)
		return held
	}, longTimeout, time.Millisecond)
	return epoch
}

// requireExclusive checks until the test ends that no two sessions hold exclusiveResource at once, and that its epoch
// never decreases.
func requireExclusive(t testing.TB, sessions ...*session.Session) {
	t.Helper()
	end, violation := make(chan struct{}), make(chan string, 1)
	go func() { violation <- watchExclusive(end, sessions) }()
	t.Cleanup(func() {
		close(end)
		require.Empty(t, <-violation)
	})
}

// watchExclusive checks until end is closed and returns the first violation, or "" if there was none.
func watchExclusive(end <-chan struct{}, sessions []*session.Session) (violation string) {
	var last cluster.Epoch
	for {
		select {
		case <-end:
			return ""
		default:
		}
		for i, s := range sessions {
			epoch, held := s.Holds(exclusiveResource)
			if held && isHeldByAnother(s, sessions[i+1:]) {
				return "two sessions held it at once"
			}
			if held && epoch < last {
				return "an epoch decreased"
			}
			last = max(last, epoch)
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// isHeldByAnother reports whether one of the others holds exclusiveResource and s still holds it afterwards. The caller
// has seen that s held it before; without the second check, a release in between would look like a violation.
func isHeldByAnother(s *session.Session, others []*session.Session) bool {
	for _, other := range others {
		if _, alsoHeld := other.Holds(exclusiveResource); !alsoHeld {
			continue
		}
		if _, stillHeld := s.Holds(exclusiveResource); stillHeld {
			return true
		}
	}
	return false
}
