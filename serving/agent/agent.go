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
	// tickInterval is the time between two checks of the proxy's liveness and of the proxy counts.
	tickInterval = 500 * time.Millisecond
	// shutdownTickInterval replaces tickInterval while the agent shuts down and waits for its proxy to exit.
	shutdownTickInterval = 100 * time.Millisecond
	// leaveTimeout bounds the announcement of the agent's departure to other members.
	leaveTimeout = 250 * time.Millisecond
	// directoryStartDelay is how long after the agent's start its directory returns no addresses, unless the agent learns
	// of a peer sooner.
	directoryStartDelay = time.Second
	// syncDelay is how long after its start an agent that has peers regards its tables as complete. It isn't sooner
	// because its first peers may have started at the same time: such members receive the endpoints only with the
	// endpoints' next heartbeats.
	syncDelay = 5 * time.Second
)

// memberService is the part of member.Service that the agent uses.
type memberService interface {
	Self() state.Member
	// Members returns the live members, this one included.
	Members() []state.Member
	DownMembers() []state.Member
	CountProxies() subscription.ProxyCounts
	RoleClaims() []singleton.Claim
	SetState(state.MemberState)
	SetClientAddress(string)
	Subscribe(table gossip.TableID, subscriber func(gossip.Entry))
	Leave(context.Context) error
}

// agent passes what gossip delivers to its proxy, and announces the proxy's state to the other members.
type agent struct {
	settings   *settings.Process
	log        *zerolog.Logger
	members    memberService
	stateActor *actor.Actor[agentState]
	started    time.Time

	announceMutex sync.Mutex
	announced     announcement // the last one
}

// announcement is what the agent announces to other members about its proxy.
type announcement struct {
	state         state.MemberState
	clientAddress string
}

func newAgent(processSettings *settings.Process, log *zerolog.Logger, members memberService, table endpointTable) *agent {
	now := time.Now()
	incarnation := rand.Uint64() | 1 // never zero, since the zero cursor must match no agent
	a := &agent{
		settings: processSettings,
		log:      log,
		members:  members,
		started:  now,
	}
	a.stateActor = actor.Start(&agentState{
		publisher: newPublisher(incarnation, table),
		started:   now,
	})
	a.subscribeToGossip()
	return a
}

// run ticks until the agent has shut down. The shutdown begins when the context ends, and is complete when the proxy has
// exited or the shutdown deadline has passed.
func (a *agent) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	stopping := ctx.Done()
	for {
		select {
		case <-stopping:
			stopping = nil
			ticker.Reset(shutdownTickInterval)
			event.ProgramStopping.Log(a.log).Send()
			a.stateActor.Send(func(s *agentState) { s.beginShutdown(time.Now(), a.settings.Bounds.Grace) })
		case <-ticker.C:
		}
		if a.tick() {
			return
		}
	}
}

// tick updates the state that depends on the time, announces the proxy's state if it has changed, and reports whether the
// agent may stop.
func (a *agent) tick() (stopped bool) {
	proxies, synced := a.members.CountProxies(), a.isSynced()
	stopped, _ = actor.Call(a.stateActor, func(s *agentState) bool {
		if synced && !s.publisher.synced {
			event.AgentSynced.Log(a.log).Send()
		}
		s.tick(time.Now(), proxies, synced)
		return s.canStop(time.Now())
	})
	a.announceProxy()
	return stopped
}

// announceProxy announces the proxy's state and client address to other members if they have changed.
func (a *agent) announceProxy() {
	a.announceMutex.Lock()
	defer a.announceMutex.Unlock()
	current, ok := actor.Call(a.stateActor, func(s *agentState) announcement {
		return announcement{state: s.proxyState(time.Now()), clientAddress: s.proxy.clientAddress}
	})
	if !ok || current == a.announced {
		return
	}
	event.ProxyStateChanged.Log(a.log).
		Uint8("from", uint8(a.announced.state)).
		Uint8("to", uint8(current.state)).
		Str("proxy", current.clientAddress).
		Send()
	if current.clientAddress != a.announced.clientAddress {
		a.members.SetClientAddress(current.clientAddress)
	}
	if current.state != a.announced.state {
		a.members.SetState(current.state)
	}
	a.announced = current
}

// announceLeave announces to the other members that this one leaves. An error is logged: members that weren't reached
// get the departure by gossip or detect it.
func (a *agent) announceLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := a.members.Leave(ctx); err != nil {
		event.LeaveUnacknowledged.Log(a.log).Err(err).Send()
	}
}

// hasPeers reports whether another live member is known. One peer is enough: it transfers all of its tables.
func (a *agent) hasPeers() bool { return len(a.members.Members()) > 1 }

// isDirectoryReady reports whether the directory may return addresses: the agent knows peers, or has waited
// directoryStartDelay for them.
func (a *agent) isDirectoryReady() bool {
	return time.Since(a.started) >= directoryStartDelay || a.hasPeers()
}

// isSynced reports whether the agent's tables count as complete.
func (a *agent) isSynced() bool { return time.Since(a.started) >= syncDelay && a.hasPeers() }

// lookupHandler returns the HTTP handler that serves clients' look-ups.
func (a *agent) lookupHandler() *lookupHandler {
	return &lookupHandler{
		members: a.members.Members,
		isReady: a.isDirectoryReady,
		regions: a.settings.Regions,
		maxTTL:  a.settings.Bounds.MaxTTL,
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}
