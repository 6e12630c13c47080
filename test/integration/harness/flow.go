package harness

import (
	"sync"
	"time"
)

// Fault is what befalls the bytes on their way from one member to another. Zero: none.
type Fault struct {
	Hold       bool          // they stay where they are, and come once it is healed
	Hang       bool          // connections don't come up either
	Refuse     bool          // connections are reset, new ones refused
	Late       time.Duration // they come so much later
	PerSecond  int           // bytes
	ResetAfter int           // bytes more on each connection, then it is reset, half-way
}

// The faults by name; Late, Slow and HalfWay make those with a figure.
var (
	Cut    = Fault{Hold: true, Hang: true}
	OneWay = Fault{Hold: true} // connections come up, what is asked arrives, its answer doesn't
	Refuse = Fault{Refuse: true}
)

func Late(by time.Duration) Fault { return Fault{Late: by} }
func Slow(perSecond int) Fault    { return Fault{PerSecond: perSecond} }
func HalfWay(after int) Fault     { return Fault{ResetAfter: after} }

// pair is an ordered pair of members.
type pair struct{ from, to string }

// flow is the way from one member to another, whoever opened the connection.
type flow struct {
	mu      sync.Mutex
	fault   Fault
	turn    int           // counts the changes
	changed chan struct{} // closed at the next
}

func (f *flow) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	f.turn++
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *flow) now() (Fault, int, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault, f.turn, f.changed
}

// Net is the network between members: a link for each ordered pair and each address that one has for the
// other.
type Net struct {
	mu    sync.Mutex
	flows map[pair]*flow
	links []*link
	down  map[string]bool
}

func newNet() *Net { return &Net{flows: map[pair]*flow{}, down: map[string]bool{}} }

func (n *Net) flow(from, to string) *flow {
	k := pair{from, to}
	if n.flows[k] == nil {
		n.flows[k] = &flow{changed: make(chan struct{})}
	}
	return n.flows[k]
}

// Set has a fault befall what one member sends another, in place of the one before.
func (n *Net) Set(from, to string, fault Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.flow(from, to).set(fault)
	n.apply()
}

// Between sets it both ways.
func (n *Net) Between(a, b string, fault Fault) {
	n.Set(a, b, fault)
	n.Set(b, a, fault)
}

// Apart sets it both ways between each of some members and all others that have links.
func (n *Net) Apart(fault Fault, some ...string) {
	in := map[string]bool{}
	for _, m := range some {
		in[m] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, f := range n.flows {
		if in[k.from] != in[k.to] {
			f.set(fault)
		}
	}
	n.apply()
}

// Heal ends all faults.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.flows {
		f.set(Fault{})
	}
	n.apply()
}

// gone has links to a member whose process has ended refuse, as its own address would.
func (n *Net) gone(member string, is bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[member] = is
	n.apply()
}

func (n *Net) apply() {
	for _, l := range n.links {
		there, _, _ := l.there.now()
		back, _, _ := l.back.now()
		switch {
		case there.Refuse || n.down[l.to] && !there.Hold:
			l.enter(refusing)
		case there.Hold && there.Hang || back.Hold && back.Hang:
			l.enter(hanging)
		default:
			l.enter(open)
		}
	}
}

// close ends all links.
func (n *Net) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.enter(refusing)
		l.at.Close()
	}
}
