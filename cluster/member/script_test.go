package member_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/member"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// scripted is one keeper whose answers go astray as a test says.
type scripted struct {
	mu     sync.Mutex
	term   api.Micros
	book   *lease.Table
	index  uint64
	parts  []transport.PartState                                      // to asks for the plan's, one by one
	asked  []uint64                                                   // the version, each time
	grants int                                                        // asked for so far
	charts int                                                        // commands to the map so far: none is taken
	answer func(no int, real transport.ProposeResponse) (int, []byte) // to an ask for a grant
}

func script(t *testing.T, answer func(no int, real transport.ProposeResponse) (int, []byte)) (*scripted,
	*member.Session) {
	s, all := scriptOf(t, 1, term, answer)
	return s, all[0]
}

func scriptOf(t *testing.T, members int, term api.Micros,
	answer func(no int, real transport.ProposeResponse) (int, []byte)) (*scripted, []*member.Session) {
	s := &scripted{book: lease.NewTable(), term: term, answer: answer}
	on, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := transport.NewServer(member.MaxConnections(members), time.Second)
	server.Handle(transport.SessionPath, s.session)
	server.Handle(transport.ProposePath, s.propose)
	server.Handle(transport.StatePath, s.states)
	go server.Serve(on)
	t.Cleanup(func() { server.Close(time.Second) })
	var all []*member.Session
	for i := range members {
		id := cluster.MemberID(fmt.Sprint("a", i))
		say := transport.NewClient(id, map[cluster.MemberID]string{"m1": on.Addr().String()})
		a := member.NewSession(member.Config{Self: id, Incarnation: 1, LeaseTTL: term, MaxClockDrift: 0.05, Clock: clock,
			Leader: member.NewLeaderClient(say, []cluster.MemberID{"m1"}, rand.Float64)})
		t.Cleanup(func() { a.Close(); say.Close() })
		all = append(all, a)
	}
	return s, all
}

func (s *scripted) apply(c cluster.Command) transport.ProposeResponse {
	s.index++
	raw, err := s.book.Apply(s.index, c.Body)
	return transport.ProposeResponse{Result: raw, ErrorCode: fsm.ErrorCode(err), Index: s.index}
}

func (s *scripted) session(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ask transport.SessionRequest
	transport.Decode(ctx.Request.Body(), &ask)
	answer := transport.SessionResponse{Session: ask.Session, TTL: s.term}
	if ask.Session == 0 {
		opened, _ := lease.DecodeResult(s.apply(lease.OpenSession(ask.Member, ask.Incarnation)).Result)
		answer.Session = opened.Session
	} else if s.book.Digest(ask.Session) != ask.GrantTally {
		answer.Grants = s.book.GrantsOf(ask.Session)
	}
	ctx.SetBody(transport.Encode(answer))
}

func (s *scripted) propose(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c cluster.Command
	var o lease.Operation
	transport.Decode(ctx.Request.Body(), &c)
	if c.Component == cluster.ShardMapComponent {
		s.charts++
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	transport.Decode(c.Body, &o)
	real := s.apply(c)
	status, body := fasthttp.StatusOK, transport.Encode(real)
	if o.Kind == lease.OpAcquire {
		s.grants++
		status, body = s.answer(s.grants, real)
	}
	ctx.SetStatusCode(status)
	ctx.SetBody(body)
}

func (s *scripted) free(task cluster.Resource) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _, _, held := s.book.Holder(task)
	return s.grants > 0 && !held
}

// The grant's answer is lost, and the next one is of a leader that was stopped and still has an older book.
// Guards against a task that is the member's own by the log and that it never takes.
func TestATaskIsTakenThoughItsGrantWasLostAndAnOlderBookSaysNo(t *testing.T) {
	_, a := script(t, func(no int, real transport.ProposeResponse) (int, []byte) {
		if no == 1 {
			return fasthttp.StatusGatewayTimeout, nil
		}
		older := lease.Result{Grants: []lease.Grant{{Resource: "home/1"}}}
		return fasthttp.StatusOK, transport.Encode(transport.ProposeResponse{Result: transport.Encode(older)})
	})
	a.Acquire("home/1")
	holds(t, a, "home/1")
}

