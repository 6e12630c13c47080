package agent

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/errcode"
	"rowanlink/serving/introspect"
	"rowanlink/serving/loadreport"
	"rowanlink/serving/member"
	processpkg "rowanlink/serving/process"
	"rowanlink/serving/register"
	"rowanlink/serving/rpc"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

const (
	// headWait bounds the time for the head of a call.
	headWait = 3 * time.Second
	// innerIdle is longer than members keep connections, so that they end them.
	innerIdle = time.Minute
	// lookupIdle is longer than clients keep an answer of the directory.
	lookupIdle = 15 * time.Second
	// lookupHead bounds the head of a look-up, in bytes.
	lookupHead = 8 << 10
)

// Options of Run.
type Options struct {
	Settings     *settings.Process
	SettingsPath string // watched for changes
	Log          *zerolog.Logger
	PollLoads    bool // take part in the duty of reading the loads of the zone's endpoints
}

// Run is an agent's life. When the context ends it tells the other members that its proxy is leaving, waits for the
// proxy's end within the time that the settings grant, bids farewell and returns. Errors are of the kind
// result.AgentAddressInUse or come from joining the mesh.
func Run(ctx context.Context, options Options) error {
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	listeners, err := listenAll(ctx, options.Settings)
	if err != nil {
		return err
	}
	defer listeners.close()

	inner := http.NewServeMux()
	defer serve(listeners.inner, &http.Server{Handler: inner, IdleTimeout: innerIdle}).Close()
	client := rpc.NewClient()
	defer client.Close()
	joined, err := member.Start(life, member.Options{Settings: options.Settings, Self: self(options.Settings),
		Client: client, Mux: inner, Log: options.Log})
	if err != nil {
		return err
	}
	table := endpoints.NewTable(endpoints.Options{Self: options.Settings.NodeName,
		BeatInterval: options.Settings.BeatInterval})
	a := newAgent(options.Settings, options.Log, joined, table)
	go a.confirm(life, register.QueryOverRPC(client))
	introspect.Serve(inner, a.report)
	passing := &observations{observer: options.Settings.NodeName, client: client, members: joined.Members,
		receiver: a.receivers, calls: make(chan struct{}, observeCalls)}
	observed := func(seen []state.Observation) { passing.pass(life, seen) }
	defer serve(listeners.feed, &http.Server{Handler: a.feedHandler(observed)}).Close()
	if listeners.directory != nil {
		defer serve(listeners.directory, &http.Server{Handler: a.directory(), IdleTimeout: lookupIdle,
			MaxHeaderBytes: lookupHead}).Close()
	}
	if options.PollLoads {
		go loadreport.New(loadreport.Options{Zone: options.Settings.Zone, Mesh: joined, Endpoints: a.endpoints,
			Log: options.Log}).Run(ctx) // whoever ends leaves the duty to others at once
	}
	go settings.Watch(life, options.SettingsPath, settings.WatchInterval, func(process *settings.Process) {
		joined.SetSeeds(process.Seeds)
	})
	a.run(ctx)
	a.leave()
	a.board.Stop()
	return nil
}

// self is what the agent tells the mesh of its member at first.
func self(process *settings.Process) state.Member {
	return state.Member{Name: process.NodeName, Role: state.RoleAgent, Zone: process.Zone, Region: process.Region,
		Address: process.InnerAddress(), State: state.MemberStarting}
}

// listeners of an agent.
type listeners struct {
	inner     net.Listener
	feed      net.Listener
	directory net.Listener // nil where the settings name no address for it
}

func listenAll(ctx context.Context, process *settings.Process) (all listeners, err error) {
	for _, each := range []struct {
		into    *net.Listener
		address string
	}{
		{&all.inner, process.InnerAddress()},
		{&all.feed, process.FeedAddress()},
		{&all.directory, process.Bind.Directory},
	} {
		if each.address == "" {
			continue
		}
		if *each.into, err = processpkg.Listen(ctx, each.address); err != nil {
			all.close()
			return all, errcode.AgentAddressInUse.With("%s: %v", each.address, err)
		}
	}
	return all, nil
}

// close ends all listeners.
func (l listeners) close() {
	for _, each := range []net.Listener{l.inner, l.feed, l.directory} {
		if each != nil {
			_ = each.Close()
		}
	}
}

// serve runs a server until it is closed.
func serve(listener net.Listener, server *http.Server) *http.Server {
	server.ReadHeaderTimeout = headWait
	server.ErrorLog = stdlog.New(io.Discard, "", 0) // what clients do wrong isn't for the log
	go func() { _ = server.Serve(listener) }()
	return server
}

// feedHandler answers the proxy.
func (a *agent) feedHandler(observed func([]state.Observation)) http.Handler {
	mux := http.NewServeMux()
	server := &feedServer{board: a.board, now: time.Now, announce: a.announce, observed: observed}
	subscription.Watch.Serve(mux, server.watch)
	return mux
}
