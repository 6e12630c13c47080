// Package proxy runs the data plane process: it gets the state of the cluster from the agent on the same machine,
// serves clients' requests by it (packages httpserver, placement, retry and upstream), and continues with the last
// known state if the agent is unreachable.
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

// Shares of the machine's limits.
const (
	reservedFiles = 200  // descriptors reserved for other files
	clientShare   = 0.6  // of the remaining descriptors, for clients' connections
	endpointShare = 0.35 // of the remaining descriptors, for connections to endpoints
	bodyShare     = 0.25 // of memory, for large bodies
	megabyte      = 1 << 20
	sweepInterval = 2 * time.Second
	// settingsInterval is the time between two checks of the settings file without SIGHUP.
	settingsInterval = 10 * time.Second
	minFileLimit     = 256 // if the settings state less or nothing
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
	ready      atomic.Bool  // the process has known enough to serve
	drainGrace atomic.Int64 // a time.Duration: the platform kills the process so long after SIGTERM
	proxyCount atomic.Int64 // the largest number of proxies that may run
}

// Run serves until the context ends, then shuts down gracefully. It returns when all requests have ended, or shortly
// before the platform would kill the process.
//
// If path names a settings file, the file is watched: changed limits apply from then on, without interrupting
// anything.
func Run(ctx context.Context, processSettings *settings.Process, path string, log *zerolog.Logger) error {
	if processSettings.Bind.Front == "" {
		return errors.New("the settings name no address for clients")
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

// newProxy makes all parts that don't listen.
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
	p.pool = upstream.New(upstream.Options{MaxOpen: fileShare(processSettings, endpointShare)})
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

// applySettings applies the settings that may change while the process runs. All others need a restart.
func (p *proxy) applySettings(processSettings *settings.Process) {
	p.retry.SetLimits(retryLimits(processSettings.Bounds))
	p.picker.SetBounds(processSettings.Bounds)
	p.drainGrace.Store(int64(processSettings.Bounds.Grace))
}

func retryLimits(bounds settings.Bounds) retry.Limits {
	return retry.Limits{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow}
}

// fileShare returns a share of the file descriptors that the process may open.
func fileShare(processSettings *settings.Process, share float64) int {
	return int(share * float64(max(processSettings.Limits.FileLimit, minFileLimit)-reservedFiles))
}

// listen opens the listeners for clients and for readiness checks.
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

// applyResponse applies a response of the agent. It returns the cursor for the next poll and the state to report.
func (p *proxy) applyResponse(response *subscription.Response) (subscription.Cursor, state.MemberState) {
	before := p.view.table
	stopped := p.view.endpointsToStop(response)
	if err := p.view.apply(response); err != nil {
		event.ConfigurationInvalid.Log(p.log).Err(err).Send()
	}
	p.proxyCount.Store(int64(max(p.view.proxies.MaxRunning, p.view.proxies.Live)))
	p.retry.SetProxies(p.view.proxies.MaxRunning)
	p.picker.Update(time.Now(), p.view.snapshot(response.Loads, response.RolloutLeases))
	for _, id := range stopped {
		event.EndpointUnused.Log(p.log).Str("endpoint", id).Send()
	}
	if after := p.view.table; after != before {
		p.table.Store(after)
		event.ConfigurationActivated.Log(p.log).Uint64("version", after.Version).Send()
	}
	if !p.ready.Load() && !p.view.canServe() {
		return p.view.cursor, state.MemberStarting
	}
	if p.ready.CompareAndSwap(false, true) { // it stays ready: to lose endpoints is no reason to lose clients too
		event.ProxyReady.Log(p.log).Uint64("version", p.view.table.Version).Send()
	}
	return p.view.cursor, state.MemberReady
}

// connectionShare returns how many connections this process may have to one endpoint of a service.
func (p *proxy) connectionShare(service *routing.Service) int {
	return placement.ConnectionShare(service, int(p.proxyCount.Load()))
}

// sweepConnections closes connections that have been idle too long, until the context ends.
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
