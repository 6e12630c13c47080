package harness

import (
	"sync"
	"time"
)

// Fault is what befalls the bytes on their way from one member to another. Zero: none.
type Fault struct {
	HoldData          bool          // they stay where they are, and come once it is healed
	HangConnections   bool          // connections don't come up either
	RefuseConnections bool          // connections are reset, new ones refused
	Delay             time.Duration // they come so much later
	BytesPerSecond    int           // bytes
	ResetAfterBytes   int           // bytes more on each connection, then it is reset, half-way
}

// The faults by name; Late, Slow and ResetAfterBytes make those with a figure.
var (
	Partition       = Fault{HoldData: true, HangConnections: true}
	OneWayPartition = Fault{HoldData: true} // connections come up, what is asked arrives, its answer doesn't
	Refused         = Fault{RefuseConnections: true}
)

func Delayed(by time.Duration) Fault  { return Fault{Delay: by} }
func Throttled(perSecond int) Fault   { return Fault{BytesPerSecond: perSecond} }
func ResetAfterBytes(after int) Fault { return Fault{ResetAfterBytes: after} }

// memberPair is an ordered pair of members.
type memberPair struct{ from, to string }

// dataPath is the way from one member to another, whoever opened the connection.
type dataPath struct {
	mu         sync.Mutex
	fault      Fault
	generation int           // counts the changes
	changed    chan struct{} // closed at the next
}

func (f *dataPath) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	f.generation++
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *dataPath) current() (Fault, int, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault, f.generation, f.changed
}

// Network is the network between members: a link for each ordered pair and each address that one has for the
// other.
type Network struct {
	mu    sync.Mutex
	paths map[memberPair]*dataPath
	links []*link
	down  map[string]bool
}

func newNetwork() *Network {
	return &Network{paths: map[memberPair]*dataPath{}, down: map[string]bool{}}
}

func (n *Network) pathBetween(from, to string) *dataPath {
	k := memberPair{from, to}
	if n.paths[k] == nil {
		n.paths[k] = &dataPath{changed: make(chan struct{})}
	}
	return n.paths[k]
}

// SetFault has a fault befall what one member sends another, in place of the one before.
func (n *Network) SetFault(from, to string, fault Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pathBetween(from, to).set(fault)
	n.updateLinks()
}

// SetFaultBetween sets it both ways.
func (n *Network) SetFaultBetween(a, b string, fault Fault) {
	n.SetFault(a, b, fault)
	n.SetFault(b, a, fault)
}

// Isolate sets it both ways between each of some members and all others that have links.
func (n *Network) Isolate(fault Fault, some ...string) {
	in := map[string]bool{}
	for _, m := range some {
		in[m] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, f := range n.paths {
		if in[k.from] != in[k.to] {
			f.set(fault)
		}
	}
	n.updateLinks()
}

// Heal ends all faults.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.paths {
		f.set(Fault{})
	}
	n.updateLinks()
}

// setDown has links to a member whose process has ended refuse, as its own address would.
func (n *Network) setDown(member string, is bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[member] = is
	n.updateLinks()
}

func (n *Network) updateLinks() {
	for _, l := range n.links {
		there, _, _ := l.forward.current()
		back, _, _ := l.backward.current()
		switch {
		case there.RefuseConnections || n.down[l.to] && !there.HoldData:
			l.setMode(refusing)
		case there.HoldData && there.HangConnections || back.HoldData && back.HangConnections:
			l.setMode(hanging)
		default:
			l.setMode(open)
		}
	}
}

// close ends all links.
func (n *Network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.setMode(refusing)
		l.port.Close()
	}
}
