package member

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/actor"
	"rowanlink/serving/event"
	"rowanlink/serving/gossip"
	"rowanlink/serving/rpc"
	"rowanlink/serving/settings"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// proxyWindow is how long a proxy that is gone still counts among those that may run.
const proxyWindow = time.Minute

// Options says who the member is and what it uses.
type Options struct {
	Settings *settings.Process
	Self     state.Member // without Incarnation and Sequence
	Client   *rpc.Client
	Mux      *http.ServeMux
	Log      *zerolog.Logger
}

// Service is one process's part in the mesh. Its methods may be called from several goroutines.
type Service struct {
	options  Options
	owner    *actor.Actor[node]
	calls    *caller
	delivery *delivery
	poke     chan struct{} // something is due earlier than the timer says
	done     chan struct{} // closed when the timer loop has ended
	cancel   context.CancelFunc
}

// Start joins the other members in the background, until ctx ends or Close is called. It asks nobody before: the time
// of day is the incarnation, and where it has jumped back since an earlier life, the first member that is met knows
// that life and the own process raises itself above it.
func Start(ctx context.Context, options Options) (*Service, error) {
	running, cancel := context.WithCancel(ctx)
	m := &Service{
		options:  options,
		delivery: newDelivery(),
		poke:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		cancel:   cancel,
	}
	m.calls = newCaller(running, options.Client, m)
	seeds := seedAddresses(options.Settings, options.Settings.Seeds, options.Log)
	self := options.Self
	self.Incarnation = uint64(time.Now().UnixNano())
	random := rand.New(rand.NewPCG(self.Incarnation, rand.Uint64()))
	node := newNode(time.Now(), nodeOptions{self: self, seeds: seeds, random: random, log: options.Log})
	m.owner = actor.Start(node)
	m.serve(options.Mux)
	go m.delivery.run(running)
	go m.loop(running)
	return m, nil
}

