// Package proxy runs a proxy, which is the data plane process. A proxy gets the state of the cluster from the agent on
// the same machine and serves clients' requests accordingly (packages httpserver, placement, retry and upstream). If
// the agent is unreachable, the proxy continues with the last known state.
package proxy

import (
	"context"
	"math"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rowanlink/serving/event"
	"rowanlink/serving/httpserver"
	"rowanlink/serving/placement"
	"rowanlink/serving/process"
	"rowanlink/serving/retry"
	"rowanlink/serving/routing"
	"rowanlink/serving/rpc"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
	"rowanlink/serving/upstream"
)

// Shares of the process's limits on file descriptors and memory, and intervals of background work.
const (
	reservedFiles = 200  // file descriptors reserved for other files
	clientShare   = 0.6  // of the remaining descriptors, for clients' connections
	endpointShare = 0.35 // of the remaining descriptors, for connections to endpoints
	bodyShare     = 0.25 // of the memory limit, for large bodies
	megabyte      = 1 << 20
	sweepInterval = 2 * time.Second // between two sweeps of the connection pool
	// settingsInterval is the time between two checks of the settings file if there is no SIGHUP.
	settingsInterval = 10 * time.Second
	minFileLimit     = 256 // limit on file descriptors that is assumed if the settings state a lower one or none
)

// proxy is the running process.
type proxy struct {
	settings *settings.Process
	log      *zerolog.Logger
	picker   *placement.Picker
	retry    *retry.Policy
	pool     *upstream.Pool
	server   *httpserver.Server
	agent    *agentPoller

	view       *systemView // used by the agent poller's goroutine only
	table      atomic.Pointer[routing.Table]
	ready      atomic.Bool  // the process has had all the state that it needs to serve; never reset
	drainGrace atomic.Int64 // a time.Duration: from SIGTERM until the platform kills the process
	proxyCount atomic.Int64 // largest number of proxies that may run at the same time
}

