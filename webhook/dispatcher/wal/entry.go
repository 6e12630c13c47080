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
	ID       api.WebhookID
	Taken    []byte // as handed to Accept
	Event    string // the name of its event type, where it was told
	Attempts int
	MayRun   api.Micros // first attempt that may have run, or Never
	Zone     api.ZoneID // of that attempt's endpoint
	Ended    bool
	Notice   []byte // owed since it ended

	firstOut bool // the last call is the first that may have run
}

func (e *Entry) size() int {
	size := recordHead + stateLen + len(e.Taken) + len(e.Notice)
	if e.Event != "" {
		size += recordHead + len(e.Event)
	}
	return size
}

func (e *Entry) call(at api.Micros, zone api.ZoneID) {
	e.Attempts++
	if e.firstOut = e.MayRun == api.Never; e.firstOut {
		e.MayRun, e.Zone = at, zone
	}
}

func (e *Entry) neverRan() {
	if e.firstOut {
		e.MayRun, e.firstOut = api.Never, false
	}
}

func (e *Entry) record(to []byte) []byte {
	if e.Ended {
		return record(to, ended, e.ID, e.Notice)
	}
	rest := make([]byte, 0, stateLen+len(e.Taken))
	rest = binary.LittleEndian.AppendUint16(rest, uint16(e.Attempts))
	rest = binary.LittleEndian.AppendUint64(rest, uint64(e.MayRun))
	rest = binary.LittleEndian.AppendUint16(rest, uint16(e.Zone))
	first := byte(0)
	if e.firstOut {
		first = 1
	}
	to = record(to, accepted, e.ID, append(append(rest, first), e.Taken...))
	if e.Event != "" { // a record of its own, which earlier releases pass over
		to = record(to, named, e.ID, []byte(e.Event))
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
