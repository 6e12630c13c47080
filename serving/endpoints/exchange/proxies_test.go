package exchange

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/delivery"
	"rowanlink/serving/gossip"
	"rowanlink/serving/quorum"
	"rowanlink/serving/state"
)

// applyTime is the time that a working agent needs until its proxy has applied an entry.
const applyTime = 30 * time.Millisecond

// newNotifyingExchange returns an exchange whose disks work. agents has the behavior of each agent, by address: failing
// agents refuse connections, and stalled ones don't respond.
func newNotifyingExchange(agents map[string]condition) *Exchange {
	x := newReplicatedExchange(working, map[string]condition{"a": working, "b": working})
	f := x.gossip.(*fakeGossip)
	for address := range agents {
		f.live = append(f.live, state.Member{Name: address, Address: address, Role: state.RoleAgent})
	}
	f.live = append(f.live, state.Member{Name: "core-2", Address: "a", Role: state.RoleCore})
	f.pushApplied = func(ctx context.Context, address string, _ []gossip.Entry) error {
		switch agents[address] {
		case failing:
			return errors.New("connection refused")
		case stalled:
			<-ctx.Done()
			return ctx.Err()
		default:
			time.Sleep(applyTime)
			return nil
		}
	}
	return x
}

// depart replicates a departure and returns how long that took.
func depart(t *testing.T, x *Exchange, id string) time.Duration {
	t.Helper()
	begun := time.Now()
	targets := quorum.Targets{Others: []string{"a", "b"}, Local: true, Quorum: 2}
	require.NoError(t, x.PutReplicated(t.Context(), state.Endpoint{ID: id, State: state.EndpointDeparted}, targets))
	return time.Since(begun)
}

// TestPutReplicated_WaitsForProxies guards against an acknowledgement of a departure that only core members have: if
// they stop then, the proxies go on sending to the endpoint.
func TestPutReplicated_WaitsForProxies(t *testing.T) {
	for _, test := range []struct {
		name         string
		agents       map[string]condition
		first, later time.Duration
	}{
		{"all apply it", map[string]condition{"p": working, "q": working}, applyTime, applyTime},
		{"one is down", map[string]condition{"p": working, "q": failing}, applyTime, applyTime},
		{"one is suspended", map[string]condition{"p": working, "q": stalled}, delivery.AgentTimeout, applyTime},
		{"all are suspended", map[string]condition{"p": stalled, "q": stalled}, delivery.AgentTimeout, diskTime},
		{"there are none", nil, diskTime, diskTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newNotifyingExchange(test.agents)
				assert.Equal(t, test.first, depart(t, x, "e1"))
				time.Sleep(time.Second)
				assert.Equal(t, test.later, depart(t, x, "e2"), "an agent that hasn't confirmed isn't waited for")
				time.Sleep(delivery.AgentSkipTime)
				assert.Equal(t, test.first, depart(t, x, "e3"), "it is waited for again")
				time.Sleep(time.Second) // the calls to the agents end meanwhile
			})
		})
	}
}

// TestPutReplicated_ManyProxies checks that 1,000 departures within a second are acknowledged in time with 300 agents,
// each of which gets at most one call at a time and about 20 calls a second.
func TestPutReplicated_ManyProxies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agents := map[string]condition{}
		for i := range 300 {
			agents[fmt.Sprint("agent-", i)] = working
		}
		x := newNotifyingExchange(agents)
		calls := make(chan string, 100_000)
		f := x.gossip.(*fakeGossip)
		push := f.pushApplied
		f.pushApplied = func(ctx context.Context, address string, entries []gossip.Entry) error {
			calls <- address
			return push(ctx, address, entries)
		}
		for i := range 1000 {
			go func() { assert.Less(t, depart(t, x, fmt.Sprint("e", i)), 100*time.Millisecond) }()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		assert.LessOrEqual(t, len(calls), 300*22, "20 calls a second to each")
	})
}
