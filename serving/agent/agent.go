package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/actor"
	"rowanlink/serving/event"
	"rowanlink/serving/gossip"
	"rowanlink/serving/settings"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

const (
	// tickInterval is the time between two looks at the proxy's silence and the counts of proxies.
	tickInterval = 500 * time.Millisecond
	// endingInterval is the same while the agent waits for its proxy's end.
	endingInterval = 100 * time.Millisecond
	// leaveTimeout bounds the farewell to other members.
	leaveTimeout = 250 * time.Millisecond
	// settleTime is how long a directory of an agent that was just started keeps silent while it knows nobody.
	settleTime = time.Second
	// syncTime is how long after its start an agent that has met others takes what it knows for complete. Members
	// that were started at the same time learn of the endpoints only by their next heartbeats.
	syncTime = 5 * time.Second
)

// memberMesh is what the agent needs of the mesh.
type memberMesh interface {
	Self() state.Member
	Members() []state.Member // those known to run
	DownMembers() []state.Member
	CountProxies() subscription.Proxies
	RoleClaims() []singleton.Claim
	SetState(state.MemberState)
	SetClientAddress(string)
	Subscribe(table gossip.TableID, take func(gossip.Entry))
	Leave(context.Context) error
}

// agent connects the board with the mesh and the proxy.
type agent struct {
	settings *settings.Process
	log      *zerolog.Logger
	mesh     memberMesh
	board    *actor.Owner[board]
	started  time.Time

	announcing sync.Mutex
	said       said
}

// said is what the mesh was last told of the proxy.
type said struct {
	state state.MemberState
	front string
}

func newAgent(process *settings.Process, log *zerolog.Logger, mesh memberMesh, table endpointTable) *agent {
	now := time.Now()
	life := rand.Uint64() | 1 // never zero
	a := &agent{settings: process, log: log, mesh: mesh, started: now}
	a.board = actor.Start(&board{news: newNews(life, table), started: now})
	a.subscribe()
	return a
}

// run keeps the mesh and the board up to date until the context ends and the proxy's end was waited for.
func (a *agent) run(ctx context.Context) {
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	told := ctx.Done()
	for {
		select {
		case <-told:
			told = nil
			ticks.Reset(endingInterval)
			event.ProgramEnding.Log(a.log).Send()
			a.board.Tell(func(b *board) { b.end(time.Now(), a.settings.Bounds.Grace) })
		case <-ticks.C:
		}
		if a.tick() {
			return
		}
	}
}

// tick does what the passing of time asks for and tells whether the agent may end.
func (a *agent) tick() (ended bool) {
	proxies, synced := a.mesh.CountProxies(), a.synced()
	ended, _ = actor.Ask(a.board, func(b *board) bool {
		if synced && !b.news.synced {
			event.AgentSynced.Log(a.log).Send()
		}
		b.tick(time.Now(), proxies, synced)
		return b.mayEnd(time.Now())
	})
	a.announce()
	return ended
}

// announce tells the mesh of the proxy's state and front if they have changed.
func (a *agent) announce() {
	a.announcing.Lock()
	defer a.announcing.Unlock()
	now, ok := actor.Ask(a.board, func(b *board) said {
		return said{state: b.proxyState(time.Now()), front: b.presence.front}
	})
	if !ok || now == a.said {
		return
	}
	event.ProxyState.Log(a.log).Uint8("from", uint8(a.said.state)).Uint8("to", uint8(now.state)).
		Str("front", now.front).Send()
	if now.front != a.said.front {
		a.mesh.SetClientAddress(now.front)
	}
	if now.state != a.said.state {
		a.mesh.SetState(now.state)
	}
	a.said = now
}

// leave bids the other members farewell.
func (a *agent) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := a.mesh.Leave(ctx); err != nil {
		event.LeaveUnheard.Log(a.log).Err(err).Send()
	}
}

// metOthers tells whether another member is known. Whoever is met first hands over all that it knows.
func (a *agent) metOthers() bool { return len(a.mesh.Members()) > 1 }

// settled tells whether the directory may answer: the agent has met others or has waited for them long enough.
func (a *agent) settled() bool { return time.Since(a.started) >= settleTime || a.metOthers() }

// synced tells whether what the agent knows is all there is to know.
func (a *agent) synced() bool { return time.Since(a.started) >= syncTime && a.metOthers() }

// directory makes the handler of clients' look-ups.
func (a *agent) directory() *lookupHandler {
	return &lookupHandler{live: a.mesh.Members, settled: a.settled, regions: a.settings.Regions,
		ttlMost: a.settings.Bounds.TTLMost, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}