// Guards against a task that nobody holds and nobody else is given: its grant was lost on the way, and it is
// wanted no more.
func TestATaskGivenUpWhileItsGrantIsUnsureComesFree(t *testing.T) {
	asked := make(chan struct{}, 1000)
	keeper, a := script(t, func(int, transport.ProposeResponse) (int, []byte) {
		asked <- struct{}{}
		return fasthttp.StatusGatewayTimeout, nil
	})
	a.Acquire("home/1")
	<-asked
	a.Release("home/1")
	require.Eventually(t, func() bool { return keeper.free("home/1") }, longer, time.Millisecond)
}

func (s *scripted) states(ctx *fasthttp.RequestCtx) {
	var ask transport.StateRequest
	var answer transport.StateResponse
	transport.Decode(ctx.Request.Body(), &ask)
	s.mu.Lock()
	if n := len(s.asked); n < len(s.parts) {
		answer.Parts, s.asked = s.parts[n:n+1], append(s.asked, ask.Versions[cluster.RebalanceComponent])
	}
	s.mu.Unlock()
	if len(answer.Parts) == 0 {
		time.Sleep(time.Duration(s.term/3) * time.Microsecond)
	}
	ctx.SetBody(transport.Encode(answer))
}

// Guards against keepers that refuse a large fleet's connections: then sessions end, one by one.
func TestAKeeperHearsAFleetOfThreeHundred(t *testing.T) {
	t.Parallel()
	_, all := scriptOf(t, 300, 10*api.Second, nil)
	for _, s := range all {
		s.Watch(cluster.RebalanceComponent, func(uint64, []byte) {})
	}
	time.Sleep(11 * time.Second) // each renews
	for _, s := range all {
		require.Eventually(t, s.IsActive, longer, time.Millisecond)
		require.Zero(t, s.SessionsLost.Load())
	}
}

// Guards against a state put together from a change that was made of another one, or damaged on its way.
func TestAChangeThatDoesNotFitHasTheWholeAskedFor(t *testing.T) {
	keeper, a := script(t, nil)
	part := func(version, since uint64, snapshot string) transport.PartState {
		return transport.PartState{Part: cluster.RebalanceComponent, Version: version, BaseVersion: since, Data: []byte(snapshot)}
	}
	keeper.parts = []transport.PartState{part(5, 0, "five"), part(6, 4, "of four"), part(6, 5, "broken"),
		part(3, 0, "three"), part(7, 0, "seven")}
	news := make(chan string, 9)
	a.Watch(cluster.RebalanceComponent, func(_ uint64, s []byte) { news <- string(s) })
	require.Equal(t, "five", <-news)
	require.Equal(t, "seven", <-news)
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	require.Equal(t, []uint64{0, 5, 5, 0, 3}, keeper.asked)
}

// A member that had been home got the task by a wish of before, while it was let go for another. Guards
// against a range without a home for good: whoever is neither home nor target has nothing to wait for.
func TestAHomeTakenByAFormerWishIsLetGoWhileItsMovePasses(t *testing.T) {
	_, a := script(t, func(_ int, real transport.ProposeResponse) (int, []byte) { return 200, transport.Encode(real) })
	a.Acquire(cluster.RangeOwnerResource(1))
	holds(t, a, cluster.RangeOwnerResource(1))
	chart := shardmap.New(nil)
	chart.Ranges = []shardmap.Range{{ID: 1, To: ^cluster.KeyHash(0), Owner: "m2", Epoch: 1, Status: shardmap.OwnerServing,
		Move: shardmap.Move{ID: 7, From: "m2", To: "m3", Step: shardmap.StepHandoff}}}
	look := member.Looks("a0", a, chart)
	require.Eventually(t, func() bool {
		look()
		_, held := a.Holds(cluster.RangeOwnerResource(1))
		return !held
	}, longer/10, time.Millisecond)
}
