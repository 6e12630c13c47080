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

// fakeMesh is a mesh whose members the test sets. It notes what the agent says of itself.
type fakeMesh struct {
	mutex       sync.Mutex
	self        state.Member
	others      []state.Member
	proxies     subscription.Proxies
	subscribers map[gossip.TableID]func(gossip.Entry)
	states      []state.MemberState // that the agent announced, in order
	left        bool
	leaveError  error
}

func newFakeMesh() *fakeMesh {
	return &fakeMesh{self: proxyIn("n1", 1, state.MemberStarting), subscribers: map[gossip.TableID]func(gossip.Entry){}}
}

func (f *fakeMesh) Self() state.Member {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.self
}

func (f *fakeMesh) Members() []state.Member {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]state.Member{f.self}, f.others...)
}

func (f *fakeMesh) DownMembers() []state.Member   { return nil }
func (f *fakeMesh) RoleClaims() []singleton.Claim { return nil }

func (f *fakeMesh) CountProxies() subscription.Proxies {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.proxies
}

func (f *fakeMesh) SetState(to state.MemberState) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.self.State = to
	f.states = append(f.states, to)
}

func (f *fakeMesh) SetClientAddress(front string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.self.Front = front
}

func (f *fakeMesh) announced() []state.MemberState {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.states)
}

func (f *fakeMesh) Subscribe(table gossip.TableID, take func(gossip.Entry)) {
	f.subscribers[table] = take
}

func (f *fakeMesh) Leave(context.Context) error {
	f.left = true
	return f.leaveError
}

func (f *fakeMesh) meet(others ...state.Member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.others = others
}

// deliver hands an entry to the agent as the mesh does.
func (f *fakeMesh) deliver(t *testing.T, table gossip.TableID, value any) {
	encoded, err := cbor.Marshal(value)
	require.NoError(t, err)
	f.subscribers[table](gossip.Entry{Table: table, Key: "k", Value: encoded})
}

// standing is an agent on a fake mesh, with the server that its proxy polls.
type standing struct {
	*agent
	mesh   *fakeMesh
	server *feedServer
	noted  chan []state.Observation // what the proxy has told of endpoints
}

func stand(grace time.Duration) *standing {
	fake := newFakeMesh()
	log := zerolog.Nop()
	process := &settings.Process{NodeName: "n1-1", Regions: someRegions, Bounds: settings.Bounds{Grace: grace}}
	table := endpoints.NewTable(endpoints.Options{Self: "n1-1", BeatInterval: time.Second})
	a := newAgent(process, &log, fake, table)
	a.board.Tell(func(b *board) { b.confirm(0) })
	noted := make(chan []state.Observation, 100)
	return &standing{agent: a, mesh: fake, noted: noted,
		server: &feedServer{board: a.board, now: time.Now, announce: a.announce,
			observed: func(seen []state.Observation) { noted <- seen }}}
}

// polled is the end of a poll.
type polled struct {
	response *subscription.Response
	err      error
	after    time.Duration
}

// poll begins a poll whose end comes through the channel.
func (s *standing) poll(ctx context.Context, request *subscription.Request) <-chan polled {
	ended := make(chan polled, 1)
	begun := time.Now()
	go func() {
		response, err := s.server.watch(ctx, request)
		ended <- polled{response, err, time.Since(begun)}
	}()
	return ended
}

func waiting(since subscription.Cursor, told state.MemberState) *subscription.Request {
	return &subscription.Request{Since: since, WaitMillis: 5000, Incarnation: 1, State: told, Front: "10.0.0.1:80"}
}
