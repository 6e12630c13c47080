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

// NodeOptions configures a Node.
type NodeOptions struct {
	Settings *settings.Process
	Storage  Storage
	Client   *rpc.Client
	Mux      *http.ServeMux // gets the handlers of calls from other nodes; has to be served at Settings.InternalAddress
	Log      *zerolog.Logger
	// Committed is called with each newer record that this process's own changes and reads have found to be committed,
	// in order of revision. It isn't called with revision 0, the empty register. It must not call Change or Read.
	Committed func(state.Record)
	// Peers returns the live processes that may have a replica, this one among them.
	Peers func() []Peer
}

// Peer is a process that may have a replica.
type Peer struct {
	Address string // host:port for calls between the system's processes
	Zone    string
}

// FailureDetector says at which addresses no process lives. It may be mistaken: that can cost a live replica its vote
// for a while, but never loses the record. Its methods are called concurrently.
type FailureDetector interface {
	// IsDown reports that no process lives at the address. A learner may take over the vote of the replica there.
	IsDown(address string) bool
	// IsExpired reports that the address has been down for so long that no member remembers it. Two such voters may be
	// removed without replacement.
	IsExpired(address string) bool
}

// Node is one process's participation in the register: its replica, and the changes and reads that it makes. It is safe
// for concurrent use.
type Node struct {
	settings        *settings.Process
	log             *zerolog.Logger
	storage         Storage
	listPeers       func() []Peer
	transport       Transport
	acceptor        *Acceptor
	proposer        *Proposer
	notifier        *commitNotifier
	failureDetector atomic.Pointer[FailureDetector]
	caughtUp        atomic.Bool   // the replica, a learner, has read the record from a majority since the start
	transferring    atomic.Bool   // the replica gives up its vote and takes none any more
	votersChanged   chan struct{} // signals newer committed voters, or a newer record that was learned
	stop            context.CancelFunc
}

// Start starts a node. The replica's state is loaded in the background; a replica that is no voter becomes a learner.
// The node runs until the context ends or Close is called.
func Start(ctx context.Context, options NodeOptions) (*Node, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	transport := &rpcTransport{client: options.Client, own: options.Settings.InternalAddress()}
	node, server := newNode(ctx, options, transport)
	transport.local = server
	registerHandlers(options.Mux, server)
	node.start()
	return node, nil
}

func (o *NodeOptions) validate() error {
	switch {
	case o.Settings == nil, o.Storage == nil, o.Client == nil, o.Mux == nil, o.Log == nil:
		return errors.New("register: settings, storage, client, mux and log are needed")
	}
	return nil
}

// newNode returns a node that calls others over the transport, and the server that answers their calls.
func newNode(ctx context.Context, options NodeOptions, transport Transport) (*Node, Server) {
	lifetime, stop := context.WithCancel(ctx)
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
	n.proposer = newProposer(lifetime, rand.Text(), transport, n.notifier, n.signalChange)
	return n, &server{node: n}
}

// start starts the background work, which ends with the node's lifetime.
func (n *Node) start() {
	lifetime := n.proposer.lifetime
	context.AfterFunc(lifetime, func() {
		n.acceptor.Close()
		n.proposer.close()
	})
	go n.runReplica(lifetime)
}

// Close stops the node. Calls in flight fail; their changes may have taken effect.
func (n *Node) Close() { n.stop() }

// Change applies an update to the record: see Proposer.Change.
func (n *Node) Change(ctx context.Context, update Update) (state.Record, error) {
	return n.proposer.Change(ctx, update)
}

// Read returns the committed record: see Proposer.Read.
func (n *Node) Read(ctx context.Context) (state.Record, error) { return n.proposer.Read(ctx) }

// Learn takes a committed record that another process has published. NodeOptions.Committed isn't called with it.
func (n *Node) Learn(record state.Record) {
	if n.notifier.advance(record) {
		n.proposer.observeVoters(record.Voters)
		n.signalChange()
	}
}

// Latest returns the newest record that this process knows to be committed, without calling others, and false before
// there is one. A record of revision 0 says that a majority has nothing stored yet.
func (n *Node) Latest() (state.Record, bool) {
	latest := n.notifier.latest.Load()
	if latest == nil {
		return state.Record{}, false
	}
	return *latest, true
}

// UncommittedRevision returns the revision that this process's replica has accepted, and whether the process doesn't
// know it to be committed. That is so for a moment during each change. If it lasts, the proposer of the change has
// stopped before publishing the result; Read then finds out which record is committed and finishes what was left. A
// joint proposal counts as uncommitted until it is succeeded by one without outgoing voters.
func (n *Node) UncommittedRevision() (revision uint64, uncommitted bool) {
	own, loaded := n.acceptor.State()
	if !loaded {
		return 0, false
	}
	revision = own.Proposal.Record.Revision
	latest, _ := n.Latest()
	return revision, revision > latest.Revision
}

// Voters returns the newest set of voters known to be committed, empty before one is known.
func (n *Node) Voters() state.ReplicaSet { return n.proposer.voters() }

// IsVoter reports whether this process's replica is a voter of the newest known set.
func (n *Node) IsVoter() bool {
	own, ok := n.acceptor.State()
	return ok && n.Voters().Contains(own.ReplicaID)
}

// SetFailureDetector sets the failure detector. Before that, all addresses are taken to be live.
func (n *Node) SetFailureDetector(detector FailureDetector) {
	n.failureDetector.Store(&detector)
}

func (n *Node) isDown(address string) bool {
	detector := n.failureDetector.Load()
	return detector != nil && (*detector).IsDown(address)
}

func (n *Node) isExpired(address string) bool {
	detector := n.failureDetector.Load()
	return detector != nil && (*detector).IsExpired(address)
}

// peers returns the live processes that may have a replica.
func (n *Node) peers() []Peer {
	if n.listPeers == nil {
		return nil
	}
	return n.listPeers()
}

// signalChange wakes the background work.
func (n *Node) signalChange() {
	select {
	case n.votersChanged <- struct{}{}:
	default:
	}
}
