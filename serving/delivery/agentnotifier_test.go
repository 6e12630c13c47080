package delivery

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

// fakeMembers implements Members with agents only.
type fakeMembers struct {
	live, down func() []string // addresses of agents; nil: none
	push       func(ctx context.Context, address string, entries []gossip.Entry) error
}

func (f *fakeMembers) Members() []state.Member { return agentsAt(f.live) }

func (f *fakeMembers) DownMembers() []state.Member { return agentsAt(f.down) }

func (f *fakeMembers) PushApplied(ctx context.Context, address string, entries []gossip.Entry) error {
	return f.push(ctx, address, entries)
}

func agentsAt(addresses func() []string) (agents []state.Member) {
	if addresses == nil {
		return nil
	}
	for _, address := range addresses() {
		agents = append(agents, state.Member{Address: address, Role: state.RoleAgent})
	}
	return agents
}

func listOf(addresses ...string) func() []string { return func() []string { return addresses } }

// TestWait_WhileJoining guards against a member that has just started, knows few agents or none, and acknowledges an entry
// that the other agents never got. Agents that become known until the timeout must get the entry too, and an agent that
// becomes known too late to confirm must still be waited for later.
func TestWait_WhileJoining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		joined := map[string]time.Duration{"early": 0, "later": 250 * time.Millisecond, "late": 375 * time.Millisecond}
		sent := make(chan string, 100)
		notifier := NewAgentNotifier(&fakeMembers{
			live: func() (known []string) {
				for address, after := range joined {
					if time.Since(started) >= after {
						known = append(known, address)
					}
				}
				return known
			},
			push: func(_ context.Context, address string, _ []gossip.Entry) error {
				sent <- address
				time.Sleep(30 * time.Millisecond)
				return nil
			},
		})
		first := notifier.Start(t.Context(), gossip.Entry{Key: "e1"})
		assert.Equal(t, 1, first.Awaited())
		assert.Equal(t, 1, first.Wait(), "one agent became known too late to confirm")
		assert.Equal(t, 3, first.Awaited())
		assert.Equal(t, AgentTimeout, time.Since(started))
		assert.Len(t, sent, 3)
		time.Sleep(JoinTime)
		begun := time.Now()
		second := notifier.Start(t.Context(), gossip.Entry{Key: "e2"})
		assert.Zero(t, second.Wait())
		assert.Equal(t, 3, second.Awaited())
		assert.Equal(t, 30*time.Millisecond, time.Since(begun), "the member doesn't wait for further agents once it has joined")
		time.Sleep(time.Second) // the calls end
	})
}

// TestStart_SendsToAgentsThatAreNotAwaited guards against agents that don't get an endpoint's departure because they were
// slow once or seem to be down: if all core members fail afterwards, these agents have no other source of it.
func TestStart_SendsToAgentsThatAreNotAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stall time.Duration
		got := map[string][]string{}
		var mutex sync.Mutex
		notifier := NewAgentNotifier(&fakeMembers{
			live: listOf("steady", "slow"),
			down: listOf("away"),
			push: func(ctx context.Context, address string, entries []gossip.Entry) error {
				mutex.Lock()
				for _, entry := range entries {
					got[address] = append(got[address], entry.Key)
				}
				wait := 10 * time.Millisecond
				if address != "steady" {
					wait += stall
				}
				mutex.Unlock()
				select {
				case <-time.After(wait):
					return nil
				case <-ctx.Done():
					return ctx.Err()
				}
			},
		})
		time.Sleep(JoinTime)
		depart := func(key string) (*Notification, int) {
			notification := notifier.Start(t.Context(), gossip.Entry{Key: key})
			return notification, notification.Wait()
		}

		stall = time.Second
		_, unconfirmed := depart("e1")
		assert.Equal(t, 1, unconfirmed)

		stall = 0
		time.Sleep(agentInterval)
		begun := time.Now()
		second, unconfirmed := depart("e2")
		assert.Zero(t, unconfirmed)
		assert.Equal(t, []int{1, 2}, []int{second.Awaited(), second.Unawaited()}, "the slow agent isn't awaited for a while")
		assert.Equal(t, 10*time.Millisecond, time.Since(begun))

		time.Sleep(agentInterval)
		third, _ := depart("e3")
		assert.Equal(t, []int{2, 1}, []int{third.Awaited(), third.Unawaited()}, "the slow agent has confirmed the second departure")
		time.Sleep(time.Second) // the calls end
		expected := []string{"e1", "e2", "e3"}
		assert.Equal(t, map[string][]string{"steady": expected, "slow": expected, "away": expected}, got)
	})
}

// TestStart_SuspendedAgentIsNotFlooded checks that an agent that doesn't respond gets one call at a time, and that entries
// that wait for it are dropped after AgentTimeout.
func TestStart_SuspendedAgentIsNotFlooded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls, concurrent, most atomic.Int32
		notifier := NewAgentNotifier(&fakeMembers{
			live: listOf("suspended"),
			push: func(ctx context.Context, _ string, entries []gossip.Entry) error {
				calls.Add(1)
				most.Store(max(most.Load(), concurrent.Add(1)))
				defer concurrent.Add(-1)
				assert.LessOrEqual(t, len(entries), maxBatchEntries)
				<-ctx.Done()
				return ctx.Err()
			},
		})
		time.Sleep(JoinTime)
		for range 1000 {
			go notifier.Start(t.Context(), gossip.Entry{}).Wait()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * AgentTimeout)
		assert.Equal(t, int32(1), most.Load())
		assert.LessOrEqual(t, calls.Load(), int32(5), "over 1.4 s")
		assert.Empty(t, notifier.sender.queues)
	})
}
