package agent

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/gossip"
	"rowanlink/serving/settings"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// fakeMembers is a memberService whose peers are set by the test. It records what the agent announces.
type fakeMembers struct {
	mutex       sync.Mutex
	self        state.Member
	peers       []state.Member
	proxies     subscription.ProxyCounts
	subscribers map[gossip.TableID]func(gossip.Entry)
	states      []state.MemberState // announced by the agent, in order
	left        bool
	leaveError  error
}

func newFakeMembers() *fakeMembers {
	return &fakeMembers{
		self:        newProxyMember("n1", 1, state.MemberStarting),
		subscribers: map[gossip.TableID]func(gossip.Entry){},
	}
}

func (f *fakeMembers) Self() state.Member {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.self
}

func (f *fakeMembers) Members() []state.Member {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]state.Member{f.self}, f.peers...)
}

func (f *fakeMembers) DownMembers() []state.Member   { return nil }
func (f *fakeMembers) RoleClaims() []singleton.Claim { return nil }

func (f *fakeMembers) CountProxies() subscription.ProxyCounts {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.proxies
}

func (f *fakeMembers) SetState(announced state.MemberState) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.self.State = announced
	f.states = append(f.states, announced)
}

func (f *fakeMembers) SetClientAddress(address string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.self.ProxyAddress = address
}

func (f *fakeMembers) announced() []state.MemberState {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.states)
}

func (f *fakeMembers) Subscribe(table gossip.TableID, subscriber func(gossip.Entry)) {
	f.subscribers[table] = subscriber
}

func (f *fakeMembers) Leave(context.Context) error {
	f.left = true
	return f.leaveError
}

func (f *fakeMembers) setPeers(peers ...state.Member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.peers = peers
}

// deliver passes an entry to the agent's subscriber, as gossip does.
func (f *fakeMembers) deliver(t *testing.T, table gossip.TableID, value any) {
	t.Helper()
	encoded, err := cbor.Marshal(value)
	require.NoError(t, err)
	f.subscribers[table](gossip.Entry{Table: table, Key: "k", Value: encoded})
}

// testAgent is an agent with fake members and the server that its proxy polls.
type testAgent struct {
	*agent
	members      *fakeMembers
	server       *subscriptionServer
	observations chan []state.Observation // forwarded from the proxy's polls
}

// newTestAgent returns an agent that has just started and whose record counts as confirmed.
func newTestAgent(grace time.Duration) *testAgent {
	fake := newFakeMembers()
	log := zerolog.Nop()
	process := &settings.Process{NodeName: "n1-1", Regions: testRegions, Bounds: settings.Bounds{Grace: grace}}
	table := endpoints.NewTable(endpoints.Options{Self: "n1-1", HeartbeatInterval: time.Second})
	a := newAgent(process, &log, fake, table)
	a.stateActor.Send(func(s *agentState) { s.confirmRevision(0) })
	forwarded := make(chan []state.Observation, 100)
	return &testAgent{
		agent:        a,
		members:      fake,
		observations: forwarded,
		server: &subscriptionServer{
			stateActor:          a.stateActor,
			now:                 time.Now,
			announceProxy:       a.announceProxy,
			forwardObservations: func(observations []state.Observation) { forwarded <- observations },
		},
	}
}

// pollOutcome is the outcome of a poll.
type pollOutcome struct {
	response *subscription.Response
	err      error
	elapsed  time.Duration
}

// poll starts a poll and returns the channel for its outcome.
func (a *testAgent) poll(ctx context.Context, request *subscription.Request) <-chan pollOutcome {
	outcome := make(chan pollOutcome, 1)
	start := time.Now()
	go func() {
		response, err := a.server.watch(ctx, request)
		outcome <- pollOutcome{response: response, err: err, elapsed: time.Since(start)}
	}()
	return outcome
}

// newWaitingRequest returns a poll of the proxy's first incarnation that waits for up to five seconds.
func newWaitingRequest(since subscription.Cursor, reported state.MemberState) *subscription.Request {
	return &subscription.Request{
		Since:         since,
		WaitMillis:    5000,
		Incarnation:   1,
		State:         reported,
		ClientAddress: "10.0.0.1:80",
	}
}
