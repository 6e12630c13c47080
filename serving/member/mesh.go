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

// proxyCountWindow is how long a proxy that is gone still counts among those that may run.
const proxyCountWindow = time.Minute

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
	actor    *actor.Actor[node]
	caller   *caller
	notifier *notifier
	wake     chan struct{} // something is due earlier than the timer says
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
		notifier: newNotifier(),
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		cancel:   cancel,
	}
	m.caller = newCaller(running, options.Client, m)
	seeds := seedAddresses(options.Settings, options.Settings.Seeds, options.Log)
	self := options.Self
	self.Incarnation = uint64(time.Now().UnixNano())
	random := rand.New(rand.NewPCG(self.Incarnation, rand.Uint64()))
	node := newNode(time.Now(), nodeOptions{self: self, seeds: seeds, random: random, log: options.Log})
	m.actor = actor.Start(node)
	m.registerHandlers(options.Mux)
	go m.notifier.run(running)
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
	m.actor.Stop()
}

// run runs a command on the node and sees to it that the timer fits what it brought about.
func (m *Service) run(command func(now time.Time, n *node)) {
	m.actor.Send(func(n *node) {
		command(time.Now(), n)
		m.wakeIfDue(n)
	})
}

// query runs a command on the node and returns its result; the zero value after Close.
func query[Result any](m *Service, command func(now time.Time, n *node) Result) Result {
	result, _ := actor.Call(m.actor, func(n *node) Result {
		result := command(time.Now(), n)
		m.wakeIfDue(n)
		return result
	})
	return result
}

// wakeIfDue wakes the timer loop where something is due before its timer ends.
func (m *Service) wakeIfDue(n *node) {
	if !n.nextTick().Before(n.wakeAt) {
		return
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Put takes in an entry and spreads it. It returns at once.
func (m *Service) Put(entry gossip.Entry) {
	m.run(func(now time.Time, n *node) { n.putLocal(now, entry) })
}

// Get returns the newest entry of a key.
func (m *Service) Get(table gossip.TableID, key string) (entry gossip.Entry, found bool) {
	actor.Call(m.actor, func(n *node) bool {
		entry, found = n.engine.Get(table, key)
		return true
	})
	return entry, found
}

// All returns the entries of a table, in no order.
func (m *Service) All(table gossip.TableID) []gossip.Entry {
	return query(m, func(_ time.Time, n *node) []gossip.Entry { return n.all(table) })
}

// Subscribe has the function called for every entry of the table: first for those known now, then for each that is
// taken in, in this order. Calls come one at a time from a goroutine of the mesh and may use the mesh.
func (m *Service) Subscribe(table gossip.TableID, call func(gossip.Entry)) {
	m.run(func(_ time.Time, n *node) {
		for _, entry := range n.all(table) {
			m.notifier.add(call, entry)
		}
		n.engine.Subscribe(table, func(entry gossip.Entry) { m.notifier.add(call, entry) })
	})
}

// Members returns the live members, the own among them, by name.
func (m *Service) Members() []state.Member {
	return query(m, func(_ time.Time, n *node) []state.Member { return n.members.LiveMembers() })
}

// DownMembers returns the members that are known to be down, by name.
func (m *Service) DownMembers() []state.Member {
	return query(m, func(_ time.Time, n *node) []state.Member { return n.members.DownMembers() })
}

// LeftMembers returns the members that have ended by plan of late, by name.
func (m *Service) LeftMembers() []state.Member {
	return query(m, func(_ time.Time, n *node) []state.Member { return n.members.LeftMembers() })
}

// IsDown tells whether a member is known to be down.
func (m *Service) IsDown(name string) bool {
	return query(m, func(_ time.Time, n *node) bool { return n.members.IsDown(name) })
}

// IsLiveAt tells whether the member at an address is known to be live.
func (m *Service) IsLiveAt(address string) bool {
	return slices.ContainsFunc(m.Members(), func(member state.Member) bool { return member.Address == address })
}

// Self returns the own member as the others know it.
func (m *Service) Self() state.Member {
	return query(m, func(_ time.Time, n *node) state.Member { return n.members.Self() })
}

// SetState changes what the own member says of itself.
func (m *Service) SetState(to state.MemberState) {
	m.run(func(now time.Time, n *node) {
		if n.members.Self().State != to {
			n.updateSelf(now, func(member *state.Member) { member.State = to })
		}
	})
}

// SetSeeds replaces the seeds, given as control addresses.
func (m *Service) SetSeeds(controls []string) {
	addresses := seedAddresses(m.options.Settings, controls, m.options.Log)
	m.run(func(now time.Time, n *node) { n.seeds.set(now, addresses) })
}

// CountProxies counts the proxies of the whole system.
func (m *Service) CountProxies() subscription.ProxyCounts {
	return query(m, func(now time.Time, n *node) subscription.ProxyCounts {
		return subscription.ProxyCounts{
			Live:         n.members.CountLive(state.RoleAgent, ""),
			MaxRunning:   n.members.CountRecentlyLive(now, state.RoleAgent, proxyCountWindow),
			LiveInRegion: n.members.CountLive(state.RoleAgent, n.members.Self().Region),
		}
	})
}

// AcquireRole returns who holds a duty among the live members of a scope. The own process takes the duty if it is its
// turn: call this before each run of the duty, and do it only while Holding.Mine.
func (m *Service) AcquireRole(name string, scope singleton.Scope) singleton.Assignment {
	return query(m, func(now time.Time, n *node) singleton.Assignment { return n.acquireRole(now, name, scope) })
}

// RoleClaims returns the newest claim of every duty.
func (m *Service) RoleClaims() []singleton.Claim {
	return query(m, func(_ time.Time, n *node) []singleton.Claim { return n.roles.Claims() })
}

// leaveAcknowledgements is how many members are told directly that the own one leaves.
const leaveAcknowledgements = 3

// Leave tells the others that the own member ends by plan. It returns when some have acknowledged or ctx ends.
func (m *Service) Leave(ctx context.Context) error {
	left := query(m, func(now time.Time, n *node) gossip.Entry {
		n.updateSelf(now, func(member *state.Member) { member.State = state.MemberLeft })
		entry, _ := n.engine.Get(gossip.TableMembers, n.members.Self().Name)
		return entry
	})
	others := len(m.Members())
	if others == 0 {
		return nil
	}
	return m.PutReplicated(ctx, left, nil, min(leaveAcknowledgements, others))
}
