package exchange

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/gossip"
	"rowanlink/serving/member"
	"rowanlink/serving/operator"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
)

// The types implement the interfaces through which other packages use them.
var (
	_ Gossip              = (*member.Service)(nil)
	_ operator.Replicator = (*Exchange)(nil)
	_ operator.Endpoints  = (*endpoints.SharedTable)(nil)
)

// fakeGossip implements Gossip: it records each entry that is put and passes it to the subscriber, as member.Service
// does.
type fakeGossip struct {
	partitioned bool
	live        []state.Member
	holdsRole   bool
	subscriber  func(gossip.Entry)
	pushDurable func(ctx context.Context, address string, entries []gossip.Entry) error
	pushApplied func(ctx context.Context, address string, entries []gossip.Entry) error

	mutex sync.Mutex
	put   []gossip.Entry
}

// entries returns the entries that were put.
func (f *fakeGossip) entries() []gossip.Entry {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.put
}

func (f *fakeGossip) Put(entry gossip.Entry) {
	f.mutex.Lock()
	f.put = append(f.put, entry)
	f.mutex.Unlock()
	f.subscriber(entry)
}

func (f *fakeGossip) PushDurable(ctx context.Context, address string, entries []gossip.Entry) error {
	return f.pushDurable(ctx, address, entries)
}

func (f *fakeGossip) PushApplied(ctx context.Context, address string, entries []gossip.Entry) error {
	return f.pushApplied(ctx, address, entries)
}

func (f *fakeGossip) Subscribe(_ gossip.TableID, call func(gossip.Entry)) { f.subscriber = call }

func (f *fakeGossip) Members() []state.Member { return f.live }

func (f *fakeGossip) DownMembers() []state.Member { return nil }

func (f *fakeGossip) Self() state.Member { return state.Member{Name: "core-1"} }

func (f *fakeGossip) AcquireRole(string, singleton.Scope) singleton.Assignment {
	return singleton.Assignment{Local: f.holdsRole}
}

func startExchange(t *testing.T, f *fakeGossip) *Exchange {
	t.Helper()
	log := zerolog.Nop()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return Start(ctx, Options{
		Gossip:            f,
		HeartbeatInterval: time.Second,
		HasQuorum:         func() bool { return !f.partitioned },
		Log:               &log,
	})
}

func TestSweep_GossipsUnresponsiveAndDepartedEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeGossip{live: []state.Member{{Name: "core-1", Address: "a:1"}}}
		x := startExchange(t, f)
		endpoint, _, _ := x.Table().ReceiveHeartbeat("e", endpoints.Heartbeat{Service: "s", Address: "x:1", Sequence: 3})
		x.Put(endpoint)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Len(t, f.entries(), 2)
		assert.Equal(t, gossip.NewVersion(3, 1), f.entries()[1].Version)
		time.Sleep(30 * time.Second)
		synctest.Wait()
		require.Len(t, f.entries(), 3)
		gossiped, err := endpoints.Decode(f.entries()[2].Value)
		require.NoError(t, err)
		assert.Equal(t, state.EndpointDeparted, gossiped.State)
		assert.True(t, endpoints.IsTombstone(f.entries()[2].Value))
	})
}

// TestSweep_OfReceiverThatIsNotLive checks that the endpoints of a receiver are marked as unresponsive by another
// member only if the receiver isn't live, and that member holds LivenessRole and has contact with a majority of the
// voters.
func TestSweep_OfReceiverThatIsNotLive(t *testing.T) {
	for _, test := range []struct {
		name            string
		receiverIsLive  bool
		holdsRole       bool
		partitioned     bool
		gossipedEntries int
	}{
		{"receiver is live", true, true, false, 0},
		{"another member holds the role", false, false, false, 0},
		{"this member holds the role", false, true, false, 1},
		{"this member holds the role, partitioned", false, true, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeGossip{live: []state.Member{{Name: "core-1"}, {Name: "core-3"}}, holdsRole: test.holdsRole,
					partitioned: test.partitioned}
				if test.receiverIsLive {
					f.live = append(f.live, state.Member{Name: "core-2"})
				}
				startExchange(t, f)
				entry, err := encodeEntry(state.Endpoint{ID: "e", Service: "s", Receiver: "core-2", Sequence: 4})
				require.NoError(t, err)
				f.subscriber(entry)
				f.subscriber(gossip.Entry{Key: "f", Value: []byte{0xff}})
				time.Sleep(6 * time.Second)
				synctest.Wait()
				assert.Len(t, f.entries(), test.gossipedEntries)
			})
		})
	}
}
