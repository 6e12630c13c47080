// Package core is the program of a machine with a disk: a replica of the register, the operator's API, the
// endpoints' heartbeats and the repair of the replica set.
package core

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/endpoints/exchange"
	"rowanlink/serving/errcode"
	"rowanlink/serving/event"
	"rowanlink/serving/introspect"
	"rowanlink/serving/member"
	"rowanlink/serving/operator"
	"rowanlink/serving/process"
	"rowanlink/serving/quorum"
	"rowanlink/serving/register"
	"rowanlink/serving/rpc"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
	"rowanlink/serving/store"
)

const (
	// headWait bounds the time for the head of a call.
	headWait = 3 * time.Second
	// innerIdle is longer than members keep connections, so that they end them.
	innerIdle = time.Minute
	// leaveTimeout bounds the farewell to other members.
	leaveTimeout = 250 * time.Millisecond
	// finishTimeout bounds the orders that are under way when the process is told to end.
	finishTimeout = 1500 * time.Millisecond
	// handOverTimeout bounds the hand-over of the vote, which begins at the same time.
	handOverTimeout = 2500 * time.Millisecond
)

// Options of Run.
type Options struct {
	Settings     *settings.Process
	SettingsPath string // watched for changes
	Log          *zerolog.Logger
}

// Run is the life of a core process. When the context ends it finishes the orders under way, bids the other members
// farewell and returns. Errors are of the kind errcode.CoreAddressInUse or come from joining.
func Run(ctx context.Context, options Options) error {
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	process := options.Settings
	innerListener, err := listen(ctx, process.InnerAddress())
	if err != nil {
		return err
	}
	controlListener, err := listen(ctx, process.Bind.Control)
	if err != nil {
		_ = innerListener.Close()
		return err
	}

	inner := http.NewServeMux()
	defer serve(innerListener, &http.Server{Handler: inner, ReadHeaderTimeout: headWait, IdleTimeout: innerIdle}).Close()
	client := rpc.NewClient()
	defer client.Close()
	joined, err := member.Start(life, member.Options{Settings: process, Self: self(process), Client: client, Mux: inner,
		Log: options.Log})
	if err != nil {
		_ = controlListener.Close()
		return err
	}
	storage := store.Open(process.StoreDir, options.Log)
	defer storage.Close()
	node, err := startRegister(life, options, joined, storage, client, inner)
	if err != nil {
		_ = controlListener.Close()
		return err
	}
	defer node.Close()
	touch := &quorum.Checker{Voters: node, Self: process.InnerAddress(), IsLive: joined.IsLiveAt}
	table := exchange.Start(life, exchange.Options{Gossip: joined, HeartbeatInterval: process.HeartbeatInterval,
		HasQuorum: touch.HasQuorum, Log: options.Log})
	table.Serve(inner)
	kept := store.OpenEndpointStore(process.StoreDir, options.Log)
	defer kept.Close()
	go keepEndpoints(life, options, node, table, kept)
	introspect.Serve(inner, (&reporter{mesh: joined, node: node, endpoints: table.Table()}).report)

	control := serve(controlListener, operator.NewServer(controlHandler(options, joined, node, table, touch)))
	defer control.Close()
	joined.SetState(state.MemberReady)
	go settings.Watch(life, options.SettingsPath, settings.WatchInterval, func(process *settings.Process) {
		joined.SetSeeds(process.Seeds)
	})
	(&keeper{mesh: joined, node: node, log: options.Log}).run(ctx)
	event.ProgramStopping.Log(options.Log).Send()
	end(joined, node, control)
	return nil
}

// startRegister joins the register to the mesh: what is committed here is spread, what others tell is learned.
func startRegister(ctx context.Context, options Options, joined *member.Service, storage register.Storage, client *rpc.Client,
	inner *http.ServeMux) (*register.Node, error) {
	records := &records{mesh: joined, log: options.Log}
	node, err := register.Start(ctx, register.NodeOptions{Settings: options.Settings, Storage: storage, Client: client,
		Mux: inner, Log: options.Log, Committed: records.spread,
		Peers: func() []register.Peer { return coreMachines(joined.Members()) }})
	if err != nil {
		return nil, err
	}
	detector := &failureDetector{members: joined, started: time.Now(), now: time.Now}
	node.SetFailureDetector(detector)
	records.subscribe(node)
	return node, nil
}

// keepEndpoints restores the endpoints that were kept on disk and then keeps that copy up to date.
func keepEndpoints(ctx context.Context, options Options, node *register.Node, table *exchange.Exchange,
	kept *store.EndpointStore) {
	restoring := &restorer{self: options.Settings.NodeName, store: kept, latest: node.Latest, table: table.Table(),
		put: table.Put, ask: newProber().confirm, log: options.Log}
	restoring.run(ctx)
	(&saver{table: table.Table(), store: kept, log: options.Log}).run(ctx)
}

// controlHandler answers operators and endpoints.
func controlHandler(options Options, joined *member.Service, node *register.Node, table *exchange.Exchange,
	touch *quorum.Checker) http.Handler {
	forwarder := &operator.Forwarder{Self: self(options.Settings), Regions: options.Settings.Regions,
		Members: joined.Members, Clock: time.Now}
	return operator.New(operator.Options{Register: operator.NewRegister(node), Endpoints: table.Table(), Replicator: table, Quorum: touch,
		Regions: options.Settings.Regions, ForwardTo: forwarder.ForwardTo, Log: options.Log})
}

// end finishes the orders under way, gives the vote to a learner and bids the other members farewell.
func end(joined *member.Service, node *register.Node, control *http.Server) {
	joined.SetState(state.MemberLeaving)
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		bounded, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		defer cancel()
		node.TransferVote(bounded)
	}()
	finishing, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	_ = control.Shutdown(finishing) // what is not finished by then ends unanswered, and is sent again elsewhere
	<-handedOver
	leaving, stop := context.WithTimeout(context.Background(), leaveTimeout)
	defer stop()
	_ = joined.Leave(leaving) // others miss the heartbeats otherwise
}

// self is what a core process tells the mesh of its member at first.
func self(process *settings.Process) state.Member {
	return state.Member{Name: process.NodeName, Role: state.RoleCore, Zone: process.Zone, Region: process.Region,
		Address: process.InnerAddress(), ControlAddress: process.Bind.Control, State: state.MemberStarting}
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := process.Listen(ctx, address)
	if err != nil {
		return nil, errcode.CoreAddressInUse.With("%s: %v", address, err)
	}
	return listener, nil
}

// serve runs a server until it is closed.
func serve(listener net.Listener, server *http.Server) *http.Server {
	server.ErrorLog = stdlog.New(io.Discard, "", 0) // what callers do wrong isn't for the log
	go func() { _ = server.Serve(listener) }()
	return server
}
