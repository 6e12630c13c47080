package wal

import (
	"encoding/binary"
	"hash/crc32"

	"rowanlink/webhook/api"
)

// Kinds of record.
const (
	accepted = 'A' // attempts, first that may have run, its zone, what was taken on
	called   = 'C' // time, zone
	neverRan = 'N' // the last call is known not to have run
	ended    = 'E' // the notice that is owed; empty: none
	told     = 'T' // the notice was heard
	named    = 'K' // the name of an accepted one's event type
)

const (
	recordHead = 4 + 4 + 1 + 4 // length of the rest, its checksum, kind, id
	stateLen   = 2 + 8 + 2 + 1
	mega       = 1_000_000
	spare      = 16 // one part in so many of the disk stays free for calls and ends of what is held
)

// Entry is what the journal knows of one webhook.
type Entry struct {
	ID           api.WebhookID
	Payload      []byte // as handed to Accept
	EventType    string // the name of its event type, where it was told
	Attempts     int
	MayHaveRunAt api.Micros // first attempt that may have run, or Never
	Zone         api.ZoneID // of that attempt's endpoint
	Finished     bool
	Callback     []byte // owed since it ended

	lastCallIsFirst bool // the last call is the first that may have run
}

func (e *Entry) size() int {
	size := recordHead + stateLen + len(e.Payload) + len(e.Callback)
	if e.EventType != "" {
		size += recordHead + len(e.EventType)
	}
	return size
}

func (e *Entry) call(at api.Micros, zone api.ZoneID) {
	e.Attempts++
	if e.lastCallIsFirst = e.MayHaveRunAt == api.Never; e.lastCallIsFirst {
		e.MayHaveRunAt, e.Zone = at, zone
	}
}

func (e *Entry) neverRan() {
	if e.lastCallIsFirst {
		e.MayHaveRunAt, e.lastCallIsFirst = api.Never, false
	}
}

func (e *Entry) record(to []byte) []byte {
	if e.Finished {
		return record(to, ended, e.ID, e.Callback)
	}
	rest := make([]byte, 0, stateLen+len(e.Payload))
	rest = binary.LittleEndian.AppendUint16(rest, uint16(e.Attempts))
	rest = binary.LittleEndian.AppendUint64(rest, uint64(e.MayHaveRunAt))
	rest = binary.LittleEndian.AppendUint16(rest, uint16(e.Zone))
	first := byte(0)
	if e.lastCallIsFirst {
		first = 1
	}
	to = record(to, accepted, e.ID, append(append(rest, first), e.Payload...))
	if e.EventType != "" { // a record of its own, which earlier releases pass over
		to = record(to, named, e.ID, []byte(e.EventType))
	}
	return to
}

func record(to []byte, kind byte, id api.WebhookID, rest []byte) []byte {
	start := len(to)
	to = binary.LittleEndian.AppendUint32(to, uint32(recordHead-8+len(rest)))
	to = append(to, 0, 0, 0, 0, kind)
	to = binary.LittleEndian.AppendUint32(to, uint32(id))
	to = append(to, rest...)
	binary.LittleEndian.PutUint32(to[start+4:], crc32.ChecksumIEEE(to[start+8:]))
	return to
}
