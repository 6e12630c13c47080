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

func TestPollIsHeldUntilThereIsNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stand(8 * time.Second)
		defer s.board.Stop()
		s.mesh.deliver(t, gossip.TableRecord, state.Record{Revision: 2})
		first := <-s.poll(t.Context(), waiting(subscription.Cursor{}, state.MemberStarting))
		require.NoError(t, first.err)
		assert.Equal(t, uint64(2), first.response.Record.Revision)
		assert.Zero(t, first.after)

		second := s.poll(t.Context(), waiting(first.response.Cursor, state.MemberReady))
		synctest.Wait()
		assert.Equal(t, []state.MemberState{state.MemberReady}, s.mesh.announced())
		assert.Equal(t, "10.0.0.1:80", s.mesh.Self().ProxyAddress)
		for sequence := range uint64(3) {
			s.mesh.deliver(t, gossip.TableEndpoints, endpoint("e", sequence+1))
		}
		s.mesh.deliver(t, gossip.TableLoads, state.Load{EndpointID: "e", Queued: 3, Measurement: 1})
		got := <-second
		require.NoError(t, got.err)
		assert.Equal(t, coalesce, got.after, "news is gathered for a moment")
		assert.Equal(t, uint64(3), got.response.Endpoints[0].Sequence)
		assert.Len(t, got.response.Loads, 1)
		assert.Nil(t, got.response.Record)

		third := <-s.poll(t.Context(), waiting(got.response.Cursor, state.MemberReady))
		assert.Equal(t, 5*time.Second, third.after, "no news: the wait is over")
		assert.Equal(t, got.response.Cursor, third.response.Cursor)
	})
}

func TestUnreadableEntriesAndOldRecordsChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stand(8 * time.Second)
		defer s.board.Stop()
		s.mesh.deliver(t, gossip.TableRecord, state.Record{Revision: 5})
		s.mesh.deliver(t, gossip.TableRecord, state.Record{Revision: 4})
		for table := range s.mesh.subscribers {
			s.mesh.subscribers[table](gossip.Entry{Table: table, Key: "k", Value: []byte{0xff}})
		}
		got := <-s.poll(t.Context(), waiting(subscription.Cursor{}, state.MemberReady))
		require.NoError(t, got.err)
		assert.Equal(t, uint64(5), got.response.Record.Revision)
		assert.Empty(t, got.response.Endpoints)
	})
}

func TestFreshAgentWaitsForARecordAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stand(8 * time.Second)
		ctx, stop := context.WithCancel(t.Context())
		go s.run(ctx)
		s.mesh.deliver(t, gossip.TableEndpoints, endpoint("e", 1))
		got := <-s.poll(t.Context(), waiting(subscription.Cursor{}, state.MemberReady))
		require.NoError(t, got.err)
		assert.Equal(t, firstAnswerWait+coalesce, got.after)
		assert.Len(t, got.response.Endpoints, 1)
		assert.False(t, got.response.Complete)
		stop()
		synctest.Wait()
		time.Sleep(time.Minute) // of the test's own clock
		s.board.Stop()
	})
}

func TestSilentProxyIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stand(8 * time.Second)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go s.run(ctx)
		connection, cut := context.WithCancel(t.Context())
		s.mesh.deliver(t, gossip.TableRecord, state.Record{Revision: 1})
		first := <-s.poll(connection, waiting(subscription.Cursor{}, state.MemberReady))
		open := s.poll(connection, waiting(first.response.Cursor, state.MemberReady))
		time.Sleep(4 * time.Second)
		assert.Equal(t, []state.MemberState{state.MemberReady}, s.mesh.announced(), "an open poll is enough")
		cut() // the proxy was killed
		assert.Error(t, (<-open).err)
		time.Sleep(silenceLimit + 2*tickInterval)
		assert.Equal(t, []state.MemberState{state.MemberReady, state.MemberStarting}, s.mesh.announced())
		stop()
		time.Sleep(time.Minute)
		s.board.Stop()
	})
}

