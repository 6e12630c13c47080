// Package dispatcher wires one real dispatcher and goes through its phases.
package dispatcher

import (
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
	serverpkg "rowanlink/webhook/dispatcher/server"
	"rowanlink/webhook/dispatcher/upstream"
	"rowanlink/webhook/dispatcher/wal"
	"rowanlink/webhook/policy"
	"rowanlink/webhook/refresh"
)

// Parts of the limits: of the memory, for the heap and for one list as it comes; of the descriptors, for
// clients, of which the usual ones open a third at most, for half of that third idle, and for connections to
// endpoints.
const (
	heapPart   = 0.6
	listPart   = 1.0 / 8
	clientPart = 0.5
	idlePart   = 1.0 / 6
	connPart   = 0.4
)

// Dispatcher is one, wired, as what stands beside it sees it.
type Dispatcher struct {
	Configuration gjson.Result // the configuration
	StateDir      string       // the folder that outlasts the process
	Settings      api.Settings
	Catalog       config.Catalog
	Lifecycle     *lifecycle.Lifecycle
	Inbox         *inflight.Inbox
	Loop          *eventloop.Loop
	Upstream      *upstream.Client
	Server        *serverpkg.Server
}

// Extension is what a fleet adds to a dispatcher in the same process. It is called in this order, Renew any
// number of times, each time after the dispatcher itself took its configuration anew.
type Extension interface {
	Begin(*Dispatcher) error // wired, and nothing runs yet: no webhook, no turn
	Start()                  // all runs, but clients are not let in yet
	UpdateSettings(api.Settings)
	Drain() // told to end: before the dispatcher leaves; may take as long as it needs a turn to leave
	Stop()  // nothing runs any more
	WriteMetrics(io.Writer)
}

// Run is one dispatcher's life; beside may be nil.
func Run(beside Extension) error {
	if os.Getenv("ROWANLINK_LOG") == "debug" { // each webhook's course
		slog.SetLogLoggerLevel(slog.LevelDebug)
		log.SetFlags(log.LstdFlags | log.Lmicroseconds)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // from the first: uncaught, it would end the process
	told, err := configuration(os.Getenv("LB_CONFIG"))
	if err != nil {
		return err
	}
	t, err := settings(told)
	if err != nil {
		return err
	}
	memory := t.limit("memory_mb", 192) * 1e6
	debug.SetMemoryLimit(int64(heapPart * memory))
	sockets := t.limit("sockets", 1024)

	life, x := &lifecycle.Lifecycle{}, inflight.New()
	life.Enter(lifecycle.Starting)
	// First: guards the folder against a second start beside a dispatcher that runs, which ends here.
	on, err := net.Listen("tcp", told.Get("listen").String())
	if err != nil {
		return err
	}
	state := os.Getenv("LB_STATE")
	kept, err := wal.Open(state, t.limit("disk_mb", 3))
	if err != nil {
		return err
	}
	d := eventloop.New(x, life, kept, t.facts)
	d.SetEventTypes(t.names.EventTypes)
	calls := upstream.New(&x.Counters, d.CallFinished, t.facts.ConnectTimeout, t.idleLimit, int(connPart*sockets))
	server := serverpkg.New(x, life, t.facts, t.names, int(clientPart*sockets), int(idlePart*sockets))
	if beside != nil {
		if err := beside.Begin(&Dispatcher{told, state, t.facts, t.names, life, x, d, calls, server}); err != nil {
			return err
		}
	}
	finals := callback.New(told.Get("discovery").String(), &x.Counters, d.CallbacksDelivered)
	held := &refresh.StartupGate{}
	list := discovery.New(told.Get("discovery").String(), t.names,
		refresh.New(t.facts.Seed, api.Micros(discovery.LinePeriod.Microseconds())), int(listPart*memory),
		t.keepNames(), d.UpdateEndpoints, func() { x.ListsBroken.Add(1) }, func() { x.Post(held.Open) })
	if err := list.LoadStored(told.Get("known")); err != nil {
		slog.Warn("no known list", "why", err)
	}
	d.Begin(calls, finals, func(f api.Settings, h api.Host) api.Policy {
		held.Policy = policy.New(f, h)
		return held
	})
	life.Enter(lifecycle.Serving)
	decided, served := make(chan struct{}), make(chan error, 1)
	go func() { d.Run(); close(decided) }()
	go finals.Run()
	go list.Run()
	if beside != nil {
		beside.Start()
	}
	go func() { served <- server.Serve(on) }()
	go reload(hangups, os.Getenv("LB_CONFIG"), t, func(t terms) {
		// First, so that it knows what webhooks and lists may name next.
		d.UpdateSettings(t.facts, t.names.EventTypes, t.idleLimit)
		server.Renew(t.facts, t.names)
		list.UpdateSettings(t.names, t.keepNames())
		list.SetAddress(t.told.Get("discovery").String())
		finals.SetAddress(t.told.Get("discovery").String())
		if beside != nil {
			beside.UpdateSettings(t.facts)
		}
	})

	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
	case err := <-served:
		return fmt.Errorf("the clients' server ended: %w", err)
	}
	if beside != nil {
		beside.Drain()
	}
	life.Shutdown(d.Empty, calls.Out, server.Gone)
	if err := server.Close(time.Second / 5); err != nil {
		slog.Warn("some connections of clients were still open", "why", err)
	}
	life.Enter(lifecycle.Stopped)
	<-decided
	calls.End()
	if beside != nil {
		beside.Stop()
	}
	x.Counters.Log()
	return kept.Close()
}