// seedAddresses turns the control addresses of the seeds into the addresses for calls between members.
func seedAddresses(own *settings.Process, controls []string, log *zerolog.Logger) (addresses []string) {
	for _, control := range controls {
		address, err := own.InnerAddressOf(control)
		if err != nil {
			event.SeedAddressInvalid.Log(log).Err(err).Str("seed", control).Send()
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// Close ends the part without telling others.
func (m *Service) Close() {
	m.cancel()
	<-m.done
	m.owner.Stop()
}

// do runs a command on the node and sees to it that the timer fits what it brought about.
func (m *Service) do(command func(now time.Time, n *node)) {
	m.owner.Send(func(n *node) {
		command(time.Now(), n)
		m.wakeFor(n)
	})
}

// ask runs a command on the node and returns its result; the zero value after Close.
func ask[Result any](m *Service, command func(now time.Time, n *node) Result) Result {
	result, _ := actor.Call(m.owner, func(n *node) Result {
		result := command(time.Now(), n)
		m.wakeFor(n)
		return result
	})
	return result
}

// wakeFor wakes the timer loop where something is due before its timer ends.
func (m *Service) wakeFor(n *node) {
	if !n.nextTick().Before(n.wakeAt) {
		return
	}
	select {
	case m.poke <- struct{}{}:
	default:
	}
}

// Put takes in an entry and spreads it. It returns at once.
func (m *Service) Put(entry gossip.Entry) {
	m.do(func(now time.Time, n *node) { n.put(now, entry) })
}

// Get returns the newest entry of a key.
func (m *Service) Get(table gossip.TableID, key string) (entry gossip.Entry, found bool) {
	actor.Call(m.owner, func(n *node) bool {
		entry, found = n.engine.Get(table, key)
		return true
	})
	return entry, found
}

// All returns the entries of a table, in no order.
func (m *Service) All(table gossip.TableID) []gossip.Entry {
	return ask(m, func(_ time.Time, n *node) []gossip.Entry { return n.all(table) })
}

// Subscribe has the function called for every entry of the table: first for those known now, then for each that is
// taken in, in this order. Calls come one at a time from a goroutine of the mesh and may use the mesh.
func (m *Service) Subscribe(table gossip.TableID, call func(gossip.Entry)) {
	m.do(func(_ time.Time, n *node) {
		for _, entry := range n.all(table) {
			m.delivery.add(call, entry)
		}
		n.engine.Subscribe(table, func(entry gossip.Entry) { m.delivery.add(call, entry) })
	})
}

// Members returns the live members, the own among them, by name.
func (m *Service) Members() []state.Member {
	return ask(m, func(_ time.Time, n *node) []state.Member { return n.members.LiveMembers() })
}

// DownMembers returns the members that are known to be down, by name.
func (m *Service) DownMembers() []state.Member {
	return ask(m, func(_ time.Time, n *node) []state.Member { return n.members.DownMembers() })
}

// LeftMembers returns the members that have ended by plan of late, by name.
func (m *Service) LeftMembers() []state.Member {
	return ask(m, func(_ time.Time, n *node) []state.Member { return n.members.LeftMembers() })
}

// IsDown tells whether a member is known to be down.
func (m *Service) IsDown(name string) bool {
	return ask(m, func(_ time.Time, n *node) bool { return n.members.IsDown(name) })
}

// IsLiveAt tells whether the member at an address is known to be live.
func (m *Service) IsLiveAt(address string) bool {
	return slices.ContainsFunc(m.Members(), func(member state.Member) bool { return member.Address == address })
}

// Self returns the own member as the others know it.
func (m *Service) Self() state.Member {
	return ask(m, func(_ time.Time, n *node) state.Member { return n.members.Self() })
}

// SetState changes what the own member says of itself.
func (m *Service) SetState(to state.MemberState) {
	m.do(func(now time.Time, n *node) {
		if n.members.Self().State != to {
			n.updateSelf(now, func(member *state.Member) { member.State = to })
		}
	})
}

// SetSeeds replaces the seeds, given as control addresses.
func (m *Service) SetSeeds(controls []string) {
	addresses := seedAddresses(m.options.Settings, controls, m.options.Log)
	m.do(func(now time.Time, n *node) { n.seeds.set(now, addresses) })
}

// CountProxies counts the proxies of the whole system.
func (m *Service) CountProxies() subscription.ProxyCounts {
	return ask(m, func(now time.Time, n *node) subscription.ProxyCounts {
		return subscription.ProxyCounts{
			Live:         n.members.CountLive(state.RoleAgent, ""),
			MaxRunning:   n.members.CountRecentlyLive(now, state.RoleAgent, proxyWindow),
			LiveInRegion: n.members.CountLive(state.RoleAgent, n.members.Self().Region),
		}
	})
}

// AcquireRole returns who holds a duty among the live members of a scope. The own process takes the duty if it is its
// turn: call this before each run of the duty, and do it only while Holding.Mine.
func (m *Service) AcquireRole(name string, scope singleton.Scope) singleton.Assignment {
	return ask(m, func(now time.Time, n *node) singleton.Assignment { return n.holder(now, name, scope) })
}

// RoleClaims returns the newest claim of every duty.
func (m *Service) RoleClaims() []singleton.Claim {
	return ask(m, func(_ time.Time, n *node) []singleton.Claim { return n.duties.Claims() })
}

// leaveCopies is how many members are told directly that the own one leaves.
const leaveCopies = 3

// Leave tells the others that the own member ends by plan. It returns when some have acknowledged or ctx ends.
func (m *Service) Leave(ctx context.Context) error {
	left := ask(m, func(now time.Time, n *node) gossip.Entry {
		n.updateSelf(now, func(member *state.Member) { member.State = state.MemberLeft })
		entry, _ := n.engine.Get(gossip.TableMembers, n.members.Self().Name)
		return entry
	})
	others := len(m.Members())
	if others == 0 {
		return nil
	}
	return m.PutReplicated(ctx, left, nil, min(leaveCopies, others))
}
