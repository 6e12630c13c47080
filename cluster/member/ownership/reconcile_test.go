package ownership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/member/session"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/test/fake/raftleader"
	"rowanlink/webhook/api"
)

const (
	leaseTTL    = api.Second
	longTimeout = 20 * time.Second // longer than any awaited condition takes, also on a busy machine
)

// idleWork is a LocalWork without calls in flight, pending webhooks or webhooks in doubt.
type idleWork struct{}

func (idleWork) CallsInFlight(shardmap.Range) int        { return 0 }
func (idleWork) CallsInFlightTo([]api.DestinationID) int { return 0 }
func (idleWork) PendingWebhooks(shardmap.Range) int      { return 0 }
func (idleWork) StateTransferred(shardmap.Range) bool    { return true }
func (idleWork) InDoubt(shardmap.MoveID) int             { return 0 }

// newIdleManager returns the manager of member "a0" with nothing in flight or pending, its session, and the fake leader
// of the session.
func newIdleManager(t *testing.T) (*Manager, *session.Session, *raftleader.Leader) {
	t.Helper()
	leader := raftleader.Start(t, leaseTTL, session.MaxConnections(1), raftleader.ReplyTruthfully)
	client := transport.NewClient("a0", map[cluster.MemberID]string{"m1": leader.Addr})
	began := time.Now()
	clock := func() api.Micros { return api.Micros(time.Since(began).Microseconds()) }
	s := session.New(session.Config{Self: "a0", Incarnation: 1, LeaseTTL: leaseTTL, MaxClockDrift: 0.05, Clock: clock,
		Leader: session.NewLeaderClient(client, []cluster.MemberID{"m1"}, rand.Float64)})
	t.Cleanup(func() {
		s.Close()
		client.Close()
	})
	m := New(Config{Self: "a0", LeaseTTL: leaseTTL, Clock: clock, HandoffBatch: 256, OnChange: func() {}})
	m.inactiveSince.Store(0)
	m.SetLocalWork(idleWork{})
	m.SetSession(s)
	return m, s, leader
}

func acquire(t *testing.T, s *session.Session, id cluster.RangeID) {
	t.Helper()
	s.Acquire(cluster.RangeOwnerResource(id))
	require.Eventually(t, func() bool {
		_, held := s.Holds(cluster.RangeOwnerResource(id))
		return held
	}, longTimeout, time.Millisecond)
}

// Guards against a Reconcile that waits for one time-out per range while no leader responds: the last range, which this
// member has to release, would stay held meanwhile.
func TestReconcile_StopsProposingWithoutLeader(t *testing.T) {
	m, s, leader := newIdleManager(t)
	shardMap := shardmap.New(nil)
	var err error
	shardMap.Ranges, err = shardmap.EvenRanges(4, []shardmap.MemberWeight{{Member: "a0", Weight: 1}})
	require.NoError(t, err)
	for _, r := range shardMap.Ranges {
		acquire(t, s, r.ID)
	}
	last := &shardMap.Ranges[3]
	last.Owner = "m2"
	m.shardMap.Store(shardMap)
	m.Reconcile()
	require.Equal(t, 1, leader.MapCommands())
	require.False(t, m.HoldsRange(last.ID))
}

// A member that has given a range up to another member is granted the range's lease late, by an earlier request. It
// must release the late grant at once: otherwise the target of the range's current move could never acquire the lease.
func TestReconcile_ReleasesLateGrantDuringHandoff(t *testing.T) {
	m, s, _ := newIdleManager(t)
	acquire(t, s, 1)
	shardMap := shardmap.New(nil)
	shardMap.Ranges = []shardmap.Range{{ID: 1, To: ^cluster.KeyHash(0), Owner: "m2", Epoch: 1, Status: shardmap.OwnerServing,
		Move: shardmap.Move{ID: 7, From: "m2", To: "m3", Step: shardmap.StepHandoff}}}
	m.shardMap.Store(shardMap)
	require.Eventually(t, func() bool {
		m.Reconcile()
		return !m.HoldsRange(1)
	}, longTimeout/10, time.Millisecond)
}
