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
	Ledger *deliverycheck.Ledger
	Lists  map[string][]api.DestinationID // subscribers by list; set before the first webhook

	began time.Time
	mu    sync.Mutex
	seats map[string]*Seat
	dests map[api.DestinationID]*Destination
	all   []*Endpoint
	gen   int
	news  chan struct{} // closed when the list changes
	ports []*portalloc.Port
	drive map[string]func(notice) // by id: who has it, for notices
	front map[string]string       // members' client addresses
	serve []func() error
	ids   int
	deaf  atomic.Bool // hears no notice
}

// Seat is what one member sees.
type Seat struct {
	Name  string
	Agent string // LB_DISCOVERY
	p     *Platform
	addrs map[*Endpoint]string
	mute  bool // discovery is down, as seen from here
	still chan struct{}
}

// New makes a platform for destinations, with an endpoint each.
func New(by deliverycheck.Terms, dests ...api.DestinationID) (*Platform, error) {
	p := &Platform{Ledger: deliverycheck.New(by), Lists: map[string][]api.DestinationID{}, began: time.Now(),
		seats: map[string]*Seat{}, dests: map[api.DestinationID]*Destination{}, gen: 1,
		news: make(chan struct{}), drive: map[string]func(notice){}, front: map[string]string{}}
	for _, d := range dests {
		if _, err := p.Add(d); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Now is the ledger's time.
func (p *Platform) Now() api.Micros { return api.Micros(time.Since(p.began).Microseconds()) }

// Judge judges all up to now.
func (p *Platform) Judge() []deliverycheck.Breach { return p.Ledger.Judge(p.Now()) }

// Close ends all that listens.
func (p *Platform) Close() error {
	p.mu.Lock()
	serve, ports := p.serve, p.ports
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

// Seat is a member's, made at the first call.
func (p *Platform) Seat(member string) (*Seat, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.seats[member]; s != nil {
		return s, nil
	}
	s := &Seat{Name: member, p: p, addrs: map[*Endpoint]string{}, still: make(chan struct{})}
	agent := http.NewServeMux()
	agent.HandleFunc("GET /registry/instances", s.instances)
	agent.HandleFunc("POST /v2/finals", s.finals)
	at, err := p.listen(agent)
	if err != nil {
		return nil, err
	}
	s.Agent = at.Addr
	for _, e := range p.all {
		if err := s.open(e); err != nil {
			return nil, err
		}
	}
	p.seats[member] = s
	return s, nil
}

// open has an endpoint reached from a seat.
func (s *Seat) open(e *Endpoint) error {
	d, err := newDoor(func(rw http.ResponseWriter, r *http.Request) { e.called(s, rw, r) })
	if err != nil {
		return err
	}
	s.p.ports, s.p.serve = append(s.p.ports, d.port), append(s.p.serve, d.shut)
	s.addrs[e] = d.port.Addr
	e.doors = append(e.doors, d)
	return nil
}

// listen serves on a port of its own until Close.
func (p *Platform) listen(h http.Handler) (*portalloc.Port, error) {
	at, err := portalloc.Keep()
	if err != nil {
		return nil, err
	}
	on, err := at.Listen()
	if err != nil {
		return nil, errors.Join(err, at.Close())
	}
	s := &http.Server{Handler: h}
	go s.Serve(on)
	p.ports, p.serve = append(p.ports, at), append(p.serve, s.Close)
	return at, nil
}

// List is the whole list as a seat sees it: `known` of LB_CONFIG.
func (s *Seat) List() string {
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	text, _ := s.since(0)
	return text
}

// since is the list object of what changed after a generation, and the drains in it.
func (s *Seat) since(gen int) (text string, drains []*Endpoint) {
	var lines []string
	for _, e := range s.p.all {
		if e.changed <= gen || gen == 0 && e.lifecycle == "DELETED" {
			continue
		}
		lines = append(lines, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"machineType":%q,"cell":%d,`+
			`"lifecycle":%q,"weight":%g,"startedAtMs":0}`, e.Name, s.addrs[e], e.zone, e.dest.Kind, e.dest.ID,
			e.lifecycle,
			e.dest.Weight))
		if e.lifecycle != "SERVING" {
			drains = append(drains, e)
		}
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`, s.p.gen, gen == 0, strings.Join(lines,
			",")),
		drains
}

// linePeriod is the protocol's: an empty line so often while nothing changes.
const linePeriod = 2 * time.Second

func (s *Seat) instances(rw http.ResponseWriter, r *http.Request) {
	gen, follow := 0, r.URL.Query().Get("follow") == "1"
	if text := r.URL.Query().Get("since"); text != "" {
		if _, err := fmt.Sscan(text, &gen); err != nil {
			http.Error(rw, "since is no number", http.StatusBadRequest)
			return
		}
	}
	line := time.NewTicker(linePeriod)
	defer line.Stop()
	for {
		s.p.mu.Lock()
		news, still, mute, now := s.p.news, s.still, s.mute, s.p.gen
		text, drains := s.since(gen)
		s.p.mu.Unlock()
		if !mute && (now != gen || !follow) {
			fmt.Fprintln(rw, text)
			rw.(http.Flusher).Flush()
			for _, e := range drains {
				s.p.Ledger.Told(s.p.Now(), s.Name, e.Name)
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

// Mute takes discovery away from a seat: its watch stays open and silent. Notices are heard as before.
func (s *Seat) Mute(mute bool) {
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	s.mute = mute
	close(s.still)
	s.still = make(chan struct{})
}

// Front says where clients reach a member.
func (p *Platform) Front(member, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.front[member] = addr
	return nil
}
