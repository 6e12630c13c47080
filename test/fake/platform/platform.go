// Package platform stands, in tests, for all that is round a fleet: discovery and notices as each member
// reaches them, destinations whose behaviour is switched while it runs, and clients. It keeps the ledger of
// what it sees.
//
// Each member has an address of its own for discovery and for each endpoint, so that whoever calls is known.
// A call of an announcement's subscriber may carry the announcement's id alone or followed by a dot and more;
// a notice may name the subscriber (`"dest":3`), without it all that are left have ended.
package platform

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/fake/portalloc"
	"rowanlink/webhook/api"
)

// Platform is safe for use by several goroutines.
type Platform struct {
	Checker         *deliverycheck.Checker
	SubscriberLists map[string][]api.DestinationID // subscribers by list; set before the first webhook

	startedAt      time.Time
	mu             sync.Mutex
	views          map[string]*MemberView
	destinations   map[api.DestinationID]*Destination
	endpoints      []*Endpoint
	generation     int
	listChanged    chan struct{} // closed when the list changes
	ports          []*portalloc.Port
	noticeHandlers map[string]func(notice) // by id: who has it, for notices
	clientAddrs    map[string]string       // members' client addresses
	closers        []func() error
	lastID         int
	rejectNotices  atomic.Bool // hears no notice
}

// MemberView is what one member sees.
type MemberView struct {
	Name           string
	AgentAddr      string // LB_DISCOVERY
	platform       *Platform
	endpointAddrs  map[*Endpoint]string
	discoveryMuted bool // discovery is down, as seen from here
	muteChanged    chan struct{}
}

// New makes a platform for destinations, with an endpoint each.
func New(by deliverycheck.Requirements, dests ...api.DestinationID) (*Platform, error) {
	p := &Platform{Checker: deliverycheck.New(by), SubscriberLists: map[string][]api.DestinationID{}, startedAt: time.Now(),
		views: map[string]*MemberView{}, destinations: map[api.DestinationID]*Destination{}, generation: 1,
		listChanged: make(chan struct{}), noticeHandlers: map[string]func(notice){}, clientAddrs: map[string]string{}}
	for _, d := range dests {
		if _, err := p.AddEndpoint(d); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Now is the ledger's time.
func (p *Platform) Now() api.Micros { return api.Micros(time.Since(p.startedAt).Microseconds()) }

// Check judges all up to now.
func (p *Platform) Check() []deliverycheck.Violation { return p.Checker.Check(p.Now()) }

// Close ends all that listens.
func (p *Platform) Close() error {
	p.mu.Lock()
	serve, ports := p.closers, p.ports
	p.mu.Unlock()
	var err error
	for _, end := range serve {
		err = errors.Join(err, end())
	}
	for _, one := range ports {
		err = errors.Join(err, one.Close())
	}
	return err
}

// View is a member's, made at the first call.
func (p *Platform) View(member string) (*MemberView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.views[member]; s != nil {
		return s, nil
	}
	s := &MemberView{Name: member, platform: p, endpointAddrs: map[*Endpoint]string{}, muteChanged: make(chan struct{})}
	agent := http.NewServeMux()
	agent.HandleFunc("GET /registry/instances", s.serveInstances)
	agent.HandleFunc("POST /v2/finals", s.serveFinals)
	at, err := p.listen(agent)
	if err != nil {
		return nil, err
	}
	s.AgentAddr = at.Addr
	for _, e := range p.endpoints {
		if err := s.addEndpoint(e); err != nil {
			return nil, err
		}
	}
	p.views[member] = s
	return s, nil
}

// addEndpoint has an endpoint reached from a seat.
func (s *MemberView) addEndpoint(e *Endpoint) error {
	d, err := newEndpointListener(func(rw http.ResponseWriter, r *http.Request) { e.serveCall(s, rw, r) })
	if err != nil {
		return err
	}
	s.platform.ports, s.platform.closers = append(s.platform.ports, d.port), append(s.platform.closers, d.refuse)
	s.endpointAddrs[e] = d.port.Addr
	e.listeners = append(e.listeners, d)
	return nil
}

// listen serves on a port of its own until Close.
func (p *Platform) listen(h http.Handler) (*portalloc.Port, error) {
	at, err := portalloc.Reserve()
	if err != nil {
		return nil, err
	}
	on, err := at.Listen()
	if err != nil {
		return nil, errors.Join(err, at.Close())
	}
	s := &http.Server{Handler: h}
	go s.Serve(on)
	p.ports, p.closers = append(p.ports, at), append(p.closers, s.Close)
	return at, nil
}

// EndpointList is the whole list as a seat sees it: `known` of LB_CONFIG.
func (s *MemberView) EndpointList() string {
	s.platform.mu.Lock()
	defer s.platform.mu.Unlock()
	text, _ := s.changesSince(0)
	return text
}

// changesSince is the list object of what changed after a generation, and the drains in it.
func (s *MemberView) changesSince(gen int) (text string, drains []*Endpoint) {
	var lines []string
	for _, e := range s.platform.endpoints {
		if e.generation <= gen || gen == 0 && e.lifecycle == "DELETED" {
			continue
		}
		lines = append(lines, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"machineType":%q,"cell":%d,`+
			`"lifecycle":%q,"weight":%g,"startedAtMs":0}`, e.Name, s.endpointAddrs[e], e.zone, e.destination.Kind, e.destination.ID,
			e.lifecycle,
			e.destination.Weight))
		if e.lifecycle != "SERVING" {
			drains = append(drains, e)
		}
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`, s.platform.generation, gen == 0, strings.Join(lines,
			",")),
		drains
}

// keepAlivePeriod is the protocol's: an empty line so often while nothing changes.
const keepAlivePeriod = 2 * time.Second

func (s *MemberView) serveInstances(rw http.ResponseWriter, r *http.Request) {
	gen, follow := 0, r.URL.Query().Get("follow") == "1"
	if text := r.URL.Query().Get("since"); text != "" {
		if _, err := fmt.Sscan(text, &gen); err != nil {
			http.Error(rw, "since is no number", http.StatusBadRequest)
			return
		}
	}
	line := time.NewTicker(keepAlivePeriod)
	defer line.Stop()
	for {
		s.platform.mu.Lock()
		news, still, mute, now := s.platform.listChanged, s.muteChanged, s.discoveryMuted, s.platform.generation
		text, drains := s.changesSince(gen)
		s.platform.mu.Unlock()
		if !mute && (now != gen || !follow) {
			fmt.Fprintln(rw, text)
			rw.(http.Flusher).Flush()
			for _, e := range drains {
				s.platform.Checker.RecordNotified(s.platform.Now(), s.Name, e.Name)
			}
			if gen = now; !follow {
				return
			}
		}
		select {
		case <-r.Context().Done():
			return
		case <-still:
		case <-news:
		case <-line.C:
			if !mute {
				fmt.Fprintln(rw)
				rw.(http.Flusher).Flush()
			}
		}
	}
}

// MuteDiscovery takes discovery away from a seat: its watch stays open and silent. Notices are heard as before.
func (s *MemberView) MuteDiscovery(mute bool) {
	s.platform.mu.Lock()
	defer s.platform.mu.Unlock()
	s.discoveryMuted = mute
	close(s.muteChanged)
	s.muteChanged = make(chan struct{})
}

// SetClientAddr says where clients reach a member.
func (p *Platform) SetClientAddr(member, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clientAddrs[member] = addr
	return nil
}
