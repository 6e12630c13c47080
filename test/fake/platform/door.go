package platform

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"rowanlink/test/fake/portalloc"
)

// door is one address of an endpoint, which can refuse connections for a while.
type door struct {
	port    *portalloc.Port
	handler http.HandlerFunc
	mu      sync.Mutex
	server  *http.Server
	on      net.Listener
}

func newDoor(h http.HandlerFunc) (*door, error) {
	p, err := portalloc.Keep()
	if err != nil {
		return nil, err
	}
	d := &door{port: p, handler: h}
	return d, d.open()
}

func (d *door) open() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.port.Free()
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

// shut resets what is open and refuses what comes.
func (d *door) shut() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server == nil {
		return nil
	}
	err := d.server.Close()
	d.server = nil
	return err
}

// vanish says nothing any more to whoever connects.
func (d *door) vanish() error { return errors.Join(d.shut(), d.port.Hang()) }
