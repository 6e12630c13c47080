package platform

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"rowanlink/webhook/api"
)

// Behaviour is how a destination takes calls. Zero: it delivers at once.
type Behaviour struct {
	Status            int           // other than 200: turned away or failed, and not run
	TakesEffect       bool          // whatever the answer, it took effect
	RetryAfter        time.Duration // told with a Code
	Delay             time.Duration // before the answer
	NeverAnswers      bool          // never answers
	CloseConnection   bool          // the connection ends in place of the answer
	RefuseConnections bool          // connections are refused
	HangConnections   bool          // connections never come up
	PerSecond         int           // more calls in one second than these are turned away with 429
	TellsRetryAfter   bool          // those are told to wait for the second's end
}

// What destinations do, by name.
var (
	Delivers     = Behaviour{}
	Fails        = Behaviour{Status: 500}
	Unavailable  = Behaviour{Status: 503}
	Hangs        = Behaviour{NeverAnswers: true}
	Closes       = Behaviour{CloseConnection: true}
	ResponseLost = Behaviour{CloseConnection: true, TakesEffect: true}
	Refuses      = Behaviour{RefuseConnections: true}
	Unreachable  = Behaviour{HangConnections: true}
)

// RateLimited turns calls away and tells how long to wait.
func RateLimited(wait time.Duration) Behaviour { return Behaviour{Status: 429, RetryAfter: wait} }

// Slow delivers after a while.
func Slow(took time.Duration) Behaviour { return Behaviour{Delay: took} }

// Destination has one endpoint or several; they share what it remembers.
type Destination struct {
	ID       api.DestinationID
	Kind     string  // the list's machineType
	Weight   float64 // the list's weight: calls a second that it takes
	platform *Platform

	mu            sync.Mutex
	behaviour     Behaviour
	queued        []Behaviour
	tokens        map[string]api.Micros
	second        int64
	callsInSecond int
	failed        bool
}

// Endpoint is one address of a destination, as the list has it.
type Endpoint struct {
	Name        string
	destination *Destination
	zone        string
	lifecycle   string
	generation  int // generation
	listeners   []*endpointListener
}

// Destination is one that New or Add made, or nil.
func (p *Platform) Destination(id api.DestinationID) *Destination {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.destinations[id]
}

// AddEndpoint lists one more endpoint of a destination, which is made at the first.
func (p *Platform) AddEndpoint(id api.DestinationID) (*Endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.destinations[id]
	if d == nil {
		d = &Destination{ID: id, Kind: "bulk", Weight: 200, platform: p, tokens: map[string]api.Micros{}}
		p.destinations[id] = d
	}
	e := &Endpoint{Name: fmt.Sprintf("e%d-%d", id, len(p.endpoints)), destination: d, zone: "a"}
	p.endpoints = append(p.endpoints, e)
	for _, s := range p.views {
		if err := s.addEndpoint(e); err != nil {
			return nil, err
		}
	}
	p.setLifecycle(e, "SERVING")
	return e, nil
}

// Endpoints are those of a destination that are listed.
func (p *Platform) Endpoints(id api.DestinationID) (all []*Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if e.destination.ID == id && e.lifecycle != "DELETED" {
			all = append(all, e)
		}
	}
	return all
}

// setLifecycle changes what the list says of an endpoint, and tells it.
func (p *Platform) setLifecycle(e *Endpoint, lifecycle string) {
	if len(p.views) > 0 || e.generation > 0 {
		p.generation++
	}
	switch was := e.lifecycle; {
	case lifecycle == "SERVING" && was != "" && was != "SERVING":
		p.Checker.RecordServing(p.Now(), e.Name)
	case lifecycle != "SERVING" && (was == "SERVING" || was == ""):
		p.Checker.RecordDraining(p.Now(), e.Name)
	}
	e.lifecycle, e.generation = lifecycle, p.generation
	close(p.listChanged)
	p.listChanged = make(chan struct{})
}

// Drain, Remove and Relist change the list. Whoever's discovery is mute hears it later.
func (p *Platform) Drain(e *Endpoint)  { p.relist(e, "DRAINING") }
func (p *Platform) Remove(e *Endpoint) { p.relist(e, "DELETED") }
func (p *Platform) Relist(e *Endpoint) { p.relist(e, "SERVING") }

func (p *Platform) relist(e *Endpoint, lifecycle string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setLifecycle(e, lifecycle)
}

// SetBehaviour has the destination behave so from now on.
func (d *Destination) SetBehaviour(b Behaviour) error {
	d.mu.Lock()
	was := d.behaviour
	d.behaviour, d.queued = b, nil
	d.mu.Unlock()
	if was.RefuseConnections == b.RefuseConnections && was.HangConnections == b.HangConnections {
		return nil
	}
	d.platform.mu.Lock()
	defer d.platform.mu.Unlock()
	var err error
	for _, e := range d.platform.endpoints {
		if e.destination != d {
			continue
		}
		for _, door := range e.listeners {
			switch {
			case b.RefuseConnections:
				door.port.Refuse()
				err = errors.Join(err, door.refuse())
			case b.HangConnections:
				err = errors.Join(err, door.hang())
			default:
				err = errors.Join(err, door.open())
			}
		}
	}
	return err
}

// QueueBehaviours has the calls that come next taken so, one each, before Set's behaviour goes on.
func (d *Destination) QueueBehaviours(b ...Behaviour) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queued = append(d.queued, b...)
}

// BeginOutage begins an outage, which the ledger counts as one; Return ends it: cold, it takes so many calls a
// second once it is warm.
func (d *Destination) BeginOutage(b Behaviour) error {
	d.platform.Checker.RecordOutage(d.platform.Now(), d.ID)
	return d.SetBehaviour(b)
}

func (d *Destination) EndOutage(perSecond float64) error {
	d.platform.Checker.RecordRecovery(d.platform.Now(), d.ID, perSecond)
	return d.SetBehaviour(Delivers)
}

// nextBehaviour is the behaviour for one call.
func (d *Destination) nextBehaviour(now api.Micros) Behaviour {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.behaviour
	if len(d.queued) > 0 {
		b, d.queued = d.queued[0], d.queued[1:]
	}
	if b.PerSecond == 0 {
		return b
	}
	if second := int64(now / api.Second); second != d.second {
		d.second, d.callsInSecond = second, 0
	}
	if d.callsInSecond++; d.callsInSecond <= b.PerSecond {
		return b
	}
	d.platform.Checker.RecordRateExceeded()
	full := Behaviour{Status: 429}
	if b.TellsRetryAfter {
		full.RetryAfter = time.Duration(api.Second-now%api.Second) * time.Microsecond
	}
	return full
}
