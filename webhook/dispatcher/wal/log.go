// Package wal is the dispatcher's write-ahead log. It keeps what must survive the process: each accepted webhook, each
// delivery attempt before its first byte, each result, and each final callback until it was delivered. It is one file of
// records that is appended to and compacted when it grows. The file is not synced: data written survives a crash of the
// process, but not one of the machine.
package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"rowanlink/webhook/api"
)

// ErrFull is returned when there is no space for another webhook.
var ErrFull = errors.New("the write-ahead log is full")

// Names of the files in the log's folder.
const (
	logFile       = "webhooks.log"
	compactedFile = "webhooks.new"
)

const (
	bytesPerMB = 1_000_000
	// reserveDivisor is the divisor for the part of the disk limit that Accept leaves free, for the calls and results
	// of pending webhooks.
	reserveDivisor = 16
)

// Log holds the file, and in memory the entries that are in it. It may be used by one goroutine only.
type Log struct {
	dir             string
	file            *os.File
	size            int // of the file, in bytes
	maxSize         int
	liveSize        int // of the file if it were compacted
	entries         map[api.WebhookID]*Entry
	pending         []byte // records for the next Commit
	needsCompaction bool   // the file may lack records: the next Commit rewrites it
}

// Open opens the log in a folder and reads what an earlier incarnation left there. The log's files never take more than
// diskMB megabytes, unless an earlier limit was larger.
func Open(dir string, diskMB float64) (*Log, error) {
	if dir == "" {
		return nil, errors.New("write-ahead log: no folder is named")
	}
	l := &Log{dir: dir, maxSize: int(diskMB * bytesPerMB), entries: map[api.WebhookID]*Entry{}}
	if err := os.Remove(l.path(compactedFile)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("write-ahead log: %w", err)
	}
	content, err := os.ReadFile(l.path(logFile))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("write-ahead log: %w", err)
	}
	for {
		record, remaining, ok := nextRecord(content)
		if !ok {
			break
		}
		l.replay(record)
		content = remaining
	}
	if err := l.compact(); err != nil {
		return nil, fmt.Errorf("write-ahead log: %w", err)
	}
	return l, nil
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

// replay applies a stored record. Unknown kinds, which a later release may have written, are ignored.
func (l *Log) replay(r storedRecord) {
	e := l.entries[r.id]
	switch {
	case r.kind == kindAccepted && len(r.rest) >= attemptsLen:
		l.put(decodeAccepted(r.id, r.rest))
	case r.kind == kindFinished:
		l.put(&Entry{ID: r.id, Finished: true, Callback: slices.Clone(r.rest)})
		if len(r.rest) == 0 {
			l.remove(r.id)
		}
	case e == nil:
	case r.kind == kindCall && len(r.rest) >= callLen:
		e.recordCall(decodeCall(r.rest))
	case r.kind == kindEventType:
		l.setEventType(e, string(r.rest))
	case r.kind == kindNeverRan:
		e.recordNeverRan()
	case r.kind == kindDelivered:
		l.remove(r.id)
	}
}

func (l *Log) put(e *Entry) {
	l.remove(e.ID)
	l.entries[e.ID] = e
	l.liveSize += e.size()
}

func (l *Log) remove(id api.WebhookID) {
	if e := l.entries[id]; e != nil {
		l.liveSize -= e.size()
		delete(l.entries, id)
	}
}

// Entries returns all webhooks that are pending, or whose callback has yet to be delivered, in the order of acceptance.
func (l *Log) Entries() []*Entry {
	all := make([]*Entry, 0, len(l.entries))
	for _, e := range l.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *Entry) int { return int(int64(a.ID) - int64(b.ID)) })
	return all
}

// Accept records a webhook. It fails with ErrFull if the disk limit would leave no space to write a compacted file beside
// the present one.
func (l *Log) Accept(id api.WebhookID, payload []byte) error {
	e := &Entry{ID: id, Payload: payload, MayHaveRunAt: api.Never}
	if 2*(l.liveSize+e.size())+l.maxSize/reserveDivisor > l.maxSize {
		return ErrFull
	}
	l.put(e)
	l.pending = e.appendTo(l.pending)
	return nil
}

