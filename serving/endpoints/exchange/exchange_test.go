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

// The real parts fit the interfaces.
var (
	_ Gossip              = (*member.Service)(nil)
	_ operator.Replicator = (*Exchange)(nil)
	_ operator.Endpoints  = (*endpoints.SharedTable)(nil)
)

// fakeMesh gives back each entry to those who subscribe, as the mesh does.
type fakeMesh struct {
	cutOff     bool
	live       []state.Member
	mine       bool
	subscriber func(gossip.Entry)

	mutex sync.Mutex
	put   []gossip.Entry
}

// told returns what was put.
func (f *fakeMesh) told() []gossip.Entry {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.put
}

func (f *fakeMesh) Put(entry gossip.Entry) {
	f.mutex.Lock()
	f.put = append(f.put, entry)
	f.mutex.Unlock()
	f.subscriber(entry)
}

func (f *fakeMesh) PutReplicated(_ context.Context, entry gossip.Entry, _ []string, _ int) error {
	f.Put(entry)
	return nil
}

func (f *fakeMesh) Subscribe(_ gossip.TableID, call func(gossip.Entry)) { f.subscriber = call }

func (f *fakeMesh) Members() []state.Member { return f.live }

func (f *fakeMesh) Self() state.Member { return state.Member{Name: "core-1"} }

func (f *fakeMesh) AcquireRole(string, singleton.Scope) singleton.Assignment {
	return singleton.Assignment{Local: f.mine}
}

func start(t *testing.T, f *fakeMesh) *Exchange {
	log := zerolog.Nop()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return Start(ctx, Options{Gossip: f, HeartbeatInterval: time.Second, HasQuorum: func() bool { return !f.cutOff }, Log: &log})
}

func TestSilentAndLostEndpointsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeMesh{live: []state.Member{{Name: "core-1", Address: "a:1"}}}
		x := start(t, f)
		endpoint, _, _ := x.Table().ReceiveHeartbeat("e", endpoints.Heartbeat{Service: "s", Address: "x:1", Sequence: 3})
		x.Put(endpoint)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Len(t, f.told(), 2)
		assert.Equal(t, gossip.NewVersion(3, 1), f.told()[1].Version)
		time.Sleep(30 * time.Second)
		synctest.Wait()
		require.Len(t, f.told(), 3)
		told, err := endpoints.Decode(f.told()[2].Value)
		require.NoError(t, err)
		assert.Equal(t, state.EndpointDeparted, told.State)
		assert.True(t, endpoints.IsTombstone(f.told()[2].Value))
	})
}

// TestJudgingForAReceiverThatIsNotLive: only the holder of the duty does it.
func TestJudgingForAReceiverThatIsNotLive(t *testing.T) {
	for _, point := range []struct {
		name       string
		live, mine bool
		cutOff     bool
		told       int
	}{{"receiver lives", true, true, false, 0}, {"duty elsewhere", false, false, false, 0},
		{"own duty", false, true, false, 1}, {"own duty, and cut off", false, true, true, 0}} {
		t.Run(point.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeMesh{live: []state.Member{{Name: "core-1"}, {Name: "core-3"}}, mine: point.mine,
					cutOff: point.cutOff}
				if point.live {
					f.live = append(f.live, state.Member{Name: "core-2"})
				}
				start(t, f)
				entry, err := encodeEntry(state.Endpoint{ID: "e", Service: "s", Receiver: "core-2", Sequence: 4})
				require.NoError(t, err)
				f.subscriber(entry)
				f.subscriber(gossip.Entry{Key: "f", Value: []byte{0xff}})
				time.Sleep(6 * time.Second)
				synctest.Wait()
				assert.Len(t, f.told(), point.told)
			})
		})
	}
}
