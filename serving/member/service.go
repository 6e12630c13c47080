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

// proxyCountWindow is how long a proxy that is no longer known to be live still counts in ProxyCounts.MaxRunning.
const proxyCountWindow = time.Minute

// Options configures a Service.
type Options struct {
	Settings *settings.Process
	Self     state.Member // the local member, without Incarnation and Sequence
	Client   *rpc.Client
	Mux      *http.ServeMux
	Log      *zerolog.Logger
}

// Service runs the local member: its gossip, membership and singleton roles. It is safe for concurrent use.
type Service struct {
	options  Options
	actor    *actor.Actor[node]
	caller   *caller
	notifier *notifier
	wake     chan struct{} // signals the timer loop that an action is due before its timer fires
	done     chan struct{} // closed when the timer loop has ended
	cancel   context.CancelFunc
	// persister saves the entries of messages with gossip.Message.Durable set; nil before SetPersister.
	persister atomic.Pointer[Persister]
	// applier waits until this process has applied the entries listed in gossip.Message.Await; nil before SetApplier.
	applier atomic.Pointer[Applier]
}

// Start starts the local member, which joins the membership in the background. It runs until ctx ends or Close is called.
// Its incarnation is the wall clock's time. If the clock was set back since an earlier process of this member started, the
// first member that is contacted returns the higher incarnation, and the local member raises its own above it.
func Start(ctx context.Context, options Options) (*Service, error) {
	runContext, cancel := context.WithCancel(ctx)
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
	go s.notifier.run(runContext)
	go s.loop(runContext)
	return s, nil
}

// seedAddresses returns the seeds' addresses for internal calls, given their control addresses. Invalid ones are logged and
// left out.
func seedAddresses(own *settings.Process, controlAddresses []string, log *zerolog.Logger) (addresses []string) {
	for _, controlAddress := range controlAddresses {
		address, err := own.InternalAddressOf(controlAddress)
		if err != nil {
			event.SeedAddressInvalid.Log(log).Err(err).Str("seed", controlAddress).Send()
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// Close stops the service. It doesn't notify other members; Leave does.
func (s *Service) Close() {
	s.cancel()
	<-s.done
	s.actor.Stop()
}

// run runs a command on the node's goroutine, without waiting for it. If an action is then due before the timer fires, it
// wakes the timer loop.
func (s *Service) run(command func(now time.Time, n *node)) {
	s.actor.Send(func(n *node) {
		command(time.Now(), n)
		s.wakeIfDue(n)
	})
}

// query runs a command on the node's goroutine and returns its result; the zero value after Close.
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

// wakeIfDue wakes the timer loop if an action is due before its timer fires.
func (s *Service) wakeIfDue(n *node) {
	if !n.nextTick().Before(n.wakeAt) {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Put stores an entry and gossips it. It doesn't wait until the entry is stored or sent.
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
	return query(s, func(_ time.Time, n *node) []gossip.Entry { return n.tableEntries(table) })
}

// Subscribe registers a function that is called for every entry of the table: first for those stored now, in no order, and
// then for each that is stored later, in the order in which they are stored. The service makes the calls one at a time on
// its own goroutine; the subscriber may call methods of the service.
func (s *Service) Subscribe(table gossip.TableID, subscriber func(gossip.Entry)) {
	s.run(func(_ time.Time, n *node) {
		for _, entry := range n.tableEntries(table) {
			s.notifier.add(subscriber, entry)
		}
		n.engine.Subscribe(table, func(entry gossip.Entry) { s.notifier.add(subscriber, entry) })
	})
}

// Members returns the live members, including the local one, ordered by name.
func (s *Service) Members() []state.Member {
	return query(s, func(_ time.Time, n *node) []state.Member { return n.members.LiveMembers() })
}

// DownMembers returns the members that are known to be down, ordered by name.
func (s *Service) DownMembers() []state.Member {
	return query(s, func(_ time.Time, n *node) []state.Member { return n.members.DownMembers() })
}

// LeftMembers returns the members that have lately left by a graceful shutdown, ordered by name.
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

// SetSeeds replaces the seeds, given their control addresses.
func (s *Service) SetSeeds(controlAddresses []string) {
	addresses := seedAddresses(s.options.Settings, controlAddresses, s.options.Log)
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

// AcquireRole returns the holder of a singleton role among the live members of a scope. It takes the role for the local
// member if the local member ranks first among the candidates: at once if the holder is no longer a candidate, otherwise
// after a delay. Call AcquireRole before each run of the role's job, and run the job only if Assignment.Local is set.
func (s *Service) AcquireRole(role string, scope singleton.Scope) singleton.Assignment {
	return query(s, func(now time.Time, n *node) singleton.Assignment { return n.acquireRole(now, role, scope) })
}

// RoleClaims returns the newest claim of each singleton role, in no order.
func (s *Service) RoleClaims() []singleton.Claim {
	return query(s, func(_ time.Time, n *node) []singleton.Claim { return n.roles.Claims() })
}

// leaveAcknowledgements is the number of members that have to acknowledge the local member's departure.
const leaveAcknowledgements = 3

// Leave marks the local member as left and notifies the other members, so that they need not detect its shutdown. It
// returns when leaveAcknowledgements of them, or all if there are fewer, have acknowledged its departure. Errors are
// those of PutReplicated.
func (s *Service) Leave(ctx context.Context) error {
	left := query(s, func(now time.Time, n *node) gossip.Entry {
		n.updateSelf(now, func(member *state.Member) { member.State = state.MemberLeft })
		entry, _ := n.engine.Get(gossip.TableMembers, n.members.Self().Name)
		return entry
	})
	others := len(s.Members()) // the local member has left and isn't among them
	if others == 0 {
		return nil
	}
	return s.PutReplicated(ctx, left, min(leaveAcknowledgements, others))
}