// Run serves until the context ends, then shuts down gracefully. It returns when all requests have ended, or shortly
// before the platform would kill the process.
//
// If path is not empty, it names the settings file, which Run watches. Limits that change in the file apply from then
// on, without an interruption of requests.
func Run(ctx context.Context, processSettings *settings.Process, path string, log *zerolog.Logger) error {
	if processSettings.Bind.Front == "" {
		return errors.New("bind.front_door is not set: there is no address for clients' requests")
	}
	runtime.GOMAXPROCS(max(int(math.Ceil(processSettings.Limits.CPUCores)), 1))

	p := newProxy(processSettings, log)
	if err := p.listen(ctx); err != nil {
		return err
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p.server.Start()
	go p.agent.run(running)
	go p.sweepConnections(running)
	if path != "" {
		go settings.Watch(running, path, settingsInterval, p.applySettings)
	}
	go p.monitorEndpoints(running)
	<-ctx.Done()
	p.agent.announceLeaving()
	p.server.Drain(running, time.Duration(p.drainGrace.Load()))
	stop()
	p.server.Close()
	p.pool.Close()
	return nil
}

// newProxy creates the proxy's parts, except for the server, which listen creates.
func newProxy(processSettings *settings.Process, log *zerolog.Logger) *proxy {
	now := time.Now()
	bounds := processSettings.Bounds
	client := rpc.NewClient()
	p := &proxy{settings: processSettings, log: log, view: newSystemView()}
	p.picker = placement.New(placement.Options{
		Name:      processSettings.NodeName,
		Zone:      processSettings.Zone,
		Region:    processSettings.Region,
		Regions:   processSettings.Regions,
		Bounds:    bounds,
		Seed:      rand.Uint64(),
		StartedAt: now,
	})
	p.retry = retry.New(now, retryLimits(bounds), rand.Uint64())
	p.drainGrace.Store(int64(bounds.Grace))
	p.pool = upstream.New(upstream.Options{MaxConnections: fileShare(processSettings, endpointShare)})
	p.agent = &agentPoller{
		client:           client,
		address:          processSettings.SubscriptionAddress(),
		clientAddress:    processSettings.Bind.Front,
		log:              log,
		apply:            p.applyResponse,
		takeObservations: p.picker.TakeObservations,
		rolloutReports:   p.picker.RolloutReports,
	}
	return p
}

// applySettings applies the settings that may change while the process runs. Changes of all other settings need a
// restart.
func (p *proxy) applySettings(processSettings *settings.Process) {
	p.retry.SetLimits(retryLimits(processSettings.Bounds))
	p.picker.SetBounds(processSettings.Bounds)
	p.drainGrace.Store(int64(processSettings.Bounds.Grace))
}

// retryLimits returns the limits of the retry policy that the settings contain.
func retryLimits(bounds settings.Bounds) retry.Limits {
	return retry.Limits{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow}
}

// fileShare returns a share of the file descriptors that remain beyond reservedFiles.
func fileShare(processSettings *settings.Process, share float64) int {
	return int(share * float64(max(processSettings.Limits.FileLimit, minFileLimit)-reservedFiles))
}

// listen opens the listeners for clients and for readiness checks, and creates the server that uses them.
func (p *proxy) listen(ctx context.Context) error {
	clients, err := process.Listen(ctx, p.settings.Bind.Front)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	options := httpserver.Options{
		ClientListener:  clients,
		RoutingTable:    p.table.Load,
		Ready:           p.ready.Load,
		ConnectionShare: p.connectionShare,
		Picker:          p.picker,
		RetryPolicy:     p.retry,
		Pool:            p.pool,
		Log:             p.log,
		MaxConnections:  fileShare(p.settings, clientShare),
		MaxBodyMemory:   int64(bodyShare * float64(p.settings.Limits.MemoryMB) * megabyte),
	}
	if p.settings.Bind.Ready != "" {
		options.ReadinessListener, err = process.Listen(ctx, p.settings.Bind.Ready)
		if err != nil {
			return errors.Wrap(err, "listen for readiness checks")
		}
	}
	p.server = httpserver.New(options)
	return nil
}

// applyResponse applies a response of the agent. It returns the cursor for the next poll and the state that is to be
// reported to the agent.
func (p *proxy) applyResponse(response *subscription.Response) (subscription.Cursor, state.MemberState) {
	before := p.view.table
	unused := p.view.endpointsBecomingUnused(response)
	if err := p.view.apply(response); err != nil {
		event.ConfigurationInvalid.Log(p.log).Err(err).Send()
	}
	p.proxyCount.Store(int64(max(p.view.proxies.MaxRunning, p.view.proxies.Live)))
	p.retry.SetProxies(p.view.proxies.MaxRunning)
	p.picker.Update(time.Now(), p.view.snapshot(response.Loads, response.RolloutLeases))
	for _, id := range unused {
		event.EndpointUnused.Log(p.log).Str("endpoint", id).Send()
	}
	if after := p.view.table; after != before {
		p.table.Store(after)
		event.ConfigurationActivated.Log(p.log).Uint64("version", after.Version).Send()
	}
	if !p.ready.Load() && !p.view.canServe() {
		return p.view.cursor, state.MemberStarting
	}
	// Once ready, the proxy stays ready, even if it loses all endpoints: that is no reason to turn clients away too.
	if p.ready.CompareAndSwap(false, true) {
		event.ProxyReady.Log(p.log).Uint64("version", p.view.table.Version).Send()
	}
	return p.view.cursor, state.MemberReady
}

// connectionShare returns how many connections this process may have to one endpoint of a service, since all proxies
// share the endpoint's limit.
func (p *proxy) connectionShare(service *routing.Service) int {
	return placement.ConnectionShare(service, int(p.proxyCount.Load()))
}

// sweepConnections periodically closes connections to endpoints that have been idle for too long, until the context
// ends.
func (p *proxy) sweepConnections(ctx context.Context) {
	ticks := time.NewTicker(sweepInterval)
	defer ticks.Stop()
	for {
		select {
		case now := <-ticks.C:
			p.pool.Sweep(now)
		case <-ctx.Done():
			return
		}
	}
}
