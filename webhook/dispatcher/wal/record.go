package wal

import (
	"encoding/binary"
	"hash/crc32"
	"slices"

	"rowanlink/webhook/api"
)

// Kinds of records. The letters are stored.
const (
	kindAccepted  = 'A' // attempts, first that may have run, its zone, payload
	kindCall      = 'C' // time, zone
	kindNeverRan  = 'N' // the last call is known not to have run
	kindFinished  = 'E' // the callback that has to be delivered; empty: none
	kindDelivered = 'T' // the callback was delivered
	kindEventType = 'K' // the name of an accepted webhook's event type
)

// Lengths in bytes.
const (
	prefixLen       = 4 + 4             // length of the rest, its checksum
	recordHeaderLen = prefixLen + 1 + 4 // kind, webhook id
	attemptsLen     = 2 + 8 + 2 + 1     // attempts, time, zone, whether the last call is the first that may have run
	callLen         = 8 + 2             // time, zone
)

// Entry is what the log knows of one webhook.
type Entry struct {
	ID           api.WebhookID
	Payload      []byte // as handed to Accept
	EventType    string // its name, where it was set
	Attempts     int
	MayHaveRunAt api.Micros // start of the first attempt that may have run, or Never
	Zone         api.ZoneID // of that attempt's endpoint
	Finished     bool
	Callback     []byte // to be delivered once Finished is set

	lastCallIsFirst bool // the last call is the first that may have run
}

// size is how many bytes the entry takes in a compacted file.
func (e *Entry) size() int {
	size := recordHeaderLen + attemptsLen + len(e.Payload) + len(e.Callback)
	if e.EventType != "" {
		size += recordHeaderLen + len(e.EventType)
	}
	return size
}

func (e *Entry) recordCall(at api.Micros, zone api.ZoneID) {
	e.Attempts++
	e.lastCallIsFirst = e.MayHaveRunAt == api.Never
	if e.lastCallIsFirst {
		e.MayHaveRunAt = at
		e.Zone = zone
	}
}

func (e *Entry) recordNeverRan() {
	if e.lastCallIsFirst {
		e.MayHaveRunAt = api.Never
		e.lastCallIsFirst = false
	}
}

// appendTo appends the records that restore the entry.
func (e *Entry) appendTo(to []byte) []byte {
	if e.Finished {
		return appendRecord(to, kindFinished, e.ID, e.Callback)
	}
	rest := make([]byte, 0, attemptsLen+len(e.Payload))
	rest = binary.LittleEndian.AppendUint16(rest, uint16(e.Attempts))
	rest = binary.LittleEndian.AppendUint64(rest, uint64(e.MayHaveRunAt))
	rest = binary.LittleEndian.AppendUint16(rest, uint16(e.Zone))
	isFirst := byte(0)
	if e.lastCallIsFirst {
		isFirst = 1
	}
	rest = append(rest, isFirst)
	rest = append(rest, e.Payload...)
	to = appendRecord(to, kindAccepted, e.ID, rest)
	if e.EventType != "" { // a record of its own, which earlier releases ignore
		to = appendRecord(to, kindEventType, e.ID, []byte(e.EventType))
	}
	return to
}

// decodeAccepted reads the rest of a kindAccepted record.
func decodeAccepted(id api.WebhookID, rest []byte) *Entry {
	return &Entry{
		ID:              id,
		Attempts:        int(binary.LittleEndian.Uint16(rest)),
		MayHaveRunAt:    api.Micros(binary.LittleEndian.Uint64(rest[2:])),
		Zone:            api.ZoneID(binary.LittleEndian.Uint16(rest[10:])),
		lastCallIsFirst: rest[12] != 0,
		Payload:         slices.Clone(rest[attemptsLen:]),
	}
}

func appendCall(to []byte, id api.WebhookID, at api.Micros, zone api.ZoneID) []byte {
	rest := binary.LittleEndian.AppendUint64(nil, uint64(at))
	rest = binary.LittleEndian.AppendUint16(rest, uint16(zone))
	return appendRecord(to, kindCall, id, rest)
}

// decodeCall reads the rest of a kindCall record.
func decodeCall(rest []byte) (at api.Micros, zone api.ZoneID) {
	return api.Micros(binary.LittleEndian.Uint64(rest)), api.ZoneID(binary.LittleEndian.Uint16(rest[8:]))
}

func appendRecord(to []byte, kind byte, id api.WebhookID, rest []byte) []byte {
	start := len(to)
	to = binary.LittleEndian.AppendUint32(to, uint32(recordHeaderLen-prefixLen+len(rest)))
	to = append(to, 0, 0, 0, 0) // the checksum, below
	to = append(to, kind)
	to = binary.LittleEndian.AppendUint32(to, uint32(id))
	to = append(to, rest...)
	binary.LittleEndian.PutUint32(to[start+4:], crc32.ChecksumIEEE(to[start+prefixLen:]))
	return to
}

// storedRecord is one record as read from the file.
type storedRecord struct {
	kind byte
	id   api.WebhookID
	rest []byte
}

// nextRecord reads the first record of a file's content; ok is false if there is no further complete record. A process
// killed during a write leaves an incomplete record at the end; nothing was done yet that relies on it.
func nextRecord(content []byte) (record storedRecord, remaining []byte, ok bool) {
	if len(content) < recordHeaderLen {
		return storedRecord{}, nil, false
	}
	n := int(binary.LittleEndian.Uint32(content))
	sum := binary.LittleEndian.Uint32(content[4:])
	if n < recordHeaderLen-prefixLen || n > len(content)-prefixLen {
		return storedRecord{}, nil, false
	}
	body := content[prefixLen : prefixLen+n]
	if crc32.ChecksumIEEE(body) != sum {
		return storedRecord{}, nil, false
	}
	record = storedRecord{
		kind: body[0],
		id:   api.WebhookID(binary.LittleEndian.Uint32(body[1:])),
		rest: body[recordHeaderLen-prefixLen:],
	}
	return record, content[prefixLen+n:], true
}
