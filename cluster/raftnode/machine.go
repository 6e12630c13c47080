package raftnode

import (
	"errors"
	"io"
	"log/slog"

	"github.com/hashicorp/raft"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	transportpkg "rowanlink/cluster/transport"
)

// entryFormat rises when an older program could no longer apply an entry of the log.
const entryFormat = 2 // 2: destinations that stand together

// entryHeader goes with each entry, beside its command.
type entryHeader struct {
	Format int `cbor:"1,keyasint"`
}

// applyResult is what became of an entry.
type applyResult struct {
	response    []byte
	err         error
	sessionLive bool // of an open: the session has its term
}

// stateMachine is what raft feeds: the fleet's state, and this keeper's terms beside it.
type stateMachine struct{ *Node }

var errNewerFormat = errors.New("the log has entries of a newer program")

// Apply does one entry.
func (m stateMachine) Apply(l *raft.Log) any {
	k := m.Node
	k.mu.Lock()
	defer k.mu.Unlock()
	var a entryHeader
	if err := transportpkg.Decode(l.Extensions, &a); err != nil || a.Format > entryFormat {
		k.halt(l.Index, a.Format)
	}
	if k.haltErr != nil {
		return applyResult{err: k.haltErr}
	}
	var did applyResult
	before := k.captureOrder(l.Data)
	if did.response, did.err = k.machine.Apply(l.Index, l.Data); did.err == nil {
		k.recordOutcome(before, &did)
		k.notifyStateChange()
	}
	return did
}

// broken: nothing is applied from there on, nor kept in a snapshot: a program that can read it goes on.
func (k *Node) halt(index uint64, format int) {
	if k.haltErr == nil {
		k.haltErr, k.leaderTerm = errNewerFormat, 0
		k.deadlines.StopLeading()
		slog.Error("keeper halts: an entry of the log is of a newer program", "index", index, "format", format,
			"reads", entryFormat)
	}
}

// orderContext is an order to the book, and how what it is about stood before it.
type orderContext struct {
	lease.Operation
	member cluster.MemberID
	tasks  []cluster.Resource
	epochs map[cluster.Resource]cluster.Epoch
}

func (k *Node) captureOrder(command []byte) (b orderContext) {
	var c cluster.Command
	if transportpkg.Decode(command, &c) != nil || c.Component != cluster.LeaseComponent || transportpkg.Decode(c.Body, &b.Operation) != nil {
		return orderContext{}
	}
	b.member, b.epochs = k.leases.MemberOf(b.Session), map[cluster.Resource]cluster.Epoch{}
	switch b.Kind {
	case lease.OpEndSession, lease.OpExpireSession:
		b.tasks = k.leases.ResourcesOf(b.Session)
	case lease.OpAcquire:
		for _, t := range b.Resources {
			b.epochs[t] = k.leases.LastEpoch(t)
		}
	}
	return b
}

// recordOutcome keeps the terms up with what the book did, and says it where this keeper leads.
func (k *Node) recordOutcome(b orderContext, did *applyResult) {
	answer, err := lease.DecodeResult(did.response)
	if b.Kind == 0 || err != nil {
		return
	}
	switch b.Kind {
	case lease.OpOpenSession:
		did.sessionLive = k.deadlines.AddOrRenew(answer.Session, k.clock())
		k.reportEvent(&k.SessionsOpened, "session opened", "member", b.Member, "session", answer.Session)
	case lease.OpEndSession, lease.OpExpireSession:
		k.deadlines.Remove(b.Session)
		k.reportEvent(&k.SessionsEnded, "session ended", "member", b.member, "session", b.Session, "tasks", len(b.tasks))
		for _, t := range b.tasks {
			k.reportEvent(&k.LeasesReleased, "lease ended", "task", t, "epoch", k.leases.LastEpoch(t), "member", b.member)
		}
	case lease.OpAcquire:
		for _, g := range answer.Grants {
			if g.Epoch > b.epochs[g.Resource] {
				k.reportEvent(&k.LeasesGranted, "lease granted", "task", g.Resource, "epoch", g.Epoch, "member", b.member,
					"session", b.Session)
			}
		}
	case lease.OpRelease:
		k.reportEvent(&k.LeasesReleased, "lease released", "task", b.Resources[0], "epoch", b.Epoch, "member", b.member)
	}
}

// Snapshot is the whole state at this entry.
func (m stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.haltErr != nil {
		return nil, m.haltErr
	}
	raw, err := m.machine.Snapshot()
	return encodedSnapshot(raw), err
}

// Restore puts a snapshot in the state's place.
func (m stateMachine) Restore(from io.ReadCloser) error {
	defer from.Close()
	raw, err := io.ReadAll(io.LimitReader(from, maxSnapshotSize))
	if err != nil {
		return err
	}
	k := m.Node
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.machine.Restore(raw); err != nil {
		k.restoreErr = err
		return err
	}
	k.notifyStateChange()
	return nil
}

const maxSnapshotSize = 1 << 30

// encodedSnapshot is a snapshot on its way to disk.
type encodedSnapshot []byte

func (i encodedSnapshot) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(i); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

func (i encodedSnapshot) Release() {}

var _ raft.FSM = stateMachine{}

// newLogEntry is a command as it goes into the log.
func newLogEntry(c cluster.Command) raft.Log {
	return raft.Log{Data: fsm.EncodeCommand(c), Extensions: transportpkg.Encode(entryHeader{entryFormat})}
}
