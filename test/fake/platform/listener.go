package platform

import (
	"errors"
	"net/http"
	"sync"

	"rowanlink/test/fake/portalloc"
)

// endpointListener is one address of an endpoint, which can refuse connections for a while.
type endpointListener struct {
	port    *portalloc.Port
	handler http.HandlerFunc

	mu     sync.Mutex
	server *http.Server // nil while it doesn't accept connections
}

func newEndpointListener(handler http.HandlerFunc) (*endpointListener, error) {
	port, err := portalloc.Reserve()
	if err != nil {
		return nil, err
	}
	l := &endpointListener{port: port, handler: handler}
	return l, l.open()
}

// open accepts connections.
func (l *endpointListener) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.port.Refuse()
	if l.server != nil {
		return nil
	}
	listener, err := l.port.Listen()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: l.handler}
	l.server = server
	go func() { _ = server.Serve(listener) }() // returns once it is closed
	return nil
}

// refuse resets the open connections and refuses new ones.
func (l *endpointListener) refuse() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server == nil {
		return nil
	}
	err := l.server.Close()
	l.server = nil
	return err
}

// hang resets the open connections and leaves new ones without an answer.
func (l *endpointListener) hang() error { return errors.Join(l.refuse(), l.port.Hang()) }
