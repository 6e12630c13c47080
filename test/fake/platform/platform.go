// Package platform is, for tests, all that is around a cluster: discovery and notices as each member reaches them,
// destinations whose behaviour can be changed, and clients. What it observes goes to a checker.
//
// Each member has addresses of its own for discovery and for each endpoint, so that callers are known. A call of a
// subscriber of an announcement may carry the announcement's ID alone, or followed by a dot and more; a notice may name
// the subscriber (`"dest":3`), and without it is of all that have no outcome yet.
package platform

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/fake/portalloc"
	"rowanlink/webhook/api"
)

// Platform is safe for concurrent use.
type Platform struct {
	Checker         *deliverycheck.Checker
	SubscriberLists map[string][]api.DestinationID // set before the first webhook

	startedAt     time.Time
	rejectNotices atomic.Bool

	mu             sync.Mutex
	views          map[string]*MemberView // by member
	clientAddrs    map[string]string      // by member
	destinations   map[api.DestinationID]*Destination
	endpoints      []*Endpoint
	generation     int                     // of the endpoint list
	listChanged    chan struct{}           // closed when the list changes
	noticeHandlers map[string]func(notice) // by webhook
	lastID         int                     // of webhooks
	ports          []*portalloc.Port
	closers        []func() error
}

// New returns a platform with some destinations, of one endpoint each.
func New(required deliverycheck.Requirements, destinations ...api.DestinationID) (*Platform, error) {
	p := &Platform{
		Checker:         deliverycheck.New(required),
		SubscriberLists: map[string][]api.DestinationID{},
		startedAt:       time.Now(),
		views:           map[string]*MemberView{},
		clientAddrs:     map[string]string{},
		destinations:    map[api.DestinationID]*Destination{},
		generation:      1,
		listChanged:     make(chan struct{}),
		noticeHandlers:  map[string]func(notice){},
	}
	for _, d := range destinations {
		if _, err := p.AddEndpoint(d); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Now returns the checker's time.
func (p *Platform) Now() api.Micros { return api.Micros(time.Since(p.startedAt).Microseconds()) }

// Check returns the violations up to now.
func (p *Platform) Check() []deliverycheck.Violation { return p.Checker.Check(p.Now()) }

// Close closes all listeners.
func (p *Platform) Close() error {
	p.mu.Lock()
	closers, ports := p.closers, p.ports
	p.mu.Unlock()
	var err error
	for _, closeServer := range closers {
		err = errors.Join(err, closeServer())
	}
	for _, port := range ports {
		err = errors.Join(err, port.Close())
	}
	return err
}

// listen serves a handler on a port of its own until Close.
func (p *Platform) listen(handler http.Handler) (*portalloc.Port, error) {
	port, err := portalloc.Reserve()
	if err != nil {
		return nil, err
	}
	listener, err := port.Listen()
	if err != nil {
		return nil, errors.Join(err, port.Close())
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // returns once it is closed
	p.ports = append(p.ports, port)
	p.closers = append(p.closers, server.Close)
	return port, nil
}

// SetClientAddr sets the address at which clients reach a member.
func (p *Platform) SetClientAddr(member, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clientAddrs[member] = addr
	return nil
}
