// Package core runs the core process of a machine with a disk. The process holds a replica of the register, serves the
// operators' API, receives the heartbeats of endpoints, carries out roll-outs, and repairs the register's voters.
package core

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/delivery"
	"rowanlink/serving/endpoints/exchange"
	"rowanlink/serving/event"
	"rowanlink/serving/introspect"
	"rowanlink/serving/member"
	"rowanlink/serving/metrics"
	"rowanlink/serving/operator"
	"rowanlink/serving/process"
	"rowanlink/serving/quorum"
	"rowanlink/serving/register"
	"rowanlink/serving/rpc"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
	"rowanlink/serving/store"
)

// Time limits of the shutdown. The requests in flight and the vote transfer are awaited concurrently.
const (
	requestTimeout      = 1500 * time.Millisecond
	voteTransferTimeout = 2500 * time.Millisecond
	leaveTimeout        = 250 * time.Millisecond
)

// Options configures Run.
type Options struct {
	Settings     *settings.Process
	SettingsPath string // watched for changes
	Log          *zerolog.Logger
}

// Run runs a core process until the context ends. It then finishes the requests in flight, transfers the vote, leaves
// the membership and returns. Errors are errcode.CoreAddressInUse, or those of joining the membership or starting the
// replica.
func Run(ctx context.Context, options Options) error {
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	listeners, err := listenAll(ctx, options.Settings)
	if err != nil {
		return err
	}
	c := &coreProcess{options: options}
	defer c.close()
	if err := c.start(lifetime, listeners); err != nil {
		_ = listeners.control.Close()
		return err
	}
	reconciler := &reconciler{members: c.members, node: c.node, log: options.Log}
	reconciler.run(ctx)
	event.ProgramStopping.Log(options.Log).Send()
	c.shutDown(lifetime)
	return nil
}

// coreProcess holds the running components of a core process.
type coreProcess struct {
	options   Options
	internal  *http.ServeMux // for calls between the system's processes
	client    *rpc.Client
	members   *member.Service
	node      *register.Node
	quorum    *quorum.Checker
	endpoints *exchange.Exchange
	rollouts  *rolloutController
	// introspector answers operators at the internal and at the control address.
	introspector *introspector
	control      *http.Server
	closers      []func() // close functions of the components, in the order of their start
}

// start starts all components. They run until close, or until the lifetime ends.
func (c *coreProcess) start(lifetime context.Context, listeners listeners) error {
	c.serveInternal(listeners.internal)
	c.client = rpc.NewClient()
	c.onClose(c.client.Close)
	if err := c.startMember(lifetime); err != nil {
		return err
	}
	if err := c.startRegister(lifetime); err != nil {
		return err
	}
	c.startEndpoints(lifetime)
	applied := &appliedRegister{
		ReplicatedRegister: c.node,
		agents:             delivery.NewAgentNotifier(c.members),
		log:                c.options.Log,
	}
	c.startRollouts(lifetime, applied)
	c.introspector = &introspector{members: c.members, node: c.node, endpoints: c.endpoints.Table()}
	introspect.Serve(c.internal, c.introspector.report)
	c.internal.Handle(metrics.Path, metrics.Handler(introspect.MetricsWriter(c.introspector.report)))
	c.control = process.Serve(listeners.control, operator.NewServer(c.controlHandler(applied)))
	c.onClose(func() { _ = c.control.Close() }) // an error would only concern connections that end anyway
	c.members.SetState(state.MemberReady)
	go settings.Watch(lifetime, c.options.SettingsPath, settings.WatchInterval, func(process *settings.Process) {
		c.members.SetSeeds(process.Seeds)
	})
	return nil
}

// onClose adds a function that close calls. The functions are called in reverse order.
func (c *coreProcess) onClose(closer func()) { c.closers = append(c.closers, closer) }

func (c *coreProcess) close() {
	for i := len(c.closers) - 1; i >= 0; i-- {
		c.closers[i]()
	}
}

