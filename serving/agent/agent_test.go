package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/gossip"
	"rowanlink/serving/introspect"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

func TestPoll_WaitsForAnUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent(8 * time.Second)
		defer a.stateActor.Stop()
		a.members.deliver(t, gossip.TableRecord, state.Record{Revision: 2})
		first := <-a.poll(t.Context(), newWaitingRequest(subscription.Cursor{}, state.MemberStarting))
		require.NoError(t, first.err)
		assert.Equal(t, uint64(2), first.response.Record.Revision)
		assert.Zero(t, first.elapsed)

		second := a.poll(t.Context(), newWaitingRequest(first.response.Cursor, state.MemberReady))
		synctest.Wait()
		assert.Equal(t, []state.MemberState{state.MemberReady}, a.members.announced())
		assert.Equal(t, "10.0.0.1:80", a.members.Self().ProxyAddress)
		for sequence := range uint64(3) {
			a.members.deliver(t, gossip.TableEndpoints, newEndpoint("e", sequence+1))
		}
		a.members.deliver(t, gossip.TableLoads, state.Load{EndpointID: "e", Queued: 3, Measurement: 1})
		got := <-second
		require.NoError(t, got.err)
		assert.Equal(t, coalesceDelay, got.elapsed, "changes that arrive together are sent in one response")
		assert.Equal(t, uint64(3), got.response.Endpoints[0].Sequence)
		assert.Len(t, got.response.Loads, 1)
		assert.Nil(t, got.response.Record)

		third := <-a.poll(t.Context(), newWaitingRequest(got.response.Cursor, state.MemberReady))
		assert.Equal(t, 5*time.Second, third.elapsed, "no change: the wait has timed out")
		assert.Equal(t, got.response.Cursor, third.response.Cursor)
	})
}

func TestApplyEntry_IgnoresUnreadableEntriesAndOldRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent(8 * time.Second)
		defer a.stateActor.Stop()
		a.members.deliver(t, gossip.TableRecord, state.Record{Revision: 5})
		a.members.deliver(t, gossip.TableRecord, state.Record{Revision: 4})
		for table := range a.members.subscribers {
			a.members.subscribers[table](gossip.Entry{Table: table, Key: "k", Value: []byte{0xff}})
		}
		got := <-a.poll(t.Context(), newWaitingRequest(subscription.Cursor{}, state.MemberReady))
		require.NoError(t, got.err)
		assert.Equal(t, uint64(5), got.response.Record.Revision)
		assert.Empty(t, got.response.Endpoints)
	})
}

func TestPoll_OfAStartingAgentWaitsForARecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent(8 * time.Second)
		ctx, stop := context.WithCancel(t.Context())
		go a.run(ctx)
		a.members.deliver(t, gossip.TableEndpoints, newEndpoint("e", 1))
		got := <-a.poll(t.Context(), newWaitingRequest(subscription.Cursor{}, state.MemberReady))
		require.NoError(t, got.err)
		assert.Equal(t, firstRecordTimeout+coalesceDelay, got.elapsed)
		assert.Len(t, got.response.Endpoints, 1)
		assert.False(t, got.response.Complete)
		stop()
		synctest.Wait()
		time.Sleep(time.Minute) // simulated time: lets the agent's goroutines end
		a.stateActor.Stop()
	})
}

func TestAgent_AnnouncesProxyWithoutPollsAsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent(8 * time.Second)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go a.run(ctx)
		connection, disconnect := context.WithCancel(t.Context())
		a.members.deliver(t, gossip.TableRecord, state.Record{Revision: 1})
		first := <-a.poll(connection, newWaitingRequest(subscription.Cursor{}, state.MemberReady))
		open := a.poll(connection, newWaitingRequest(first.response.Cursor, state.MemberReady))
		time.Sleep(4 * time.Second)
		assert.Equal(t, []state.MemberState{state.MemberReady}, a.members.announced(), "an open poll shows that the proxy is running")
		disconnect() // the proxy was killed
		assert.Error(t, (<-open).err)
		time.Sleep(pollTimeout + 2*tickInterval)
		assert.Equal(t, []state.MemberState{state.MemberReady, state.MemberStarting}, a.members.announced())
		stop()
		time.Sleep(time.Minute)
		a.stateActor.Stop()
	})
}

