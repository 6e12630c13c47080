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
	Mux      *http.ServeMux // Start adds the handlers of other nodes' calls; has to be served at Settings.InternalAddress
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

// FailureDetector reports at which addresses no process is running. It may be wrong: a live replica can then lose its
// vote for a while, but the record is never lost. Its methods are called concurrently.
type FailureDetector interface {
	// IsDown reports whether no process is running at the address. If so, a learner may take over the vote of the
	// replica there.
	IsDown(address string) bool
	// IsExpired reports whether the address has been down for so long that no member lists it any more. Two such voters
	// may be removed without replacement.
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
	caughtUp        atomic.Bool   // the replica is a learner that has read the record from a majority since its start
	transferring    atomic.Bool   // the replica is giving up its vote, and claims none again
	recordChanged   chan struct{} // signals newer committed voters, or a newer record that was learned
	stop            context.CancelFunc
}

// Start starts a node. The replica's state is loaded in the background; a replica that isn't a voter becomes a learner.
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
		return errors.New("register: settings, storage, client, mux and log are required")
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
		recordChanged: make(chan struct{}, 1),
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

// Close stops the node. Calls in flight fail, but their changes may have taken effect.
func (n *Node) Close() { n.stop() }

// Change applies an update to the record: see Proposer.Change.
func (n *Node) Change(ctx context.Context, update Update) (state.Record, error) {
	return n.proposer.Change(ctx, update)
}

// Read returns the committed record: see Proposer.Read.
func (n *Node) Read(ctx context.Context) (state.Record, error) { return n.proposer.Read(ctx) }

// Learn stores, in memory, a committed record that another process has published, if it is newer than the latest known
// one. NodeOptions.Committed isn't called with it.
func (n *Node) Learn(record state.Record) {
	if n.notifier.storeIfNewer(record) {
		n.proposer.observeVoters(record.Voters)
		n.signalChange()
	}
}

// Latest returns the newest record that this process knows to be committed, without calling other processes, and false
// if it knows none. A record of revision 0 means that a majority has confirmed that the register is empty.
func (n *Node) Latest() (state.Record, bool) {
	latest := n.notifier.latest.Load()
	if latest == nil {
		return state.Record{}, false
	}
	return *latest, true
}

// UncommittedRevision returns the revision that this process's replica has accepted, and whether the process doesn't
// know that revision to be committed. During each change that is normal for a moment. If it lasts, the proposer of the
// change has stopped before publishing the result; Read then determines which record is committed and completes what
// was left unfinished. A joint proposal counts as uncommitted until a proposal without outgoing voters succeeds it.
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

// SetFailureDetector sets the failure detector. Until then, all addresses count as live.
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

// signalChange wakes the background work (see runReplica).
func (n *Node) signalChange() {
	select {
	case n.recordChanged <- struct{}{}:
	default:
	}
}
