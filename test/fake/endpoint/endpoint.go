// Package endpoint stands in for the endpoints that a serving system sends requests to: language models and plain
// services, over loopback. An endpoint registers by heartbeats, answers requests, health checks and asks for its
// load, turns away what it can't take, is slow while cold, and ends by plan or as by a crash. It is written from the
// protocol that endpoints speak and is for tests and trials only.
//
// What it doesn't play: preemption of running requests, changes of weights in an answer, broken answers.
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
	// headWait bounds the time for the head of a call.
	headWait = 3 * time.Second
	// idleTime is how long a connection may rest.
	idleTime = 20 * time.Second
	// idLength is the number of random bytes in the id of an incarnation.
	idLength = 4
)

// Endpoint is one incarnation.
type Endpoint struct {
	ID      string
	options Options
	beats   *heartbeats
	slots   *slots
	memory  *memory
	cold    *cold
	server  *http.Server
	address string

	stop   context.CancelFunc // of the heartbeats
	beaten chan struct{}      // closed when they have ended
	close  sync.Once
}

// Start starts an endpoint, which registers at once and then at intervals. The error tells that it can't listen.
func Start(options Options) (*Endpoint, error) {
	options = options.usual()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", options.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "endpoint")
	}
	started := time.Now()
	e := &Endpoint{ID: newID(), options: options, address: listener.Addr().String(),
		cold: newCold(started, options.Cold), beaten: make(chan struct{})}
	e.slots = &slots{places: options.Slots, queue: options.Queue}
	if options.Engine != nil {
		e.memory = newMemory(options.Engine.CacheTokens)
		e.slots.memory = e.memory
	}
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: headWait, IdleTimeout: idleTime,
		ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = e.server.Serve(limit(listener, options.Connections)) }()
	e.beats = newHeartbeats(e)
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go func() {
		defer close(e.beaten)
		e.beats.run(ctx)
	}()
	return e, nil
}

// Address is host:port for requests.
func (e *Endpoint) Address() string { return e.address }

// Closing has the endpoint say from now on that it is closing; it serves on. The channel is closed when somebody has
// acknowledged that.
func (e *Endpoint) Closing() <-chan struct{} { return e.beats.closing() }

// Leave ends the endpoint by plan: it says that it is closing until that is acknowledged, serves on for its drain,
// signs off and ends. When the context ends before, it ends at once without a further word. The error tells that
// nobody has acknowledged.
func (e *Endpoint) Leave(ctx context.Context) error {
	defer e.Close()
	acknowledged := e.Closing()
	select {
	case <-acknowledged:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "closing was not acknowledged")
	}
	drained := time.NewTimer(e.options.Drain)
	defer drained.Stop()
	select {
	case <-drained.C:
	case <-ctx.Done():
	}
	e.endBeats()
	e.beats.signOff(ctx)
	return nil
}

// Close ends the endpoint as a crash would: without a word, and whatever runs breaks off.
func (e *Endpoint) Close() {
	e.close.Do(func() {
		e.endBeats()
		_ = e.server.Close()
	})
}

func (e *Endpoint) endBeats() {
	e.stop()
	<-e.beaten
}

// newID names an incarnation.
func newID() string {
	id := make([]byte, idLength)
	_, _ = rand.Read(id) // never fails
	return "i-" + hex.EncodeToString(id)
}