// TestAgent_ShutdownWaitsForTheProxy shuts down an agent whose proxy isn't running, exits soon, exits later or never exits.
func TestAgent_ShutdownWaitsForTheProxy(t *testing.T) {
	grace := 8 * time.Second
	for _, test := range []struct {
		name      string
		proxyExit time.Duration // time from the beginning of the shutdown; 0: there is no proxy
		min       time.Duration // least time until the agent stops
		max       time.Duration // greatest time until the agent stops
	}{
		{"no proxy", 0, 0, 2 * shutdownTickInterval},
		{"proxy exits at once", time.Millisecond, pollTimeout, pollTimeout + 2*shutdownTickInterval},
		{"proxy exits in time", 3 * time.Second, 3*time.Second + pollTimeout, 3*time.Second + pollTimeout + 2*shutdownTickInterval},
		{"proxy never exits", time.Hour, grace - shutdownReserve, grace - shutdownReserve + 2*shutdownTickInterval},
	} {
		synctest.Test(t, func(t *testing.T) {
			a := newTestAgent(grace)
			ctx, terminate := context.WithCancel(t.Context())
			connection, disconnect := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				a.run(ctx)
				close(ended)
			}()
			if test.proxyExit > 0 {
				go a.keepPolling(connection)
				time.Sleep(time.Second)
			}
			start := time.Now()
			terminate()
			time.AfterFunc(test.proxyExit, disconnect)
			<-ended
			elapsed := time.Since(start)
			assert.GreaterOrEqual(t, elapsed, test.min, test.name)
			assert.LessOrEqual(t, elapsed, test.max, test.name)
			assert.Equal(t, state.MemberLeaving, a.members.announced()[len(a.members.announced())-1], test.name)
			disconnect()
			time.Sleep(time.Minute)
			a.stateActor.Stop()
		})
	}
}

// keepPolling polls like a proxy until the connection's context ends.
func (a *testAgent) keepPolling(connection context.Context) {
	var cursor subscription.Cursor
	for connection.Err() == nil {
		got := <-a.poll(connection, newWaitingRequest(cursor, state.MemberReady))
		if got.err == nil {
			cursor = got.response.Cursor
		}
	}
}

func TestAgent_AnnouncesLeavingProxyAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent(8 * time.Second)
		defer a.stateActor.Stop()
		a.members.deliver(t, gossip.TableRecord, state.Record{Revision: 1})
		first := <-a.poll(t.Context(), newWaitingRequest(subscription.Cursor{}, state.MemberReady))
		connection, disconnect := context.WithCancel(t.Context())
		ended := a.poll(connection, newWaitingRequest(first.response.Cursor, state.MemberLeaving))
		synctest.Wait()
		assert.Equal(t, []state.MemberState{state.MemberReady, state.MemberLeaving}, a.members.announced())
		disconnect()
		<-ended
	})
}

func TestAnnounceLeave_IgnoresUnreachableMembers(t *testing.T) {
	a := newTestAgent(time.Second)
	defer a.stateActor.Stop()
	a.members.leaveError = errors.New("unreachable")
	a.announceLeave(t.Context())
	assert.True(t, a.members.left)
}

func TestPoll_FailsOnceTheAgentHasStopped(t *testing.T) {
	a := newTestAgent(time.Second)
	a.stateActor.Stop()
	_, err := a.server.watch(t.Context(), newWaitingRequest(subscription.Cursor{}, state.MemberReady))
	assert.ErrorContains(t, err, "R0800")
}

func TestReport_HasTheActiveConfiguration(t *testing.T) {
	a := newTestAgent(time.Second)
	defer a.stateActor.Stop()
	a.members.setPeers(newProxyMember("n2", 1, state.MemberReady))
	a.members.deliver(t, gossip.TableRecord, state.Record{Revision: 4, Configuration: state.Configuration{Version: 9},
		Evacuations: []state.Evacuation{{Zone: "n1", Active: true}, {Zone: "n2"}}})
	a.members.deliver(t, gossip.TableEndpoints, newEndpoint("e", 1))
	report := a.report(introspect.Request{IncludeTables: true})
	assert.Equal(t, uint64(4), report.Revision)
	assert.Equal(t, uint64(9), report.Version)
	assert.Equal(t, []string{"n1"}, report.Evacuated)
	assert.Len(t, report.Members, 2)
	assert.Len(t, report.Endpoints, 1)
	assert.Empty(t, a.report(introspect.Request{}).Endpoints)
}
