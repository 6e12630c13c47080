package member

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
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

// proxyCountWindow is how long a proxy that is no longer live still counts among those that may run.
const proxyCountWindow = time.Minute

// Options configures a Service.
type Options struct {
	Settings *settings.Process
	Self     state.Member // the local member, without Incarnation and Sequence
	Client   *rpc.Client
	Mux      *http.ServeMux
	Log      *zerolog.Logger
}

// Service is the member of one process: it runs gossip, membership and singleton roles. It is safe for concurrent use.
type Service struct {
	options  Options
	actor    *actor.Actor[node]
	caller   *caller
	notifier *notifier
	wake     chan struct{} // something is due before the timer fires
	done     chan struct{} // closed when the timer loop has ended
	cancel   context.CancelFunc
	// persister saves the entries of durable pushes; nil before SetPersister.
	persister atomic.Pointer[Persister]
	// applier waits for entries that pushes name; nil before SetApplier.
	applier atomic.Pointer[Applier]
}

// Start joins the membership in the background, until ctx ends or Close is called. The incarnation is the wall
// clock; where the clock has jumped back since an earlier incarnation, the first member that is contacted knows that
// one, and the local member raises its incarnation above it.
func Start(ctx context.Context, options Options) (*Service, error) {
	running, cancel := context.WithCancel(ctx)
	s := &Service{
		options:  options,
		notifier: newNotifier(),
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		cancel:   cancel,
	}
	s.caller = newCaller(options.Client, s)
	seeds := seedAddresses(options.Settings, options.Settings.Seeds, options.Log)
	self := options.Self
	self.Incarnation = uint64(time.Now().UnixNano())
	random := rand.New(rand.NewPCG(self.Incarnation, rand.Uint64()))
	node := newNode(time.Now(), nodeOptions{
		self:   self,
		seeds:  seeds,
		random: random,
		log:    options.Log,
	})
	s.actor = actor.Start(node)
	s.registerHandlers(options.Mux)
	go s.notifier.run(running)
	go s.loop(running)
	return s, nil
}

