// Package wal keeps what outlasts the process: each webhook taken on, each delivery attempt before its
// first byte, each end, and each final notice until it was heard. It is one file of records that only grows,
// now and then written anew with what is still owed. Data written survives the process without a sync.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"rowanlink/webhook/api"
)

// ErrFull is answered when no room is left for another webhook.
var ErrFull = errors.New("the journal is full")

// Log is the file and what stands in it. It belongs to one goroutine.
type Log struct {
	dir             string
	file            *os.File
	size            int // of the file
	maxSize         int
	liveSize        int // what the file would hold if written anew
	entries         map[api.WebhookID]*Entry
	pending         []byte
	needsCompaction bool // the file may lack what was noted: write it anew
}

// Open reads what an earlier life left in the folder, which is never filled beyond diskMB.
func Open(dir string, diskMB float64) (*Log, error) {
	if dir == "" {
		return nil, errors.New("journal: no folder is named")
	}
	j := &Log{dir: dir, maxSize: int(diskMB * mega), entries: map[api.WebhookID]*Entry{}}
	if err := os.Remove(j.path("new")); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	old, err := os.ReadFile(j.path("log"))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	for len(old) >= recordHead {
		n, sum := int(binary.LittleEndian.Uint32(old)), binary.LittleEndian.Uint32(old[4:])
		// A process killed in the middle of a write leaves a torn tail: nothing was done on its word.
		if n < recordHead-8 || n > len(old)-8 || crc32.ChecksumIEEE(old[8:8+n]) != sum {
			break
		}
		j.replay(old[8], api.WebhookID(binary.LittleEndian.Uint32(old[9:])), old[recordHead:8+n])
		old = old[8+n:]
	}
	if err := j.compact(); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return j, nil
}

func (j *Log) path(ending string) string { return filepath.Join(j.dir, "webhooks."+ending) }

func (j *Log) replay(kind byte, id api.WebhookID, rest []byte) {
	e := j.entries[id]
	switch {
	case kind == accepted && len(rest) >= stateLen:
		j.put(&Entry{ID: id, Attempts: int(binary.LittleEndian.Uint16(rest)),
			MayHaveRunAt:    api.Micros(binary.LittleEndian.Uint64(rest[2:])),
			Zone:            api.ZoneID(binary.LittleEndian.Uint16(rest[10:])),
			lastCallIsFirst: rest[12] != 0, Payload: slices.Clone(rest[stateLen:])})
	case kind == ended:
		j.put(&Entry{ID: id, Finished: true, Callback: slices.Clone(rest)})
		if len(rest) == 0 {
			j.drop(id)
		}
	case e == nil:
	case kind == called && len(rest) >= 10:
		at, zone := binary.LittleEndian.Uint64(rest), binary.LittleEndian.Uint16(rest[8:])
		e.call(api.Micros(at), api.ZoneID(zone))
	case kind == named:
		j.name(e, string(rest))
	case kind == neverRan:
		e.neverRan()
	case kind == told:
		j.drop(id)
	}
}

func (j *Log) put(e *Entry) {
	j.drop(e.ID)
	j.entries[e.ID] = e
	j.liveSize += e.size()
}

func (j *Log) drop(id api.WebhookID) {
	if e := j.entries[id]; e != nil {
		j.liveSize -= e.size()
		delete(j.entries, id)
	}
}

// Entries lists what is held or owed, in the order taken.
func (j *Log) Entries() []*Entry {
	all := make([]*Entry, 0, len(j.entries))
	for _, e := range j.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *Entry) int { return int(int64(a.ID) - int64(b.ID)) })
	return all
}

// Accept notes a webhook. It fails with ErrFull where what is owed could not be written anew beside the file.
func (j *Log) Accept(id api.WebhookID, taken []byte) error {
	e := &Entry{ID: id, Payload: taken, MayHaveRunAt: api.Never}
	if 2*(j.liveSize+e.size())+j.maxSize/spare > j.maxSize {
		return ErrFull
	}
	j.put(e)
	j.pending = e.record(j.pending)
	return nil
}

