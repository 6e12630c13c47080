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
	Code       int           // other than 200: turned away or failed, and not run
	Ran        bool          // whatever the answer, it took effect
	RetryAfter time.Duration // told with a Code
	Took       time.Duration // before the answer
	Hang       bool          // never answers
	Close      bool          // the connection ends in place of the answer
	Refuse     bool          // connections are refused
	Vanish     bool          // connections never come up
	PerSecond  int           // more calls in one second than these are turned away with 429
	AskWait    bool          // those are told to wait for the second's end
}

// What destinations do, by name.
var (
	Delivers   = Behaviour{}
	Fails      = Behaviour{Code: 500}
	Shut       = Behaviour{Code: 503}
	Hangs      = Behaviour{Hang: true}
	Closes     = Behaviour{Close: true}
	AnswerLost = Behaviour{Close: true, Ran: true}
	Refuses    = Behaviour{Refuse: true}
	Vanishes   = Behaviour{Vanish: true}
)

// Full turns calls away and tells how long to wait.
func Full(wait time.Duration) Behaviour { return Behaviour{Code: 429, RetryAfter: wait} }

// Slow delivers after a while.
func Slow(took time.Duration) Behaviour { return Behaviour{Took: took} }

// Destination has one endpoint or several; they share what it remembers.
type Destination struct {
	ID     api.DestinationID
	Kind   string  // the list's machineType
	Weight float64 // the list's weight: calls a second that it takes
	p      *Platform

	mu     sync.Mutex
	is     Behaviour
	next   []Behaviour
	tokens map[string]api.Micros
	second int64
	inThis int
	failed bool
}

// Endpoint is one address of a destination, as the list has it.
type Endpoint struct {
	Name      string
	dest      *Destination
	zone      string
	lifecycle string
	changed   int // generation
	doors     []*door
}

// Destination is one that New or Add made, or nil.
func (p *Platform) Destination(id api.DestinationID) *Destination {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dests[id]
}

// Add lists one more endpoint of a destination, which is made at the first.
func (p *Platform) Add(id api.DestinationID) (*Endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.dests[id]
	if d == nil {
		d = &Destination{ID: id, Kind: "bulk", Weight: 200, p: p, tokens: map[string]api.Micros{}}
		p.dests[id] = d
	}
	e := &Endpoint{Name: fmt.Sprintf("e%d-%d", id, len(p.all)), dest: d, zone: "a"}
	p.all = append(p.all, e)
	for _, s := range p.seats {
		if err := s.open(e); err != nil {
			return nil, err
		}
	}
	p.list(e, "SERVING")
	return e, nil
}

// Endpoints are those of a destination that are listed.
func (p *Platform) Endpoints(id api.DestinationID) (all []*Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.all {
		if e.dest.ID == id && e.lifecycle != "DELETED" {
			all = append(all, e)
		}
	}
	return all
}

// list changes what the list says of an endpoint, and tells it.
func (p *Platform) list(e *Endpoint, lifecycle string) {
	if len(p.seats) > 0 || e.changed > 0 {
		p.gen++
	}
	switch was := e.lifecycle; {
	case lifecycle == "SERVING" && was != "" && was != "SERVING":
		p.Ledger.Relisted(p.Now(), e.Name)
	case lifecycle != "SERVING" && (was == "SERVING" || was == ""):
		p.Ledger.Drained(p.Now(), e.Name)
	}
	e.lifecycle, e.changed = lifecycle, p.gen
	close(p.news)
	p.news = make(chan struct{})
}

// Drain, Remove and Relist change the list. Whoever's discovery is mute hears it later.
func (p *Platform) Drain(e *Endpoint)  { p.relist(e, "DRAINING") }
func (p *Platform) Remove(e *Endpoint) { p.relist(e, "DELETED") }
func (p *Platform) Relist(e *Endpoint) { p.relist(e, "SERVING") }

func (p *Platform) relist(e *Endpoint, lifecycle string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list(e, lifecycle)
}

// Set has the destination behave so from now on.
func (d *Destination) Set(b Behaviour) error {
	d.mu.Lock()
	was := d.is
	d.is, d.next = b, nil
	d.mu.Unlock()
	if was.Refuse == b.Refuse && was.Vanish == b.Vanish {
		return nil
	}
	d.p.mu.Lock()
	defer d.p.mu.Unlock()
	var err error
	for _, e := range d.p.all {
		if e.dest != d {
			continue
		}
		for _, door := range e.doors {
			switch {
			case b.Refuse:
				door.port.Free()
				err = errors.Join(err, door.shut())
			case b.Vanish:
				err = errors.Join(err, door.vanish())
			default:
				err = errors.Join(err, door.open())
			}
		}
	}
	return err
}

// Next has the calls that come next taken so, one each, before Set's behaviour goes on.
func (d *Destination) Next(b ...Behaviour) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next = append(d.next, b...)
}

// Fail begins an outage, which the ledger counts as one; Return ends it: cold, it takes so many calls a
// second once it is warm.
func (d *Destination) Fail(b Behaviour) error {
	d.p.Ledger.Failed(d.p.Now(), d.ID)
	return d.Set(b)
}

func (d *Destination) Return(perSecond float64) error {
	d.p.Ledger.Back(d.p.Now(), d.ID, perSecond)
	return d.Set(Delivers)
}

// takes is the behaviour for one call.
func (d *Destination) takes(now api.Micros) Behaviour {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.is
	if len(d.next) > 0 {
		b, d.next = d.next[0], d.next[1:]
	}
	if b.PerSecond == 0 {
		return b
	}
	if second := int64(now / api.Second); second != d.second {
		d.second, d.inThis = second, 0
	}
	if d.inThis++; d.inThis <= b.PerSecond {
		return b
	}
	d.p.Ledger.OverRate()
	full := Behaviour{Code: 429}
	if b.AskWait {
		full.RetryAfter = time.Duration(api.Second-now%api.Second) * time.Microsecond
	}
	return full
}
