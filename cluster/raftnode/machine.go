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

// about goes with each entry, beside its command.
type about struct {
	Format int `cbor:"1,keyasint"`
}

// applied is what became of an entry.
type applied struct {
	answer []byte
	err    error
	lives  bool // of an open: the session has its term
}

// machine is what raft feeds: the fleet's state, and this keeper's terms beside it.
type machine struct{ *Keeper }

var errNewer = errors.New("the log has entries of a newer program")

// Apply does one entry.
func (m machine) Apply(l *raft.Log) any {
	k := m.Keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	var a about
	if err := transportpkg.Decode(l.Extensions, &a); err != nil || a.Format > entryFormat {
		k.broken(l.Index, a.Format)
	}
	if k.halted != nil {
		return applied{err: k.halted}
	}
	var did applied
	before := k.before(l.Data)
	if did.answer, did.err = k.state.Apply(l.Index, l.Data); did.err == nil {
		k.took(before, &did)
		k.changed()
	}
	return did
}

// broken: nothing is applied from there on, nor kept in a snapshot: a program that can read it goes on.
func (k *Keeper) broken(index uint64, format int) {
	if k.halted == nil {
		k.halted, k.reign = errNewer, 0
		k.terms.StopLeading()
		slog.Error("keeper halts: an entry of the log is of a newer program", "index", index, "format", format,
			"reads", entryFormat)
	}
}

// before is an order to the book, and how what it is about stood before it.
type before struct {
	lease.Operation
	member cluster.MemberID
	tasks  []cluster.Resource
	epochs map[cluster.Resource]cluster.Epoch
}

func (k *Keeper) before(command []byte) (b before) {
	var c cluster.Command
	if transportpkg.Decode(command, &c) != nil || c.Component != cluster.LeaseComponent || transportpkg.Decode(c.Body, &b.Operation) != nil {
		return before{}
	}
	b.member, b.epochs = k.book.MemberOf(b.Session), map[cluster.Resource]cluster.Epoch{}
	switch b.Kind {
	case lease.OpEndSession, lease.OpExpireSession:
		b.tasks = k.book.ResourcesOf(b.Session)
	case lease.OpAcquire:
		for _, t := range b.Resources {
			b.epochs[t] = k.book.LastEpoch(t)
		}
	}
	return b
}

// took keeps the terms up with what the book did, and says it where this keeper leads.
func (k *Keeper) took(b before, did *applied) {
	answer, err := lease.DecodeResult(did.answer)
	if b.Kind == 0 || err != nil {
		return
	}
	switch b.Kind {
	case lease.OpOpenSession:
		did.lives = k.terms.AddOrRenew(answer.Session, k.clock())
		k.said(&k.Opened, "session opened", "member", b.Member, "session", answer.Session)
	case lease.OpEndSession, lease.OpExpireSession:
		k.terms.Remove(b.Session)
		k.said(&k.Ended, "session ended", "member", b.member, "session", b.Session, "tasks", len(b.tasks))
		for _, t := range b.tasks {
			k.said(&k.Released, "lease ended", "task", t, "epoch", k.book.LastEpoch(t), "member", b.member)
		}
	case lease.OpAcquire:
		for _, g := range answer.Grants {
			if g.Epoch > b.epochs[g.Resource] {
				k.said(&k.Granted, "lease granted", "task", g.Resource, "epoch", g.Epoch, "member", b.member,
					"session", b.Session)
			}
		}
	case lease.OpRelease:
		k.said(&k.Released, "lease released", "task", b.Resources[0], "epoch", b.Epoch, "member", b.member)
	}
}

// Snapshot is the whole state at this entry.
func (m machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.halted != nil {
		return nil, m.halted
	}
	raw, err := m.state.Snapshot()
	return image(raw), err
}

// Restore puts a snapshot in the state's place.
func (m machine) Restore(from io.ReadCloser) error {
	defer from.Close()
	raw, err := io.ReadAll(io.LimitReader(from, mostSnapshot))
	if err != nil {
		return err
	}
	k := m.Keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.state.Restore(raw); err != nil {
		k.refused = err
		return err
	}
	k.changed()
	return nil
}

const mostSnapshot = 1 << 30

// image is a snapshot on its way to disk.
type image []byte

func (i image) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(i); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

func (i image) Release() {}

var _ raft.FSM = machine{}

// entry is a command as it goes into the log.
func entry(c cluster.Command) raft.Log {
	return raft.Log{Data: fsm.Encode(c), Extensions: transportpkg.Encode(about{entryFormat})}
}