// SetEventType notes the name of the event type of a webhook just accepted.
func (j *Log) SetEventType(id api.WebhookID, event string) {
	if e := j.Pending(id); e != nil && event != "" {
		j.name(e, event)
		j.pending = record(j.pending, named, id, []byte(event))
	}
}

func (j *Log) name(e *Entry, event string) {
	j.liveSize -= e.size()
	e.EventType = event
	j.liveSize += e.size()
}

// Pending is what is known of a webhook that is held; nil if it is not. It is the journal's own: to be read.
func (j *Log) Pending(id api.WebhookID) *Entry {
	if e := j.entries[id]; e != nil && !e.Finished {
		return e
	}
	return nil
}

// SetPriorAttempts notes what a webhook just accepted brings along: attempts used, and the first that may have run.
func (j *Log) SetPriorAttempts(id api.WebhookID, attempts int, mayRun api.Micros, zone api.ZoneID) {
	if e := j.Pending(id); e != nil {
		e.Attempts, e.MayHaveRunAt, e.Zone, e.lastCallIsFirst = attempts, mayRun, zone, false
		j.pending = e.record(j.pending)
	}
}

// RecordCall notes a delivery attempt before its first byte.
func (j *Log) RecordCall(id api.WebhookID, at api.Micros, zone api.ZoneID) {
	if e := j.entries[id]; e != nil {
		e.call(at, zone)
		rest := binary.LittleEndian.AppendUint64(nil, uint64(at))
		j.pending = record(j.pending, called, id, binary.LittleEndian.AppendUint16(rest, uint16(zone)))
	}
}

// RecordNeverRan notes that the last attempt is known not to have run.
func (j *Log) RecordNeverRan(id api.WebhookID) {
	if e := j.entries[id]; e != nil {
		e.neverRan()
		j.pending = record(j.pending, neverRan, id, nil)
	}
}

// Finish notes that a webhook is over, and the notice that is owed from now on, if any.
func (j *Log) Finish(id api.WebhookID, notice []byte) {
	if j.entries[id] == nil {
		return
	}
	j.put(&Entry{ID: id, Finished: true, Callback: notice})
	if len(notice) == 0 {
		j.drop(id)
	}
	j.pending = record(j.pending, ended, id, notice)
}

// CallbackDelivered notes that a notice was heard: nothing is owed any more.
func (j *Log) CallbackDelivered(id api.WebhookID) {
	j.drop(id)
	j.pending = record(j.pending, told, id, nil)
}

// Undo takes back an Accept whose Commit failed.
func (j *Log) Undo(id api.WebhookID) {
	j.drop(id)
	j.needsCompaction = true
}

// Commit writes all that was noted since the last one. Only then may it be acted on. After an error nothing
// of it counts as written; the next Commit writes all that is known anew.
func (j *Log) Commit() error {
	if len(j.pending) == 0 && !j.needsCompaction {
		return nil
	}
	if j.needsCompaction || j.size+len(j.pending)+j.liveSize > j.maxSize {
		return j.compact()
	}
	n, err := j.file.Write(j.pending)
	j.pending = j.pending[:0]
	if err != nil {
		// Guards against a kill before the next Commit: what a disk took half of before it was full was refused,
		// and its client has it delivered elsewhere.
		j.needsCompaction = true
		return fmt.Errorf("journal: %w", errors.Join(err, j.file.Truncate(int64(j.size))))
	}
	j.size += n
	return nil
}

// compact replaces the file by one with only what is owed. A kill leaves either the old one or the new one.
func (j *Log) compact() error {
	j.needsCompaction = true
	var all []byte
	for _, e := range j.Entries() {
		all = e.record(all)
	}
	f, err := os.OpenFile(j.path("new"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.Write(all); err == nil {
		err = os.Rename(j.path("new"), j.path("log"))
	}
	if err != nil {
		return errors.Join(err, f.Close(), os.Remove(j.path("new")))
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file, j.size, j.pending, j.needsCompaction = f, len(all), j.pending[:0], false
	return nil
}

// Close ends the journal; its file stays.
func (j *Log) Close() error { return j.file.Close() }