// serveInternal serves the calls between the system's processes. Handlers are added while it runs.
func (c *coreProcess) serveInternal(listener net.Listener) {
	c.internal = http.NewServeMux()
	server := process.Serve(listener, process.NewInternalServer(c.internal))
	c.onClose(func() { _ = server.Close() }) // an error would only concern connections that end anyway
}

// startMember joins the membership.
func (c *coreProcess) startMember(lifetime context.Context) (err error) {
	c.members, err = member.Start(lifetime, member.Options{
		Settings: c.options.Settings,
		Self:     initialSelf(c.options.Settings),
		Client:   c.client,
		Mux:      c.internal,
		Log:      c.options.Log,
	})
	return err
}

// startRegister starts the replica, exchanges committed records with the other members by gossip, and lets the
// membership tell the replica which others are down.
func (c *coreProcess) startRegister(lifetime context.Context) error {
	storage := store.Open(c.options.Settings.StoreDir, c.options.Log)
	c.onClose(storage.Close)
	replicator := &recordReplicator{gossip: c.members, log: c.options.Log}
	node, err := register.Start(lifetime, register.NodeOptions{
		Settings:  c.options.Settings,
		Storage:   storage,
		Client:    c.client,
		Mux:       c.internal,
		Log:       c.options.Log,
		Committed: replicator.publish,
		Peers:     func() []register.Peer { return corePeers(c.members.Members()) },
	})
	if err != nil {
		return err
	}
	c.node = node
	c.onClose(node.Close)
	node.SetFailureDetector(&failureDetector{members: c.members, started: time.Now(), now: time.Now})
	replicator.subscribe(node)
	return nil
}

// controlHandler returns the handler of calls of operators and endpoints.
func (c *coreProcess) controlHandler(applied *appliedRegister) http.Handler {
	process := c.options.Settings
	forwarder := &operator.Forwarder{
		Self:    initialSelf(process),
		Regions: process.Regions,
		Members: c.members.Members,
		Clock:   time.Now,
	}
	mux := http.NewServeMux()
	introspect.Serve(mux, c.introspector.report) // so that operators need no address but the control address
	mux.Handle("/", operator.New(operator.Options{
		Register:   operator.NewRegister(applied),
		Endpoints:  c.endpoints.Table(),
		Replicator: c.endpoints,
		Quorum:     c.quorum,
		Regions:    process.Regions,
		ForwardTo:  forwarder.ForwardTo,
		Log:        c.options.Log,

		IsRecentRollout: c.rollouts.isRecent,
		CheckRollouts:   c.checkReleases,
	}))
	return mux
}

// shutDown finishes the requests in flight, transfers the vote to a learner, and leaves the membership.
func (c *coreProcess) shutDown(ctx context.Context) {
	c.members.SetState(state.MemberLeaving)
	transferred := make(chan struct{})
	go func() {
		defer close(transferred)
		ctx, cancel := context.WithTimeout(ctx, voteTransferTimeout)
		defer cancel()
		c.node.TransferVote(ctx)
	}()
	requestContext, cancelRequests := context.WithTimeout(ctx, requestTimeout)
	defer cancelRequests()
	_ = c.control.Shutdown(requestContext) // callers of unfinished requests get no answer and retry at another core member
	<-transferred
	leaveContext, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	_ = c.members.Leave(leaveContext) // if it fails, the others detect by missing heartbeats that this member is down
}

// initialSelf returns the description of this member with which it joins the membership.
func initialSelf(process *settings.Process) state.Member {
	return state.Member{
		Name:           process.NodeName,
		Role:           state.RoleCore,
		Zone:           process.Zone,
		Region:         process.Region,
		Address:        process.InternalAddress(),
		ControlAddress: process.Bind.Control,
		State:          state.MemberStarting,
	}
}

// corePeers returns the core members: only they may hold replicas of the register.
func corePeers(members []state.Member) (peers []register.Peer) {
	for _, member := range members {
		if member.Role == state.RoleCore {
			peers = append(peers, register.Peer{Address: member.Address, Zone: member.Zone})
		}
	}
	return peers
}
