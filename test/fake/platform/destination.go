package platform

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"rowanlink/webhook/api"
)

// Behaviour is how a destination responds to calls. The zero value delivers at once.
type Behaviour struct {
	Status            int           // other than 0 and 200: rejected or failed, without an effect
	TakesEffect       bool          // it has an effect, whatever the response
	RetryAfter        time.Duration // in the response, with a Status
	Delay             time.Duration // before the response
	NeverAnswers      bool
	CloseConnection   bool // in place of the response
	RefuseConnections bool
	HangConnections   bool // new connections aren't established
	PerSecond         int  // more calls in a second are rejected with 429; 0: unlimited
	SendsRetryAfter   bool // the rejected ones get a Retry-After until the end of the second
}

// The behaviours without a parameter.
var (
	Delivers     = Behaviour{}
	Fails        = Behaviour{Status: http.StatusInternalServerError}
	Unavailable  = Behaviour{Status: http.StatusServiceUnavailable}
	Hangs        = Behaviour{NeverAnswers: true}
	Closes       = Behaviour{CloseConnection: true}
	ResponseLost = Behaviour{CloseConnection: true, TakesEffect: true}
	Refuses      = Behaviour{RefuseConnections: true}
	Unreachable  = Behaviour{HangConnections: true}
)

// RateLimited returns a behaviour that rejects calls with a Retry-After.
func RateLimited(wait time.Duration) Behaviour {
	return Behaviour{Status: http.StatusTooManyRequests, RetryAfter: wait}
}

// Slow returns a behaviour that delivers after a delay.
func Slow(delay time.Duration) Behaviour { return Behaviour{Delay: delay} }

// succeeds reports whether the response is that of a delivery.
func (b Behaviour) succeeds() bool { return b.Status == 0 || b.Status == http.StatusOK }

// hasEffect reports whether a call takes effect.
func (b Behaviour) hasEffect() bool {
	return b.TakesEffect || !b.NeverAnswers && !b.CloseConnection && b.succeeds()
}

// Destination has one endpoint or several, which share its state.
type Destination struct {
	ID     api.DestinationID
	Kind   string  // the list's machineType
	Weight float64 // the list's weight: calls a second that it takes

	platform *Platform

	mu            sync.Mutex
	behaviour     Behaviour
	queued        []Behaviour           // for the next calls, one each
	tokens        map[string]api.Micros // first effect by idempotency key
	second        int64                 // that callsInSecond counts
	callsInSecond int
}

// Destination returns a destination, or nil if it has no endpoint.
func (p *Platform) Destination(id api.DestinationID) *Destination {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.destinations[id]
}

// SetBehaviour replaces the destination's behaviour and drops the queued ones.
func (d *Destination) SetBehaviour(b Behaviour) error {
	d.mu.Lock()
	before := d.behaviour
	d.behaviour, d.queued = b, nil
	d.mu.Unlock()
	if before.RefuseConnections == b.RefuseConnections && before.HangConnections == b.HangConnections {
		return nil
	}
	d.platform.mu.Lock()
	defer d.platform.mu.Unlock()
	var err error
	for _, e := range d.platform.endpoints {
		if e.destination != d {
			continue
		}
		for _, listener := range e.listeners {
			err = errors.Join(err, listener.apply(b))
		}
	}
	return err
}

// apply has the listener treat connections by a behaviour.
func (l *endpointListener) apply(b Behaviour) error {
	switch {
	case b.RefuseConnections:
		l.port.Refuse()
		return l.refuse()
	case b.HangConnections:
		return l.hang()
	}
	return l.open()
}

// QueueBehaviours sets the behaviours of the next calls, one each, before that of SetBehaviour goes on.
func (d *Destination) QueueBehaviours(behaviours ...Behaviour) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queued = append(d.queued, behaviours...)
}

// BeginOutage sets a behaviour that the checker records as an outage.
func (d *Destination) BeginOutage(b Behaviour) error {
	d.platform.Checker.RecordOutage(d.platform.Now(), d.ID)
	return d.SetBehaviour(b)
}

// EndOutage ends an outage. The destination warms up, and takes callsPerSecond once it has.
func (d *Destination) EndOutage(callsPerSecond float64) error {
	d.platform.Checker.RecordRecovery(d.platform.Now(), d.ID, callsPerSecond)
	return d.SetBehaviour(Delivers)
}

// nextBehaviour returns the behaviour for one call.
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
	d.callsInSecond++
	if d.callsInSecond <= b.PerSecond {
		return b
	}
	d.platform.Checker.RecordRateExceeded()
	rejected := Behaviour{Status: http.StatusTooManyRequests}
	if b.SendsRetryAfter {
		rejected.RetryAfter = (api.Second - now%api.Second).Duration()
	}
	return rejected
}

// The lifecycles of endpoints, as the list has them.
const (
	serving  = "SERVING"
	draining = "DRAINING"
	deleted  = "DELETED"
)

// Endpoint is one endpoint of a destination, as the list has it.
type Endpoint struct {
	Name        string
	destination *Destination
	zone        string
	lifecycle   string
	generation  int                 // of the list, at its last change
	listeners   []*endpointListener // one for each member
}

// AddEndpoint adds an endpoint to the list, and its destination if it is new.
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
	for _, v := range p.views {
		if err := v.addEndpoint(e); err != nil {
			return nil, err
		}
	}
	p.setLifecycle(e, serving)
	return e, nil
}

// Endpoints returns the endpoints of a destination that are listed.
func (p *Platform) Endpoints(id api.DestinationID) (listed []*Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if e.destination.ID == id && e.lifecycle != deleted {
			listed = append(listed, e)
		}
	}
	return listed
}

// Drain lists an endpoint as draining.
func (p *Platform) Drain(e *Endpoint) { p.changeLifecycle(e, draining) }

// Remove removes an endpoint from the list.
func (p *Platform) Remove(e *Endpoint) { p.changeLifecycle(e, deleted) }

// Relist lists an endpoint as serving again.
func (p *Platform) Relist(e *Endpoint) { p.changeLifecycle(e, serving) }

func (p *Platform) changeLifecycle(e *Endpoint, lifecycle string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setLifecycle(e, lifecycle)
}

// setLifecycle changes the list, records it and notifies the members whose discovery isn't muted.
func (p *Platform) setLifecycle(e *Endpoint, lifecycle string) {
	if len(p.views) > 0 || e.generation > 0 {
		p.generation++
	}
	before := e.lifecycle
	isServing, wasServing := lifecycle == serving, before == "" || before == serving
	switch {
	case isServing && !wasServing:
		p.Checker.RecordServing(p.Now(), e.Name)
	case !isServing && wasServing:
		p.Checker.RecordDraining(p.Now(), e.Name)
	}
	e.lifecycle, e.generation = lifecycle, p.generation
	close(p.listChanged)
	p.listChanged = make(chan struct{})
}
