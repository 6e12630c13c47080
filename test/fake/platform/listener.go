package platform

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"rowanlink/test/fake/portalloc"
)

// endpointListener is one address of an endpoint, which can refuse connections for a while.
type endpointListener struct {
	port     *portalloc.Port
	handler  http.HandlerFunc
	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
}

func newEndpointListener(h http.HandlerFunc) (*endpointListener, error) {
	p, err := portalloc.Reserve()
	if err != nil {
		return nil, err
	}
	d := &endpointListener{port: p, handler: h}
	return d, d.open()
}

func (d *endpointListener) open() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.port.Refuse()
	if d.server != nil {
		return nil
	}
	on, err := d.port.Listen()
	if err != nil {
		return err
	}
	d.server = &http.Server{Handler: d.handler}
	go d.server.Serve(on)
	return nil
}

// refuse resets what is open and refuses what comes.
func (d *endpointListener) refuse() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server == nil {
		return nil
	}
	err := d.server.Close()
	d.server = nil
	return err
}

// hang says nothing any more to whoever connects.
func (d *endpointListener) hang() error { return errors.Join(d.refuse(), d.port.Hang()) }
