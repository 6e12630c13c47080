package httpserver

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// mostEvent bounds one event of a stream, in bytes.
const mostEvent = 1 << 20

// streamBuffer is the size at which the buffer of a stream begins, in bytes.
const streamBuffer = 4 << 10

// errEventTooLong ends a stream with an endless event.
var errEventTooLong = errors.New("event too long")

// eventReader cuts a stream of server-sent events into whole events.
type eventReader struct {
	source io.Reader
	buffer []byte
	start  int // of what has not been handed out
	end    int // of what was read
	ended  error
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, buffer: make([]byte, streamBuffer)}
}

// Next waits for at least one whole event and returns all whole events that have come, valid until the next call.
// After the last one it returns what is left over and io.EOF where the source ended cleanly; where it did not,
// what is left over is lost and the source's error is returned.
func (r *eventReader) Next() ([]byte, error) {
	searched := r.start
	for {
		if cut := lastEventEnd(r.buffer[r.start:r.end], searched-r.start); cut > 0 {
			events := r.buffer[r.start : r.start+cut]
			r.start += cut
			return events, nil
		}
		if r.ended != nil {
			return r.rest()
		}
		searched = max(r.start, r.end-len("\r\n\r"))
		searched -= r.makeRoom()
		if r.end-r.start >= mostEvent {
			r.ended = errEventTooLong
			continue
		}
		n, err := r.source.Read(r.buffer[r.end:])
		r.end += n
		r.ended = err
	}
}

// rest hands out what comes after the last event of a stream that ended cleanly.
func (r *eventReader) rest() ([]byte, error) {
	if !errors.Is(r.ended, io.EOF) {
		return nil, r.ended
	}
	left := r.buffer[r.start:r.end]
	r.start = r.end
	return left, io.EOF
}

// makeRoom makes room for reading and returns by how much the contents moved.
func (r *eventReader) makeRoom() (moved int) {
	if r.end < len(r.buffer) && r.start < r.end {
		return 0
	}
	if r.start > 0 {
		moved = r.start
		copy(r.buffer, r.buffer[r.start:r.end])
		r.start, r.end = 0, r.end-r.start
		return moved
	}
	if r.end == len(r.buffer) {
		larger := make([]byte, 2*len(r.buffer))
		copy(larger, r.buffer)
		r.buffer = larger
	}
	return 0
}

// lastEventEnd is where the last whole event ends: after its blank line. Where there is none it is 0. Nothing
// before from ends an event.
func lastEventEnd(data []byte, from int) int {
	from = max(from, 0)
	for line := len(data); line > from; {
		newline := bytes.LastIndexByte(data[from:line], '\n')
		if newline < 0 {
			return 0
		}
		at := from + newline
		if blankBefore(data, at) {
			return at + 1
		}
		line = at
	}
	return 0
}

// blankBefore tells whether the line that ends at a newline is blank and ends an event.
func blankBefore(data []byte, newline int) bool {
	if newline > 0 && data[newline-1] == '\r' {
		newline--
	}
	return newline > 0 && data[newline-1] == '\n'
}

// eachEvent calls a function with each whole event of a piece that Next returned.
func eachEvent(events []byte, visit func(event []byte)) {
	for len(events) > 0 {
		cut := firstEventEnd(events)
		visit(events[:cut])
		events = events[cut:]
	}
}

func firstEventEnd(data []byte) int {
	for at, c := range data {
		if c == '\n' && blankBefore(data, at) {
			return at + 1
		}
	}
	return len(data)
}

// eventID returns the value of an event's id field, or false where it has none.
func eventID(event []byte) (string, bool) {
	found, id := false, ""
	for line := range bytes.Lines(event) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if string(name) == "id" {
			found, id = true, string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
	return id, found
}