// SetEventType records the name of the event type of a webhook that was just accepted.
func (l *Log) SetEventType(id api.WebhookID, eventType string) {
	if e := l.Pending(id); e != nil && eventType != "" {
		l.setEventType(e, eventType)
		l.pending = appendRecord(l.pending, kindEventType, id, []byte(eventType))
	}
}

func (l *Log) setEventType(e *Entry, eventType string) {
	l.liveSize -= e.size()
	e.EventType = eventType
	l.liveSize += e.size()
}

// Pending returns what is known of a webhook that has not finished; nil if there is none. The caller must not change it.
func (l *Log) Pending(id api.WebhookID) *Entry {
	if e := l.entries[id]; e != nil && !e.Finished {
		return e
	}
	return nil
}

// SetPriorAttempts replaces the attempts recorded for a webhook by those given, which include attempts made elsewhere.
func (l *Log) SetPriorAttempts(id api.WebhookID, attempts int, mayHaveRunAt api.Micros, zone api.ZoneID) {
	e := l.Pending(id)
	if e == nil {
		return
	}
	e.Attempts = attempts
	e.MayHaveRunAt = mayHaveRunAt
	e.Zone = zone
	e.lastCallIsFirst = false
	l.pending = e.appendTo(l.pending)
}

// RecordCall records a delivery attempt before its first byte.
func (l *Log) RecordCall(id api.WebhookID, at api.Micros, zone api.ZoneID) {
	if e := l.entries[id]; e != nil {
		e.recordCall(at, zone)
		l.pending = appendCall(l.pending, id, at, zone)
	}
}

// RecordNeverRan records that the last attempt is known not to have run.
func (l *Log) RecordNeverRan(id api.WebhookID) {
	if e := l.entries[id]; e != nil {
		e.recordNeverRan()
		l.pending = appendRecord(l.pending, kindNeverRan, id, nil)
	}
}

// Finish records that a webhook has ended, and the callback that has to be delivered from now on, if any.
func (l *Log) Finish(id api.WebhookID, callback []byte) {
	if l.entries[id] == nil {
		return
	}
	l.put(&Entry{ID: id, Finished: true, Callback: callback})
	if len(callback) == 0 {
		l.remove(id)
	}
	l.pending = appendRecord(l.pending, kindFinished, id, callback)
}

// CallbackDelivered records that a callback was delivered: nothing is left to do for the webhook.
func (l *Log) CallbackDelivered(id api.WebhookID) {
	l.remove(id)
	l.pending = appendRecord(l.pending, kindDelivered, id, nil)
}

// Undo takes back an Accept whose Commit failed.
func (l *Log) Undo(id api.WebhookID) {
	l.remove(id)
	l.needsCompaction = true
}

// Commit writes all that was recorded since the last Commit. The caller may act on it only after that. After an error none
// of it counts as written; the next Commit writes the complete state.
func (l *Log) Commit() error {
	if len(l.pending) == 0 && !l.needsCompaction {
		return nil
	}
	if l.needsCompaction || l.size+len(l.pending)+l.liveSize > l.maxSize {
		return l.compact()
	}
	n, err := l.file.Write(l.pending)
	l.pending = l.pending[:0]
	if err != nil {
		// The caller rejects the webhooks of a failed Commit, and their clients submit them elsewhere. A full disk may have
		// taken some of their records: without the truncation they would stay in the file if the process were killed before
		// the next Commit.
		l.needsCompaction = true
		return fmt.Errorf("write-ahead log: %w", errors.Join(err, l.file.Truncate(int64(l.size))))
	}
	l.size += n
	return nil
}

// compact replaces the file by one with only the live entries. A kill leaves either the old file or the new one.
func (l *Log) compact() error {
	l.needsCompaction = true
	var content []byte
	for _, e := range l.Entries() {
		content = e.appendTo(content)
	}
	f, err := os.OpenFile(l.path(compactedFile), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.Write(content); err == nil {
		err = os.Rename(l.path(compactedFile), l.path(logFile))
	}
	if err != nil {
		return errors.Join(err, f.Close(), os.Remove(l.path(compactedFile)))
	}
	if l.file != nil {
		_ = l.file.Close() // replaced: nothing is written to it any more
	}
	l.file = f
	l.size = len(content)
	l.pending = l.pending[:0]
	l.needsCompaction = false
	return nil
}

// Close closes the file, which stays on disk.
func (l *Log) Close() error { return l.file.Close() }
