package exchange

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/delivery"
	"rowanlink/serving/errcode"
	"rowanlink/serving/gossip"
	"rowanlink/serving/quorum"
	"rowanlink/serving/state"
)

// diskState is how a replica's disk responds.
type diskState int

const (
	works diskState = iota
	failing
	stalled
)

// diskTime is what a disk that works needs for a transaction.
const diskTime = 10 * time.Millisecond

// store plays a disk.
func (d diskState) store(ctx context.Context) error {
	switch d {
	case failing:
		return errors.New("disk is full")
	case stalled:
		<-ctx.Done()
		return ctx.Err()
	default:
		time.Sleep(diskTime)
		return nil
	}
}

// newReplicatedExchange returns an exchange whose own disk and whose replicas' disks respond as given, once its member
// has joined the others.
func newReplicatedExchange(local diskState, others map[string]diskState) *Exchange {
	log := zerolog.Nop()
	f := &fakeGossip{subscriber: func(gossip.Entry) {}}
	f.pushDurable = func(ctx context.Context, address string, _ []gossip.Entry) error {
		return others[address].store(ctx)
	}
	defer time.Sleep(delivery.JoinTime)
	return &Exchange{
		gossip:   f,
		persist:  func(ctx context.Context, _ []state.Endpoint) error { return local.store(ctx) },
		replicas: delivery.NewBatchSender(f.PushDurable, replicaCalls),
		agents:   delivery.NewAgentNotifier(f),
		log:      &log,
	}
}

// TestPutReplicated_NeedsAMajorityOfDisks guards against an acknowledgement of what fewer disks have.
func TestPutReplicated_NeedsAMajorityOfDisks(t *testing.T) {
	others := []string{"a", "b"}
	for _, test := range []struct {
		name        string
		targets     quorum.Targets
		local, a, b diskState
		stored      bool
	}{
		{"all work", quorum.Targets{Others: others, Local: true, Quorum: 2}, works, works, works, true},
		{"one is stalled", quorum.Targets{Others: others, Local: true, Quorum: 2}, works, stalled, works, true},
		{"the own one is stalled", quorum.Targets{Others: others, Local: true, Quorum: 2}, stalled, works, works, true},
		{"two are full", quorum.Targets{Others: others, Local: true, Quorum: 2}, works, failing, failing, false},
		{"two don't respond", quorum.Targets{Others: others, Local: true, Quorum: 2}, failing, stalled, works, false},
		{"a learner's own copy doesn't count", quorum.Targets{Others: others, Quorum: 2}, works, works, failing, false},
		{"the only voter", quorum.Targets{Local: true, Quorum: 1}, works, failing, failing, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newReplicatedExchange(test.local, map[string]diskState{"a": test.a, "b": test.b})
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				begun := time.Now()
				err := x.PutReplicated(ctx, state.Endpoint{ID: "e", State: state.EndpointDeparted}, test.targets)
				if test.stored {
					require.NoError(t, err)
					assert.Equal(t, diskTime, time.Since(begun), "no sooner than a disk can have it")
				} else {
					assert.True(t, errcode.NotAcknowledged.Is(err), "%v", err)
				}
				time.Sleep(replicaCalls.CallTimeout) // the calls to a stalled disk end
			})
		})
	}
}

// TestPutReplicated_ToTargetsOnly: an entry goes to each of the targets once, and to no other member.
func TestPutReplicated_ToTargetsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newReplicatedExchange(works, nil)
		var mutex sync.Mutex
		calls := map[string]int{}
		x.gossip.(*fakeGossip).pushDurable = func(_ context.Context, address string, _ []gossip.Entry) error {
			mutex.Lock()
			defer mutex.Unlock()
			calls[address]++
			return nil
		}
		targets := quorum.Targets{Others: []string{"a", "b", "c"}, Quorum: 2}
		require.NoError(t, x.PutReplicated(t.Context(), state.Endpoint{ID: "e"}, targets))
		synctest.Wait()
		assert.Equal(t, map[string]int{"a": 1, "b": 1, "c": 1}, calls)
		targets.Others = nil
		assert.True(t, errcode.NotAcknowledged.Is(x.PutReplicated(t.Context(), state.Endpoint{ID: "e"}, targets)))
	})
}

// TestPutReplicated_ManyAtOnce: 1,000 endpoints that leave within a second are acknowledged within a tenth of a second,
// also beside a stalled disk, in far fewer calls.
func TestPutReplicated_ManyAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		x := newReplicatedExchange(works, map[string]diskState{"a": works, "b": stalled})
		f := x.gossip.(*fakeGossip)
		push := f.pushDurable
		f.pushDurable = func(ctx context.Context, address string, entries []gossip.Entry) error {
			calls.Add(1)
			return push(ctx, address, entries)
		}
		targets := quorum.Targets{Others: []string{"a", "b"}, Local: true, Quorum: 2}
		var leaving sync.WaitGroup
		for i := range 1000 {
			leaving.Go(func() {
				begun := time.Now()
				endpoint := state.Endpoint{ID: fmt.Sprint("e", i), State: state.EndpointDeparted}
				assert.NoError(t, x.PutReplicated(t.Context(), endpoint, targets))
				assert.Less(t, time.Since(begun), 100*time.Millisecond)
			})
			time.Sleep(time.Millisecond)
		}
		leaving.Wait()
		assert.Less(t, calls.Load(), int64(300))
		time.Sleep(2 * replicaCalls.CallTimeout) // the calls to the stalled disk end
	})
}
