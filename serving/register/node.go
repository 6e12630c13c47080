package register

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rowanlink/serving/rpc"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
)

// NodeOptions is what a process needs to take part in the register.
type NodeOptions struct {
	Settings *settings.Process
	Storage  Storage
	Client   *rpc.Client
	Mux      *http.ServeMux // where the calls of other replicas are answered; it has to be served at InnerAddress
	Log      *zerolog.Logger
	// Committed is called with each newer record that this process has found to be committed, in order, by changes
	// and reads of its own. It must not call Change or Read. Revision 0, "nothing yet", is not told.
	Committed func(state.Record)
	// Peers returns the live processes that may hold replicas.
	Peers func() []Peer
}

// Peer is where a process that may hold a replica runs.
type Peer struct {
	Address string // host:port for calls between the system's processes
	Zone    string
}

// Node is a process's part in the register: its replica, and the changes and reads that it makes.
type Node struct {
	settings        *settings.Process
	log             *zerolog.Logger
	storage         Storage
	listPeers       func() []Peer
	transport       Transport
	acceptor        *Acceptor
	proposer        *Proposer
	notifier        *commitNotifier
	failureDetector atomic.Pointer[absences]
	caughtUp        atomic.Bool   // as a learner the replica has read the record from a majority in this life
	transferring    atomic.Bool   // the replica gives up its vote and takes none any more
	votersChanged   chan struct{} // a newer set of replicas, or for a learner a newer record, has become known
	stop            context.CancelFunc
}

// Start begins to take part: the replica's state is loaded and, where it isn't a member, it joins, in the background.
// The node ends with the context or Close.
func Start(ctx context.Context, options NodeOptions) (*Node, error) {
	if options.Settings == nil || options.Storage == nil || options.Client == nil || options.Mux == nil || options.Log == nil {
		return nil, errors.New("register: settings, storage, client, mux and log are needed")
	}
	carrier := &rpcTransport{client: options.Client, own: options.Settings.InnerAddress()}
	node, server := newNode(ctx, options, carrier)
	carrier.local = server
	registerHandlers(options.Mux, server)
	node.start()
	return node, nil
}

// newNode makes a node that calls others over the transport. The server answers their calls.
func newNode(ctx context.Context, options NodeOptions, transport Transport) (*Node, Server) {
	ctx, stop := context.WithCancel(ctx)
	n := &Node{
		settings:      options.Settings,
		log:           options.Log,
		storage:       options.Storage,
		listPeers:     options.Peers,
		transport:     transport,
		acceptor:      NewAcceptor(options.Storage, options.Log),
		notifier:      &commitNotifier{onCommitted: options.Committed},
		votersChanged: make(chan struct{}, 1),
		stop:          stop,
	}
	n.proposer = newProposer(ctx, rand.Text(), transport, n.notifier, n.signalChange)
	return n, &server{node: n}
}

// start starts the background work.
func (n *Node) start() {
	life := n.proposer.lifetime
	context.AfterFunc(life, func() {
		n.acceptor.Close()
		n.proposer.close()
	})
	go n.runReplica(life)
}

// Close ends the node. Calls under way fail; their changes may be in force.
func (n *Node) Close() { n.stop() }

// Change applies an update to the record: see Proposer.Change.
func (n *Node) Change(ctx context.Context, update Update) (state.Record, error) {
	return n.proposer.Change(ctx, update)
}

// Read returns the record in force: see Proposer.Read.
func (n *Node) Read(ctx context.Context) (state.Record, error) { return n.proposer.Read(ctx) }

// Learn takes in a committed record that another process has told of. NodeOptions.Committed isn't called with it.
func (n *Node) Learn(record state.Record) {
	if n.notifier.advance(record) {
		n.proposer.observeVoters(record.Voters)
		n.signalChange()
	}
}

// Latest returns the newest record that this process knows to be committed, without asking anybody; false before the
// first one. A record of revision 0 says that a majority holds nothing yet.
func (n *Node) Latest() (state.Record, bool) {
	latest := n.notifier.latest.Load()
	if latest == nil {
		return state.Record{}, false
	}
	return *latest, true
}

// Voters returns the newest set of replicas that is known to be in force; empty before one is known.
func (n *Node) Voters() state.ReplicaSet { return n.proposer.voters() }

// IsVoter tells whether this process's replica votes in the newest known set.
func (n *Node) IsVoter() bool {
	own, ok := n.acceptor.State()
	return ok && n.Voters().Contains(own.ReplicaID)
}

// absences is what a process knows of addresses at which nobody lives.
type absences struct{ absent, forgotten func(address string) bool }

// SetAbsence sets how the node learns that no process lives at an address, and that this has been so for so long that
// nobody knows it any more. The vote of an absent replica may be given to a learner; two that are forgotten may be
// left out. A wrong answer costs a replica its vote for a while, never the record.
func (n *Node) SetAbsence(absent, forgotten func(address string) bool) {
	n.failureDetector.Store(&absences{absent: absent, forgotten: forgotten})
}

// isAbsent tells whether nobody lives at an address; all are taken for live before SetAbsence.
func (n *Node) isAbsent(address string) bool {
	known := n.failureDetector.Load()
	return known != nil && known.absent(address)
}

func (n *Node) isForgotten(address string) bool {
	known := n.failureDetector.Load()
	return known != nil && known.forgotten(address)
}

// signalChange wakes the background work after a newer set of replicas has become known.
func (n *Node) signalChange() {
	select {
	case n.votersChanged <- struct{}{}:
	default:
	}
}
