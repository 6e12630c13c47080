package session_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/member/session"
	"rowanlink/cluster/transport"
	"rowanlink/test/fake/raftleader"
	"rowanlink/webhook/api"
)

// startFakeLeader starts a fake leader and one session with it.
func startFakeLeader(t *testing.T, reply raftleader.GrantReply) (*raftleader.Leader, *session.Session) {
	t.Helper()
	leader, sessions := startFakeLeaderOf(t, 1, leaseTTL, reply)
	return leader, sessions[0]
}

// startFakeLeaderOf starts a fake leader, and for each of a number of members a session with it.
func startFakeLeaderOf(t *testing.T, members int, leaseTTL api.Micros, reply raftleader.GrantReply) (
	*raftleader.Leader, []*session.Session) {
	t.Helper()
	leader := raftleader.Start(t, leaseTTL, session.MaxConnections(members), reply)
	var sessions []*session.Session
	for i := range members {
		id := cluster.MemberID(fmt.Sprint("a", i))
		client := transport.NewClient(id, map[cluster.MemberID]string{"m1": leader.Addr})
		s := session.New(session.Config{Self: id, Incarnation: 1, LeaseTTL: leaseTTL, MaxClockDrift: 0.05, Clock: clock,
			Leader: session.NewLeaderClient(client, []cluster.MemberID{"m1"}, rand.Float64)})
		t.Cleanup(func() {
			s.Close()
			client.Close()
		})
		sessions = append(sessions, s)
	}
	return leader, sessions
}

// The response to the first request for a lease is lost, and the next response comes from a leader that was paused and
// has an older state. The member still acquires the resource: otherwise the resource would stay granted in the log to a
// member that never acts on it.
func TestSession_RecoversLostGrantDespiteStaleLeader(t *testing.T) {
	_, s := startFakeLeader(t, func(no int, real transport.ProposeResponse) (int, []byte) {
		if no == 1 {
			return fasthttp.StatusGatewayTimeout, nil
		}
		older := lease.Result{Grants: []lease.Grant{{Resource: "home/1"}}}
		return fasthttp.StatusOK, transport.Encode(transport.ProposeResponse{Result: transport.Encode(older)})
	})
	s.Acquire("home/1")
	awaitHeld(t, s, "home/1")
}

// The responses to requests for a lease are lost, and then the resource is no longer wanted. The session has to release
// it: otherwise the resource would stay granted to a session that doesn't act on it.
func TestSession_ReleasesInDoubtGrant(t *testing.T) {
	requested := make(chan struct{}, 1000)
	leader, s := startFakeLeader(t, func(int, transport.ProposeResponse) (int, []byte) {
		requested <- struct{}{}
		return fasthttp.StatusGatewayTimeout, nil
	})
	s.Acquire("home/1")
	<-requested
	s.Release("home/1")
	require.Eventually(t, func() bool { return leader.WasRequestedAndIsFree("home/1") }, longTimeout, time.Millisecond)
}

// Raft nodes accept the connections of a large cluster. If they rejected some, the sessions of these members would
// expire.
func TestMaxConnections_SufficesForThreeHundredMembers(t *testing.T) {
	t.Parallel()
	_, sessions := startFakeLeaderOf(t, 300, 10*api.Second, nil)
	for _, s := range sessions {
		s.Watch(cluster.RebalanceComponent, func(uint64, []byte) {})
	}
	time.Sleep(11 * time.Second) // longer than the TTL, so that each session renews
	for _, s := range sessions {
		require.Eventually(t, s.IsActive, longTimeout, time.Millisecond)
		require.Zero(t, s.SessionsLost.Load())
	}
}

// A delta to a version other than the cached one is ignored. A damaged delta is not applied, and the next poll requests
// the full snapshot.
func TestSession_RequestsSnapshotAfterMismatchedDelta(t *testing.T) {
	leader, s := startFakeLeader(t, nil)
	component := func(version, base uint64, data string) transport.ComponentState {
		return transport.ComponentState{Component: cluster.RebalanceComponent, Version: version, BaseVersion: base,
			Data: []byte(data)}
	}
	leader.QueuePlanStates(
		component(5, 0, "five"),
		component(6, 4, "of four"),
		component(6, 5, "broken"),
		component(3, 0, "three"),
		component(7, 0, "seven"),
	)
	delivered := make(chan string, 9)
	s.Watch(cluster.RebalanceComponent, func(_ uint64, snapshot []byte) { delivered <- string(snapshot) })
	require.Equal(t, "five", <-delivered)
	require.Equal(t, "seven", <-delivered)
	require.Equal(t, []uint64{0, 5, 5, 0, 3}, leader.PolledVersions())
}
