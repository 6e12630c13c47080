// Package dispatcher creates and connects the parts of a dispatcher process and runs them from start to exit.
package dispatcher

import (
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/tidwall/gjson"

	"rowanlink/webhook/api"
	"rowanlink/webhook/config"
	"rowanlink/webhook/dispatcher/callback"
	"rowanlink/webhook/dispatcher/discovery"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/lifecycle"
	"rowanlink/webhook/dispatcher/server"
	"rowanlink/webhook/dispatcher/upstream"
	"rowanlink/webhook/dispatcher/wal"
	"rowanlink/webhook/policy"
	"rowanlink/webhook/refresh"
)

// Environment variables. The first two are the platform's.
const (
	configVariable = "LB_CONFIG" // path of the configuration file
	stateVariable  = "LB_STATE"  // folder that survives the process
	logVariable    = "ROWANLINK_LOG"
)

// Limits where the configuration gives none.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultDiskMB   = 3
)

// Fractions of the limits. heapShare and listShare are parts of the memory, for the Go heap and for one endpoint list
// before it is parsed. The others are parts of the file descriptors, for clients' connections, for the idle ones among
// them, and for connections to endpoints. Well-behaved clients use at most a
// third of the descriptors, which is less than clientShare, and leave half of that third idle, which is
// idleClientShare.
const (
	heapShare       = 0.6
	listShare       = 1.0 / 8
	clientShare     = 0.5
	idleClientShare = 1.0 / 6
	upstreamShare   = 0.4

	bytesPerMB = 1e6
)

// closeTimeout bounds how long the shutdown waits for clients' connections to be closed.
const closeTimeout = time.Second / 5

// Dispatcher gives an Extension access to the parts of a dispatcher.
type Dispatcher struct {
	Configuration gjson.Result // the configuration file
	StateDir      string       // the folder that survives the process
	Settings      api.Settings
	Catalog       config.Catalog
	Lifecycle     *lifecycle.Lifecycle
	Inbox         *inflight.Inbox
	Loop          *eventloop.Loop
	Upstream      *upstream.Client
	Server        *server.Server
}

// Extension adds cluster membership to a dispatcher in the same process. Begin, Start, Drain and
// Stop are called in this order. UpdateSettings and WriteMetrics may be called at any time after Begin: UpdateSettings
// once per reloaded configuration, after the dispatcher itself has applied it.
type Extension interface {
	Begin(*Dispatcher) error // all parts are connected, but no webhook is accepted and the event loop doesn't run yet
	Start()                  // everything runs, but clients are not let in yet
	UpdateSettings(api.Settings)
	Drain() // shutdown begins, before the dispatcher drains; may take as long as it needs
	Stop()  // nothing runs any more
	WriteMetrics(io.Writer)
}

