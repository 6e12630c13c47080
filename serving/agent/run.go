package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/introspect"
	"rowanlink/serving/loadreport"
	"rowanlink/serving/member"
	"rowanlink/serving/metrics"
	"rowanlink/serving/process"
	"rowanlink/serving/register"
	"rowanlink/serving/rollout"
	"rowanlink/serving/rpc"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// Options configures Run.
type Options struct {
	Settings     *settings.Process
	SettingsPath string // watched for changes
	Log          *zerolog.Logger
	PollLoads    bool // whether the agent is a candidate for the singleton role that polls the loads of the zone's endpoints
}

// Run runs an agent until the context ends. It then announces that its proxy is leaving, waits until the proxy has exited
// or the grace period of the settings is nearly over, leaves the membership and returns. Errors are
// errcode.AgentAddressInUse or those of member.Start.
func Run(ctx context.Context, options Options) error {
	// runContext outlasts ctx: the shutdown, which begins when ctx ends, still makes and serves calls.
	runContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	listeners, err := listenOnAll(ctx, options.Settings)
	if err != nil {
		return err
	}
	defer listeners.close()

	internalMux := http.NewServeMux()
	internalServer := process.Serve(listeners.internal, process.NewInternalServer(internalMux))
	defer func() { _ = internalServer.Close() }()
	client := rpc.NewClient()
	defer client.Close()
	members, err := member.Start(runContext, member.Options{
		Settings: options.Settings,
		Self:     initialMember(options.Settings),
		Client:   client,
		Mux:      internalMux,
		Log:      options.Log,
	})
	if err != nil {
		return err
	}
	a := newAgent(options.Settings, options.Log, members, newEndpointTable(options.Settings))
	members.SetApplier(a.awaitApplied)
	go a.confirmRecord(runContext, register.QueryOverRPC(client))
	go a.newRolloutReporter(client).run(runContext)
	rollout.SupportMethod.Serve(internalMux, a.supportsRollouts)
	introspect.Serve(internalMux, a.report)
	internalMux.Handle(metrics.Path, metrics.Handler(introspect.MetricsWriter(a.report)))

	forwarder := a.newObservationForwarder(client)
	forward := func(observations []state.Observation) { forwarder.forward(runContext, observations) }
	closeServers := a.serveProxyAndClients(listeners, forward)
	defer closeServers()
	if options.PollLoads {
		// The poller ends with ctx, so that another agent takes over the role as soon as the shutdown begins.
		go newLoadPoller(a, members).Run(ctx)
	}
	go settings.Watch(runContext, options.SettingsPath, settings.WatchInterval, func(changed *settings.Process) {
		members.SetSeeds(changed.Seeds)
	})
	a.run(ctx)
	a.announceLeave(runContext)
	a.stateActor.Stop()
	return nil
}

// serveProxyAndClients starts the server of the proxy's polls and, if there is a listener for it, that of the directory.
// The returned function closes both.
func (a *agent) serveProxyAndClients(listeners listeners, forward func([]state.Observation)) (closeServers func()) {
	pollServer := process.Serve(listeners.subscription, &http.Server{Handler: a.subscriptionHandler(forward)})
	if listeners.directory == nil {
		return func() { _ = pollServer.Close() }
	}
	directoryServer := process.Serve(listeners.directory, &http.Server{
		Handler:        a.lookupHandler(),
		IdleTimeout:    lookupIdleTimeout,
		MaxHeaderBytes: maxLookupHeaderBytes,
	})
	return func() {
		_ = directoryServer.Close()
		_ = pollServer.Close()
	}
}

// newLoadPoller returns a poller that polls the loads of the zone's endpoints while this agent holds the singleton role for
// that.
func newLoadPoller(a *agent, members *member.Service) *loadreport.Poller {
	return loadreport.New(loadreport.Options{
		Zone:      a.settings.Zone,
		Gossip:    members,
		Endpoints: a.knownEndpoints,
		Log:       a.log,
	})
}

func newEndpointTable(processSettings *settings.Process) *endpoints.Table {
	return endpoints.NewTable(endpoints.Options{
		Self:              processSettings.NodeName,
		HeartbeatInterval: processSettings.HeartbeatInterval,
	})
}

func (a *agent) newObservationForwarder(client *rpc.Client) *observationForwarder {
	return &observationForwarder{
		observer:    a.settings.NodeName,
		client:      client,
		members:     a.members.Members,
		receiversOf: a.receivers,
		callSlots:   make(chan struct{}, maxForwardCalls),
	}
}

// initialMember returns the member entry that the agent joins with, which applies until its proxy polls for the first time.
func initialMember(processSettings *settings.Process) state.Member {
	return state.Member{
		Name:    processSettings.NodeName,
		Role:    state.RoleAgent,
		Zone:    processSettings.Zone,
		Region:  processSettings.Region,
		Address: processSettings.InternalAddress(),
		State:   state.MemberStarting,
	}
}

// subscriptionHandler returns the HTTP handler of the proxy's polls.
func (a *agent) subscriptionHandler(forwardObservations func([]state.Observation)) http.Handler {
	mux := http.NewServeMux()
	server := &subscriptionServer{
		stateActor:          a.stateActor,
		now:                 time.Now,
		announceProxy:       a.announceProxy,
		forwardObservations: forwardObservations,
	}
	subscription.WatchMethod.Serve(mux, server.watch)
	return mux
}
