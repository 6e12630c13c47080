package httpserver

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventSize bounds one event of a stream, in bytes.
const maxEventSize = 1 << 20

// initialEventBuffer is the size at which the buffer of a stream begins, in bytes.
const initialEventBuffer = 4 << 10

// errEventTooLong ends a stream with an endless event.
var errEventTooLong = errors.New("event too long")

// eventReader cuts a stream of server-sent events into whole events.
type eventReader struct {
	source      io.Reader
	buffer      []byte
	bufferStart int // of what has not been handed out
	bufferEnd   int // of what was read
	readErr     error
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, buffer: make([]byte, initialEventBuffer)}
}

// Next waits for at least one whole event and returns all whole events that have come, valid until the next call.
// After the last one it returns what is left over and io.EOF where the source ended cleanly; where it did not,
// what is left over is lost and the source's error is returned.
func (r *eventReader) Next() ([]byte, error) {
	searched := r.bufferStart
	for {
		if cut := lastEventEnd(r.buffer[r.bufferStart:r.bufferEnd], searched-r.bufferStart); cut > 0 {
			events := r.buffer[r.bufferStart : r.bufferStart+cut]
			r.bufferStart += cut
			return events, nil
		}
		if r.readErr != nil {
			return r.takeRemainder()
		}
		searched = max(r.bufferStart, r.bufferEnd-len("\r\n\r"))
		searched -= r.makeRoom()
		if r.bufferEnd-r.bufferStart >= maxEventSize {
			r.readErr = errEventTooLong
			continue
		}
		n, err := r.source.Read(r.buffer[r.bufferEnd:])
		r.bufferEnd += n
		r.readErr = err
	}
}

// takeRemainder hands out what comes after the last event of a stream that ended cleanly.
func (r *eventReader) takeRemainder() ([]byte, error) {
	if !errors.Is(r.readErr, io.EOF) {
		return nil, r.readErr
	}
	left := r.buffer[r.bufferStart:r.bufferEnd]
	r.bufferStart = r.bufferEnd
	return left, io.EOF
}

// makeRoom makes room for reading and returns by how much the contents moved.
func (r *eventReader) makeRoom() (moved int) {
	if r.bufferEnd < len(r.buffer) && r.bufferStart < r.bufferEnd {
		return 0
	}
	if r.bufferStart > 0 {
		moved = r.bufferStart
		copy(r.buffer, r.buffer[r.bufferStart:r.bufferEnd])
		r.bufferStart, r.bufferEnd = 0, r.bufferEnd-r.bufferStart
		return moved
	}
	if r.bufferEnd == len(r.buffer) {
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
		if endsBlankLine(data, at) {
			return at + 1
		}
		line = at
	}
	return 0
}

// endsBlankLine tells whether the line that ends at a newline is blank and ends an event.
func endsBlankLine(data []byte, newline int) bool {
	if newline > 0 && data[newline-1] == '\r' {
		newline--
	}
	return newline > 0 && data[newline-1] == '\n'
}

// forEachEvent calls a function with each whole event of a piece that Next returned.
func forEachEvent(events []byte, visit func(event []byte)) {
	for len(events) > 0 {
		cut := firstEventEnd(events)
		visit(events[:cut])
		events = events[cut:]
	}
}

func firstEventEnd(data []byte) int {
	for at, c := range data {
		if c == '\n' && endsBlankLine(data, at) {
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
