package harness

import (
	"sync"
	"time"
)

// Fault is a fault of the link from one member to another. The zero value is no fault.
type Fault struct {
	HoldData          bool          // it is held back, and arrives once the fault is over
	HangConnections   bool          // new connections aren't established
	RefuseConnections bool          // connections are reset, new ones refused
	Delay             time.Duration // it arrives so much later
	BytesPerSecond    int           // 0: unlimited
	ResetAfterBytes   int           // each connection is reset after so many more bytes; 0: never
}

// The faults without a parameter.
var (
	Partition       = Fault{HoldData: true, HangConnections: true}
	OneWayPartition = Fault{HoldData: true} // connections are established, requests arrive, responses don't
	Refused         = Fault{RefuseConnections: true}
)

// Delayed returns a fault that delays data.
func Delayed(by time.Duration) Fault { return Fault{Delay: by} }

// Throttled returns a fault that limits the rate of data.
func Throttled(bytesPerSecond int) Fault { return Fault{BytesPerSecond: bytesPerSecond} }

// ResetAfterBytes returns a fault that resets each connection after some bytes, in the midst of a message.
func ResetAfterBytes(bytes int) Fault { return Fault{ResetAfterBytes: bytes} }

// memberPair is an ordered pair of members.
type memberPair struct{ from, to string }

// dataPath is the path of data from one member to another, whichever of them opened the connection.
type dataPath struct {
	mu         sync.Mutex
	fault      Fault
	generation int           // number of changes of the fault
	changed    chan struct{} // closed at the next change
}

func (p *dataPath) set(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	p.generation++
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *dataPath) current() (fault Fault, generation int, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.generation, p.changed
}

// Network is the network between members: a link for each ordered pair of members and each address that one has for
// the other.
type Network struct {
	mu    sync.Mutex
	paths map[memberPair]*dataPath
	links []*link
	down  map[string]bool // members whose process has ended
}

func newNetwork() *Network {
	return &Network{paths: map[memberPair]*dataPath{}, down: map[string]bool{}}
}

// pathBetween returns the path between two members, which it adds if it is new.
func (n *Network) pathBetween(from, to string) *dataPath {
	pair := memberPair{from, to}
	if n.paths[pair] == nil {
		n.paths[pair] = &dataPath{changed: make(chan struct{})}
	}
	return n.paths[pair]
}

// SetFault replaces the fault of what one member sends to another.
func (n *Network) SetFault(from, to string, fault Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pathBetween(from, to).set(fault)
	n.updateLinks()
}

// SetFaultBetween replaces the fault in both directions.
func (n *Network) SetFaultBetween(a, b string, fault Fault) {
	n.SetFault(a, b, fault)
	n.SetFault(b, a, fault)
}

// Isolate sets a fault, in both directions, between some members and all others that they have links with.
func (n *Network) Isolate(fault Fault, members ...string) {
	isolated := map[string]bool{}
	for _, m := range members {
		isolated[m] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for pair, path := range n.paths {
		if isolated[pair.from] != isolated[pair.to] {
			path.set(fault)
		}
	}
	n.updateLinks()
}

// Heal ends all faults.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, path := range n.paths {
		path.set(Fault{})
	}
	n.updateLinks()
}

// setDown has links to a member whose process has ended refuse connections, as its own address would.
func (n *Network) setDown(member string, isDown bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[member] = isDown
	n.updateLinks()
}

func (n *Network) updateLinks() {
	for _, l := range n.links {
		forward, _, _ := l.forward.current()
		backward, _, _ := l.backward.current()
		switch {
		case forward.RefuseConnections || n.down[l.to] && !forward.HoldData:
			l.setMode(refusing)
		case forward.HoldData && forward.HangConnections || backward.HoldData && backward.HangConnections:
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
		_ = l.port.Close() // nothing more can be done about it
	}
}
