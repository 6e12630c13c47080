package raftnode

import (
	"errors"
	"io"
	"log/slog"

	"github.com/hashicorp/raft"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/transport"
)

// entryFormat is the version of the log entries' format. A change after which older versions of the program can't apply
// new entries must raise it. Version 2 added placement groups: destinations that are placed together.
const entryFormat = 2

// entryHeader is stored with each entry, in raft.Log.Extensions; the command is in raft.Log.Data.
type entryHeader struct {
	Format int `cbor:"1,keyasint"`
}

// newLogEntry returns the log entry of a command.
func newLogEntry(command cluster.Command) raft.Log {
	return raft.Log{Data: fsm.EncodeCommand(command), Extensions: transport.Encode(entryHeader{entryFormat})}
}

// applyResult is what Apply returns for an entry. raft passes it on to the proposer, if that is on this node.
type applyResult struct {
	response    []byte
	err         error
	sessionLive bool // after OpOpenSession: this node leads, and the session is not being ended
}

// resultOf returns the result of an entry that was applied. The type assertion can't fail: Apply returns no other type.
func resultOf(future raft.ApplyFuture) applyResult { return future.Response().(applyResult) }

// stateMachine implements raft.FSM. It applies entries to the replicated state, and updates the session deadlines, which
// are local to the node.
type stateMachine struct{ *Node }

var _ raft.FSM = stateMachine{}

var errNewerFormat = errors.New("the log has entries of a newer version of the program")

// Apply applies one entry and returns an applyResult. An entry of a newer format halts the node.
func (m stateMachine) Apply(entry *raft.Log) any {
	n := m.Node
	n.mu.Lock()
	defer n.mu.Unlock()
	var header entryHeader
	err := transport.Decode(entry.Extensions, &header)
	if err != nil || header.Format > entryFormat {
		n.halt(entry.Index, header.Format)
	}
	if n.haltErr != nil {
		return applyResult{err: n.haltErr}
	}
	var result applyResult
	operation := n.captureOperation(entry.Data)
	result.response, result.err = n.machine.Apply(entry.Index, entry.Data)
	if result.err == nil {
		result.sessionLive = n.trackLeases(operation, result.response)
		n.notifyStateChange()
	}
	return result
}

// halt makes the node stop applying entries, writing snapshots and leading. The log then still has the entry that this
// version of the program can't read, and a newer version that is started later applies it. The caller holds the lock.
func (n *Node) halt(index uint64, format int) {
	if n.haltErr != nil {
		return
	}
	n.haltErr, n.leaderTerm = errNewerFormat, 0
	n.deadlines.StopLeading()
	slog.Error("raft node halted: a log entry is of a newer version of the program",
		"index", index, "format", format, "supported", entryFormat)
}

// haltCause returns the error that halted the node, or nil.
func (n *Node) haltCause() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.haltErr
}

// leaseOperation is an operation on the lease table, with the parts of the table's state before the operation that the
// log messages about it need.
type leaseOperation struct {
	lease.Operation
	member    cluster.MemberID                   // owner of the session
	resources []cluster.Resource                 // of an operation that ends a session: the leases it held
	epochs    map[cluster.Resource]cluster.Epoch // of OpAcquire: the last epoch of each requested resource
}

// captureOperation decodes a command to the lease table and records the state before it. It returns the zero value for a
// command to another component and for one that can't be decoded.
func (n *Node) captureOperation(raw []byte) leaseOperation {
	var command cluster.Command
	var operation leaseOperation
	if transport.Decode(raw, &command) != nil || command.Component != cluster.LeaseComponent {
		return leaseOperation{}
	}
	if transport.Decode(command.Body, &operation.Operation) != nil {
		return leaseOperation{}
	}
	operation.member = n.leases.MemberOf(operation.Session)
	operation.epochs = map[cluster.Resource]cluster.Epoch{}
	switch operation.Kind {
	case lease.OpEndSession, lease.OpExpireSession:
		operation.resources = n.leases.ResourcesOf(operation.Session)
	case lease.OpAcquire:
		for _, resource := range operation.Resources {
			operation.epochs[resource] = n.leases.LastEpoch(resource)
		}
	}
	return operation
}

// trackLeases updates the session deadlines after an operation, and counts and logs the change. See
// applyResult.sessionLive for what it returns.
func (n *Node) trackLeases(operation leaseOperation, response []byte) (sessionLive bool) {
	result, err := lease.DecodeResult(response)
	if operation.Kind == 0 || err != nil {
		return false
	}
	switch operation.Kind {
	case lease.OpOpenSession:
		sessionLive = n.deadlines.AddOrRenew(result.Session, n.clock())
		n.reportEvent(&n.SessionsOpened, "session opened", "member", operation.Member, "session", result.Session)
	case lease.OpEndSession, lease.OpExpireSession:
		n.deadlines.Remove(operation.Session)
		n.reportSessionEnd(operation)
	case lease.OpAcquire:
		n.reportGrants(operation, result.Grants)
	case lease.OpRelease:
		n.reportEvent(&n.LeasesReleased, "lease released",
			"resource", operation.Resources[0], "epoch", operation.Epoch, "member", operation.member)
	}
	return sessionLive
}

func (n *Node) reportSessionEnd(operation leaseOperation) {
	n.reportEvent(&n.SessionsEnded, "session ended",
		"member", operation.member, "session", operation.Session, "leases", len(operation.resources))
	for _, resource := range operation.resources {
		n.reportEvent(&n.LeasesReleased, "lease ended",
			"resource", resource, "epoch", n.leases.LastEpoch(resource), "member", operation.member)
	}
}

func (n *Node) reportGrants(operation leaseOperation, grants []lease.Grant) {
	for _, grant := range grants {
		if grant.Epoch > operation.epochs[grant.Resource] {
			n.reportEvent(&n.LeasesGranted, "lease granted", "resource", grant.Resource,
				"epoch", grant.Epoch, "member", operation.member, "session", operation.Session)
		}
	}
}

// Snapshot returns the complete state after the last applied entry. A halted node writes no snapshot.
func (m stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.haltErr != nil {
		return nil, m.haltErr
	}
	raw, err := m.machine.Snapshot()
	return encodedSnapshot(raw), err
}

// maxSnapshotSize bounds a snapshot, in bytes.
const maxSnapshotSize = 1 << 30

// Restore replaces the state by a snapshot.
func (m stateMachine) Restore(from io.ReadCloser) error {
	defer func() { _ = from.Close() }() // an error of Close loses nothing: a failed read is returned below
	raw, err := io.ReadAll(io.LimitReader(from, maxSnapshotSize))
	if err != nil {
		return err
	}
	n := m.Node
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.machine.Restore(raw); err != nil {
		n.restoreErr = err
		return err
	}
	n.notifyStateChange()
	return nil
}

// encodedSnapshot implements raft.FSMSnapshot.
type encodedSnapshot []byte

// Persist writes the snapshot to disk.
func (s encodedSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing: the garbage collector frees the snapshot.
func (s encodedSnapshot) Release() {}