// Run runs a dispatcher until SIGTERM or SIGINT. The extension may be nil.
func Run(extension Extension) error {
	if os.Getenv(logVariable) == "debug" { // traces each webhook
		slog.SetLogLoggerLevel(slog.LevelDebug)
		log.SetFlags(log.LstdFlags | log.Lmicroseconds)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before anything else: an unhandled SIGHUP would end the process
	path := os.Getenv(configVariable)
	c, err := loadConfiguration(path)
	if err != nil {
		return err
	}
	p, err := newProcess(c, extension)
	if err != nil {
		return err
	}
	p.start()
	go reloadOnSignal(hangups, path, c, p.updateSettings)
	if err := p.waitForEnd(); err != nil {
		return err
	}
	return p.shutdown()
}

// process holds the connected parts of a dispatcher.
type process struct {
	extension Extension
	lifecycle *lifecycle.Lifecycle
	inbox     *inflight.Inbox
	log       *wal.Log
	loop      *eventloop.Loop
	upstream  *upstream.Client
	callbacks *callback.Sender
	discovery *discovery.Client
	server    *server.Server
	listener  net.Listener

	loopDone chan struct{} // closed after the last turn
	served   chan error    // receives the error with which the server ended
}

// newProcess creates and connects the parts of a dispatcher, and recovers the webhooks and callbacks that an earlier
// incarnation left in the write-ahead log. Nothing runs before start.
func newProcess(c configuration, extension Extension) (*process, error) {
	memory := c.limit("memory_mb", defaultMemoryMB) * bytesPerMB
	debug.SetMemoryLimit(int64(heapShare * memory))
	sockets := c.limit("sockets", defaultSockets)
	p := &process{
		extension: extension,
		lifecycle: &lifecycle.Lifecycle{},
		inbox:     inflight.New(),
		loopDone:  make(chan struct{}),
		served:    make(chan error, 1),
	}
	p.lifecycle.Enter(lifecycle.Starting)
	var err error
	// Listening comes first: if another dispatcher already uses the address, this process ends before it touches the
	// state folder.
	p.listener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", c.document.Get("listen").String())
	if err != nil {
		return nil, err
	}
	stateDir := os.Getenv(stateVariable)
	if p.log, err = wal.Open(stateDir, c.limit("disk_mb", defaultDiskMB)); err != nil {
		return nil, err
	}
	p.loop = eventloop.New(p.inbox, p.lifecycle, p.log, c.settings)
	p.loop.SetEventTypes(c.catalog.EventTypes)
	p.upstream = upstream.New(&p.inbox.Counters, p.loop.CallFinished, c.settings.ConnectTimeout, c.idleTimeout,
		int(upstreamShare*sockets))
	p.server = server.New(p.inbox, p.lifecycle, c.settings, c.catalog, int(clientShare*sockets),
		int(idleClientShare*sockets))
	if extension != nil {
		if err := extension.Begin(p.dispatcher(c, stateDir)); err != nil {
			return nil, err
		}
	}
	p.callbacks = callback.New(c.discoveryAddress(), &p.inbox.Counters, p.loop.CallbacksDelivered)
	p.beginLoop(c, int(listShare*memory))
	return p, nil
}

func (p *process) dispatcher(c configuration, stateDir string) *Dispatcher {
	return &Dispatcher{
		Configuration: c.document,
		StateDir:      stateDir,
		Settings:      c.settings,
		Catalog:       c.catalog,
		Lifecycle:     p.lifecycle,
		Inbox:         p.inbox,
		Loop:          p.loop,
		Upstream:      p.upstream,
		Server:        p.server,
	}
}

// beginLoop loads the stored endpoint list and starts the policy, which a gate keeps from making calls until the
// discovery client is ready.
func (p *process) beginLoop(c configuration, maxList int) {
	gate := &refresh.StartupGate{}
	linePeriod := api.Micros(discovery.LinePeriod.Microseconds())
	p.discovery = discovery.New(discovery.Options{
		Address:     c.discoveryAddress(),
		Catalog:     c.catalog,
		Scheduler:   refresh.New(c.settings.Seed, linePeriod),
		MaxObject:   maxList,
		RetainNames: c.retainNames(),
		Update:      p.loop.UpdateEndpoints,
		Malformed:   func() { p.inbox.ListsMalformed.Add(1) },
		Ready:       func() { p.inbox.Post(gate.Open) },
	})
	if err := p.discovery.LoadStored(c.document.Get("known")); err != nil {
		slog.Warn("no stored endpoint list", "reason", err)
	}
	p.loop.Begin(p.upstream, p.callbacks, func(s api.Settings, h api.Host) api.Policy {
		gate.Policy = policy.New(s, h)
		return gate
	})
}

// start starts all parts; the clients' server comes last.
func (p *process) start() {
	p.lifecycle.Enter(lifecycle.Serving)
	go func() {
		p.loop.Run()
		close(p.loopDone)
	}()
	go p.callbacks.Run()
	go p.discovery.Run()
	if p.extension != nil {
		p.extension.Start()
	}
	go func() { p.served <- p.server.Serve(p.listener) }()
}

// updateSettings applies a reloaded configuration. The loop comes first: it must know a name before a webhook or an
// endpoint list uses it.
func (p *process) updateSettings(c configuration) {
	p.loop.UpdateSettings(c.settings, c.catalog.EventTypes, c.idleTimeout)
	p.server.UpdateSettings(c.settings, c.catalog)
	p.discovery.UpdateSettings(c.catalog, c.retainNames())
	p.discovery.SetAddress(c.discoveryAddress())
	p.callbacks.SetAddress(c.discoveryAddress())
	if p.extension != nil {
		p.extension.UpdateSettings(c.settings)
	}
}

// waitForEnd returns on SIGTERM or SIGINT, or with an error if the clients' server has ended by itself.
func (p *process) waitForEnd() error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
		return nil
	case err := <-p.served:
		return fmt.Errorf("the clients' server ended: %w", err)
	}
}

// shutdown drains the dispatcher and stops all parts.
func (p *process) shutdown() error {
	if p.extension != nil {
		p.extension.Drain()
	}
	p.lifecycle.Shutdown(p.loop.Empty, p.upstream.InFlight, p.server.ClientsGone)
	if err := p.server.Close(closeTimeout); err != nil {
		slog.Warn("some connections of clients were still open", "reason", err)
	}
	p.lifecycle.Enter(lifecycle.Stopped)
	<-p.loopDone
	p.upstream.Close()
	if p.extension != nil {
		p.extension.Stop()
	}
	p.inbox.Log()
	return p.log.Close()
}
