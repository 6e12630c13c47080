// Package endpoint is a fake of the endpoints that a serving system sends requests to: language models and plain
// services on the loopback interface. An endpoint registers by heartbeats, serves requests, health checks and load
// reports, rejects what exceeds its capacity, is slow while it warms up, and shuts down gracefully or crashes. It is
// written from the protocol that endpoints speak, for tests and trials only.
//
// It does not simulate preemption of running requests, changes of weights during a response, or broken responses.
package endpoint

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// headerTimeout bounds the time to receive a request's headers.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long a connection may be idle.
	idleTimeout = 20 * time.Second
	// idLength is the number of random bytes in an incarnation's ID.
	idLength = 4
)

// Endpoint is one incarnation of an endpoint.
type Endpoint struct {
	ID         string
	options    Options
	heartbeats *heartbeatSender
	slots      *slots
	kvCache    *kvCache
	warmup     *warmupState
	server     *http.Server
	address    string

	stopHeartbeats context.CancelFunc // ends the heartbeats
	heartbeatsDone chan struct{}      // closed when the heartbeats have ended
	closeOnce      sync.Once
}

// Start starts an endpoint, which registers at once and sends heartbeats until Shutdown or Close. It fails if it can't
// listen. The context bounds the start only.
func Start(ctx context.Context, options Options) (*Endpoint, error) {
	options = options.withDefaults()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", options.ListenAddress)
	if err != nil {
		return nil, errors.Wrap(err, "endpoint")
	}
	started := time.Now()
	e := &Endpoint{
		ID:             options.ID,
		options:        options,
		address:        listener.Addr().String(),
		warmup:         newWarmupState(started, options.Warmup),
		heartbeatsDone: make(chan struct{}),
	}
	e.slots = &slots{capacity: options.Slots, queueLimit: options.QueueLimit}
	if options.Engine != nil {
		e.kvCache = newKVCache(options.Engine.CacheTokens)
		e.slots.kvCache = e.kvCache
	}
	e.server = &http.Server{
		Handler:           e.handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	go func() { _ = e.server.Serve(limitConnections(listener, options.MaxConnections)) }()
	e.heartbeats = newHeartbeatSender(e)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	e.stopHeartbeats = stop
	go func() {
		defer close(e.heartbeatsDone)
		e.heartbeats.run(running)
	}()
	return e, nil
}

// Address returns host:port for requests.
func (e *Endpoint) Address() string { return e.address }

// AnnounceDraining has the heartbeats report from now on that the endpoint is closing; it continues to serve. The
// channel is closed when that has been acknowledged.
func (e *Endpoint) AnnounceDraining() <-chan struct{} { return e.heartbeats.announceDraining() }

// Shutdown ends the endpoint gracefully: it reports that it is closing until that is acknowledged, serves for its
// drain time, deregisters and closes. If the context ends earlier, it closes at once. An error means that the report
// was not acknowledged.
func (e *Endpoint) Shutdown(ctx context.Context) error {
	defer e.Close()
	acknowledged := e.AnnounceDraining()
	select {
	case <-acknowledged:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "closing was not acknowledged")
	}
	drained := time.NewTimer(e.options.DrainTime)
	defer drained.Stop()
	select {
	case <-drained.C:
	case <-ctx.Done():
	}
	e.StopHeartbeats()
	_ = e.heartbeats.deregister(ctx) // the closing was acknowledged
	return nil
}

// Deregister ends the heartbeats and deregisters, without having reported before that the endpoint is closing; it serves
// on until Close. An error means that the deregistration was not acknowledged.
func (e *Endpoint) Deregister(ctx context.Context) error {
	e.StopHeartbeats()
	return e.heartbeats.deregister(ctx)
}

// Close terminates the endpoint like a crash: it reports nothing, and running requests are aborted.
func (e *Endpoint) Close() {
	e.closeOnce.Do(func() {
		e.StopHeartbeats()
		_ = e.server.Close()
	})
}

// StopHeartbeats ends the heartbeats; the endpoint serves on until Close.
func (e *Endpoint) StopHeartbeats() {
	e.stopHeartbeats()
	<-e.heartbeatsDone
}

// newID returns the ID of a new incarnation.
func newID() string {
	id := make([]byte, idLength)
	_, _ = rand.Read(id) // crypto/rand.Read never fails
	return "i-" + hex.EncodeToString(id)
}