// TestEndWaitsForTheProxy plays SIGTERM at an agent whose proxy ends sooner, later or never.
func TestEndWaitsForTheProxy(t *testing.T) {
	grace := 8 * time.Second
	for _, test := range []struct {
		name      string
		proxyEnds time.Duration // after SIGTERM; 0: it never ran
		least     time.Duration // until the agent ends
		most      time.Duration
	}{
		{"no proxy", 0, 0, 2 * endingInterval},
		{"proxy ends at once", time.Millisecond, silenceLimit, silenceLimit + 2*endingInterval},
		{"proxy ends in time", 3 * time.Second, 3*time.Second + silenceLimit, 3*time.Second + silenceLimit + 2*endingInterval},
		{"proxy never ends", time.Hour, grace - graceReserve, grace - graceReserve + 2*endingInterval},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := stand(grace)
			ctx, terminate := context.WithCancel(t.Context())
			connection, cut := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				s.run(ctx)
				close(ended)
			}()
			if test.proxyEnds > 0 {
				go s.keepPolling(connection)
				time.Sleep(time.Second)
			}
			begun := time.Now()
			terminate()
			time.AfterFunc(test.proxyEnds, cut)
			<-ended
			took := time.Since(begun)
			assert.GreaterOrEqual(t, took, test.least, test.name)
			assert.LessOrEqual(t, took, test.most, test.name)
			assert.Equal(t, state.MemberLeaving, s.mesh.announced()[len(s.mesh.announced())-1], test.name)
			cut()
			time.Sleep(time.Minute)
			s.board.Stop()
		})
	}
}

// keepPolling polls as a proxy does until its connection is cut.
func (s *standing) keepPolling(connection context.Context) {
	var cursor subscription.Cursor
	for connection.Err() == nil {
		got := <-s.poll(connection, waiting(cursor, state.MemberReady))
		if got.err == nil {
			cursor = got.response.Cursor
		}
	}
}

func TestLeavingProxyIsAnnouncedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stand(8 * time.Second)
		defer s.board.Stop()
		s.mesh.deliver(t, gossip.TableRecord, state.Record{Revision: 1})
		first := <-s.poll(t.Context(), waiting(subscription.Cursor{}, state.MemberReady))
		connection, cut := context.WithCancel(t.Context())
		ended := s.poll(connection, waiting(first.response.Cursor, state.MemberLeaving))
		synctest.Wait()
		assert.Equal(t, []state.MemberState{state.MemberReady, state.MemberLeaving}, s.mesh.announced())
		cut()
		<-ended
	})
}

func TestLeaveThatNobodyHearsIsNoError(t *testing.T) {
	s := stand(time.Second)
	defer s.board.Stop()
	s.mesh.leaveError = errors.New("cut off")
	s.leave()
	assert.True(t, s.mesh.left)
}

func TestPollEndsWithTheAgent(t *testing.T) {
	s := stand(time.Second)
	s.board.Stop()
	_, err := s.server.watch(t.Context(), waiting(subscription.Cursor{}, state.MemberReady))
	assert.ErrorContains(t, err, "R0800")
}

func TestReportTellsWhatIsInForce(t *testing.T) {
	s := stand(time.Second)
	defer s.board.Stop()
	s.mesh.meet(proxyIn("n2", 1, state.MemberReady))
	s.mesh.deliver(t, gossip.TableRecord, state.Record{Revision: 4, Configuration: state.Configuration{Version: 9},
		Evacuations: []state.Evacuation{{Zone: "n1", Active: true}, {Zone: "n2"}}})
	s.mesh.deliver(t, gossip.TableEndpoints, endpoint("e", 1))
	report := s.report(introspect.Request{IncludeTables: true})
	assert.Equal(t, uint64(4), report.Revision)
	assert.Equal(t, uint64(9), report.Version)
	assert.Equal(t, []string{"n1"}, report.Evacuated)
	assert.Len(t, report.Members, 2)
	assert.Len(t, report.Endpoints, 1)
	assert.Empty(t, s.report(introspect.Request{}).Endpoints)
}
