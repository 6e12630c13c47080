// Package proxy is the process that carries clients' requests: it learns from the agent beside it what the system
// is, places and sends requests by that, and goes on with what it last knew when the agent is gone.
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
	reservedFiles = 200 // descriptors kept for files
	clientShare   = 0.6 // of the others, for clients' connections
	endpointShare = 0.35
	bodyShare     = 0.25 // of memory, for large bodies
	megabyte      = 1 << 20
	sweepInterval = 2 * time.Second
	// settingsInterval is the time between two looks at the settings file without SIGHUP.
	settingsInterval = 10 * time.Second
	leastFileLimit   = 256 // where the settings state less, or nothing
)

// proxy is the running process.
type proxy struct {
	settings *settings.Process
	log      *zerolog.Logger
	picker   *placement.Picker
	retry    *retry.Policy
	pool     *upstream.Pool
	server   *httpserver.Server
	watcher  *watcher

	view       *systemView // belongs to the watcher's goroutine
	table      atomic.Pointer[routing.Table]
	ready      atomic.Bool
	drainGrace atomic.Int64 // the platform's patience after SIGTERM, a time.Duration
	proxyCount atomic.Int64 // the most that may run
}

// Run serves until the context ends, then ends by plan: it returns when all answers are done, or shortly before the
// platform would kill the process.
//
// The settings file, where a path is given, is watched: bounds that change in it are in use from then on, and nothing
// is cut.
func Run(ctx context.Context, process *settings.Process, path string, log *zerolog.Logger) error {
	if process.Bind.Front == "" {
		return errors.New("the settings name no address for clients")
	}
	runtime.GOMAXPROCS(max(int(math.Ceil(process.Limits.CPUCores)), 1))
	p := newProxy(process, log)
	if err := p.listen(ctx); err != nil {
		return err
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p.server.Start()
	go p.watcher.run(running)
	go p.sweepConnections(running)
	if path != "" {
		go settings.Watch(running, path, settingsInterval, p.applySettings)
	}
	go p.monitorEndpoints(running)
	<-ctx.Done()
	p.watcher.announceLeaving()
	p.server.Drain(running, time.Duration(p.drainGrace.Load()))
	stop()
	p.server.Close()
	p.pool.Close()
	return nil
}

// newProxy makes all parts that need no address.
func newProxy(process *settings.Process, log *zerolog.Logger) *proxy {
	now := time.Now()
	bounds := process.Bounds
	client := rpc.NewClient()
	p := &proxy{settings: process, log: log, view: newSystemView()}
	p.picker = placement.New(placement.Options{
		Name: process.NodeName, Zone: process.Zone, Region: process.Region, Regions: process.Regions,
		Bounds: bounds, Seed: rand.Uint64(), StartedAt: now,
	})
	p.retry = retry.New(now, retryLimits(bounds), rand.Uint64())
	p.drainGrace.Store(int64(bounds.Grace))
	p.pool = upstream.New(upstream.Options{MaxOpen: fileShare(process, endpointShare)})
	p.watcher = &watcher{
		client: client, address: process.FeedAddress(), front: process.Bind.Front, log: log,
		apply: p.applyResponse, takeObservations: p.picker.TakeObservations,
	}
	return p
}

// applySettings takes in what may change of the settings while the process runs. All else waits for its next start.
func (p *proxy) applySettings(process *settings.Process) {
	p.retry.SetLimits(retryLimits(process.Bounds))
	p.picker.SetBounds(process.Bounds)
	p.drainGrace.Store(int64(process.Bounds.Grace))
}

func retryLimits(bounds settings.Bounds) retry.Limits {
	return retry.Limits{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow}
}

// fileShare is a share of the descriptors that the process may have.
func fileShare(process *settings.Process, share float64) int {
	return int(share * float64(max(process.Limits.FileLimit, leastFileLimit)-reservedFiles))
}

// listen opens the addresses for clients and for the platform.
func (p *proxy) listen(ctx context.Context) error {
	clients, err := process.Listen(ctx, p.settings.Bind.Front)
	if err != nil {
		return errors.Wrap(err, "listen to clients")
	}
	options := httpserver.Options{
		ClientListener: clients, RoutingTable: p.table.Load, Ready: p.ready.Load, ConnectionShare: p.connectionShare,
		Picker: p.picker, RetryPolicy: p.retry, Pool: p.pool, Log: p.log,
		MaxConnections: fileShare(p.settings, clientShare),
		MaxBodyMemory:  int64(bodyShare * float64(p.settings.Limits.MemoryMB) * megabyte),
	}
	if p.settings.Bind.Ready != "" {
		options.ReadinessListener, err = process.Listen(ctx, p.settings.Bind.Ready)
		if err != nil {
			return errors.Wrap(err, "listen to readiness checks")
		}
	}
	p.server = httpserver.New(options)
	return nil
}

// applyResponse applies an answer of the agent. It returns the cursor for the next poll and what to tell of this process.
func (p *proxy) applyResponse(response *subscription.Response) (subscription.Cursor, state.MemberState) {
	before := p.view.table
	if err := p.view.apply(response); err != nil {
		event.ConfigurationInvalid.Log(p.log).Err(err).Send()
	}
	p.proxyCount.Store(int64(max(p.view.proxies.MaxRunning, p.view.proxies.Live)))
	p.retry.SetProxies(p.view.proxies.MaxRunning)
	p.picker.Update(time.Now(), p.view.snapshot(response.Loads))
	if after := p.view.table; after != before {
		p.table.Store(after)
		event.ConfigurationActivated.Log(p.log).Uint64("version", after.Version).Send()
	}
	if !p.ready.Load() && !p.view.canServe() {
		return p.view.cursor, state.MemberStarting
	}
	if p.ready.CompareAndSwap(false, true) { // and it stays: losing endpoints is no reason to lose clients too
		event.ProxyReady.Log(p.log).Uint64("version", p.view.table.Version).Send()
	}
	return p.view.cursor, state.MemberReady
}

// connectionShare is how many connections this process may have to one endpoint of a service.
func (p *proxy) connectionShare(service *routing.Service) int {
	return placement.ConnectionShare(service, int(p.proxyCount.Load()))
}

// sweepConnections closes connections that rest too long.
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