// seedAddresses returns the addresses for internal calls of the seeds, which are given by their control addresses.
func seedAddresses(own *settings.Process, controls []string, log *zerolog.Logger) (addresses []string) {
	for _, control := range controls {
		address, err := own.InternalAddressOf(control)
		if err != nil {
			event.SeedAddressInvalid.Log(log).Err(err).Str("seed", control).Send()
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// Close stops the service without notifying other members, see Leave.
func (s *Service) Close() {
	s.cancel()
	<-s.done
	s.actor.Stop()
}

// run executes a command on the node, asynchronously, and wakes the timer loop if something is due earlier then.
func (s *Service) run(command func(now time.Time, n *node)) {
	s.actor.Send(func(n *node) {
		command(time.Now(), n)
		s.wakeIfDue(n)
	})
}

// query executes a command on the node and returns its result; the zero value after Close.
func query[Result any](s *Service, command func(now time.Time, n *node) Result) Result {
	result, _ := actor.Call(s.actor, func(n *node) Result {
		result := command(time.Now(), n)
		s.wakeIfDue(n)
		return result
	})
	return result
}

// markUnresponsive records that a peer didn't respond to a call.
func (s *Service) markUnresponsive(name string) {
	s.run(func(now time.Time, n *node) { n.markUnresponsive(now, name) })
}

// wakeIfDue wakes the timer loop where something is due before its timer fires.
func (s *Service) wakeIfDue(n *node) {
	if !n.nextTick().Before(n.wakeAt) {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Put stores an entry and gossips it. It doesn't wait.
func (s *Service) Put(entry gossip.Entry) {
	s.run(func(now time.Time, n *node) { n.putLocal(now, entry) })
}

// Get returns the newest entry of a key.
func (s *Service) Get(table gossip.TableID, key string) (entry gossip.Entry, found bool) {
	actor.Call(s.actor, func(n *node) bool {
		entry, found = n.engine.Get(table, key)
		return true
	})
	return entry, found
}

// All returns the entries of a table, in no order.
func (s *Service) All(table gossip.TableID) []gossip.Entry {
	return query(s, func(_ time.Time, n *node) []gossip.Entry { return n.all(table) })
}

// Subscribe registers a function that is called for every entry of the table: first for those stored now, then for each
// that is stored later, in this order. Calls come one at a time from a goroutine of the service and may use the
// service.
func (s *Service) Subscribe(table gossip.TableID, call func(gossip.Entry)) {
	s.run(func(_ time.Time, n *node) {
		for _, entry := range n.all(table) {
			s.notifier.add(call, entry)
		}
		n.engine.Subscribe(table, func(entry gossip.Entry) { s.notifier.add(call, entry) })
	})
}

// Members returns the live members, the local one among them, by name.
func (s *Service) Members() []state.Member {
	return query(s, func(_ time.Time, n *node) []state.Member { return n.members.LiveMembers() })
}

// DownMembers returns the members that are known to be down, by name.
func (s *Service) DownMembers() []state.Member {
	return query(s, func(_ time.Time, n *node) []state.Member { return n.members.DownMembers() })
}

// LeftMembers returns the members that have lately left by a graceful shutdown, by name.
func (s *Service) LeftMembers() []state.Member {
	return query(s, func(_ time.Time, n *node) []state.Member { return n.members.LeftMembers() })
}

// IsDown reports whether a member is known to be down.
func (s *Service) IsDown(name string) bool {
	return query(s, func(_ time.Time, n *node) bool { return n.members.IsDown(name) })
}

// IsLiveAt reports whether the member at an address, host:port, is known to be live.
func (s *Service) IsLiveAt(address string) bool {
	return slices.ContainsFunc(s.Members(), func(member state.Member) bool { return member.Address == address })
}

// Self returns the newest version of the local member.
func (s *Service) Self() state.Member {
	return query(s, func(_ time.Time, n *node) state.Member { return n.members.Self() })
}

// SetState changes the state of the local member and gossips it.
func (s *Service) SetState(to state.MemberState) {
	s.run(func(now time.Time, n *node) {
		if n.members.Self().State != to {
			n.updateSelf(now, func(member *state.Member) { member.State = to })
		}
	})
}

// SetClientAddress changes the address, host:port, at which the local member's proxy accepts clients' requests.
func (s *Service) SetClientAddress(address string) {
	s.run(func(now time.Time, n *node) {
		if n.members.Self().ProxyAddress != address {
			n.updateSelf(now, func(member *state.Member) { member.ProxyAddress = address })
		}
	})
}

// SetSeeds replaces the seeds, which are given by their control addresses.
func (s *Service) SetSeeds(controls []string) {
	addresses := seedAddresses(s.options.Settings, controls, s.options.Log)
	s.run(func(now time.Time, n *node) { n.seeds.set(now, addresses) })
}

// CountProxies counts the proxies of the system.
func (s *Service) CountProxies() subscription.ProxyCounts {
	return query(s, func(now time.Time, n *node) subscription.ProxyCounts {
		return subscription.ProxyCounts{
			Live:         n.members.CountLive(state.RoleAgent, ""),
			MaxRunning:   n.members.CountRecentlyLive(now, state.RoleAgent, proxyCountWindow),
			LiveInRegion: n.members.CountLive(state.RoleAgent, n.members.Self().Region),
		}
	})
}

// AcquireRole returns the holder of a singleton role among the live members of a scope, and takes the role for the
// local member if that is the first candidate. Call it before each run of the role's job, and run the job only while
// Assignment.Local.
func (s *Service) AcquireRole(role string, scope singleton.Scope) singleton.Assignment {
	return query(s, func(now time.Time, n *node) singleton.Assignment { return n.acquireRole(now, role, scope) })
}

// RoleClaims returns the newest claim of each singleton role, in no order.
func (s *Service) RoleClaims() []singleton.Claim {
	return query(s, func(_ time.Time, n *node) []singleton.Claim { return n.roles.Claims() })
}

// leaveAcknowledgements is the number of members that have to acknowledge the local member's departure.
const leaveAcknowledgements = 3

// Leave notifies the other members of the graceful shutdown of the local one. It returns when leaveAcknowledgements of
// them have acknowledged that or when ctx ends, with an error of PutReplicated.
func (s *Service) Leave(ctx context.Context) error {
	left := query(s, func(now time.Time, n *node) gossip.Entry {
		n.updateSelf(now, func(member *state.Member) { member.State = state.MemberLeft })
		entry, _ := n.engine.Get(gossip.TableMembers, n.members.Self().Name)
		return entry
	})
	others := len(s.Members())
	if others == 0 {
		return nil
	}
	return s.PutReplicated(ctx, left, min(leaveAcknowledgements, others))
}
