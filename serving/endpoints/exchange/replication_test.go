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

// condition is how a simulated disk or agent responds.
type condition int

const (
	working condition = iota
	failing
	stalled
)

// diskTime is the time that a working disk needs for a transaction.
const diskTime = 10 * time.Millisecond

// store simulates a transaction of the disk.
func (c condition) store(ctx context.Context) error {
	switch c {
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

// newReplicatedExchange returns an exchange whose local disk and whose replicas' disks, by address, behave as given. It
// returns after delivery.JoinTime, from which on the exchange counts as knowing all agents.
func newReplicatedExchange(local condition, others map[string]condition) *Exchange {
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

// TestPutReplicated_NeedsAMajorityOfDisks guards against an acknowledgement of a departure that fewer disks than a
// majority of the voters' have stored.
func TestPutReplicated_NeedsAMajorityOfDisks(t *testing.T) {
	others := []string{"a", "b"}
	for _, test := range []struct {
		name        string
		targets     quorum.Targets
		local, a, b condition
		stored      bool
	}{
		{"all work", quorum.Targets{Others: others, Local: true, Quorum: 2}, working, working, working, true},
		{"one is stalled", quorum.Targets{Others: others, Local: true, Quorum: 2}, working, stalled, working, true},
		{"the local one is stalled", quorum.Targets{Others: others, Local: true, Quorum: 2}, stalled, working, working, true},
		{"two are full", quorum.Targets{Others: others, Local: true, Quorum: 2}, working, failing, failing, false},
		{"two don't store it", quorum.Targets{Others: others, Local: true, Quorum: 2}, failing, stalled, working, false},
		{"a learner's local copy doesn't count", quorum.Targets{Others: others, Quorum: 2}, working, working, failing, false},
		{"the only voter", quorum.Targets{Local: true, Quorum: 1}, working, failing, failing, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newReplicatedExchange(test.local, map[string]condition{"a": test.a, "b": test.b})
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				begun := time.Now()
				err := x.PutReplicated(ctx, state.Endpoint{ID: "e", State: state.EndpointDeparted}, test.targets)
				if test.stored {
					require.NoError(t, err)
					assert.Equal(t, diskTime, time.Since(begun), "the time of one transaction")
				} else {
					assert.True(t, errcode.NotAcknowledged.Is(err), "%v", err)
				}
				time.Sleep(replicaCalls.CallTimeout) // the calls to a stalled disk end meanwhile
			})
		})
	}
}

// TestPutReplicated_ToTargetsOnly checks that an entry is sent to each of the targets once, and to no other member.
func TestPutReplicated_ToTargetsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newReplicatedExchange(working, nil)
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

// TestPutReplicated_ManyAtOnce checks that 1,000 departures within a second are acknowledged within a tenth of a second
// each, although one of three disks is stalled, and with far fewer calls than departures.
func TestPutReplicated_ManyAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		x := newReplicatedExchange(working, map[string]condition{"a": working, "b": stalled})
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
		time.Sleep(2 * replicaCalls.CallTimeout) // the calls to the stalled disk end meanwhile
	})
}
