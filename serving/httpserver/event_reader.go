package httpserver

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventSize bounds one event of a stream, in bytes.
const maxEventSize = 1 << 20

// initialEventBuffer is the initial size of a stream's buffer, in bytes.
const initialEventBuffer = 4 << 10

// errEventTooLong ends a stream with an event above maxEventSize.
var errEventTooLong = errors.New("event too long")

// eventReader splits a stream of server-sent events into complete events.
type eventReader struct {
	source      io.Reader
	buffer      []byte
	bufferStart int   // begin of what has not been returned
	bufferEnd   int   // end of what has been read
	readErr     error // the source's error
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, buffer: make([]byte, initialEventBuffer)}
}

// Next waits for at least one complete event and returns all complete events that have arrived. They are valid until
// the next call. After the last one, it returns what is left and io.EOF if the source ended cleanly; if not, it drops
// what is left and returns the source's error.
func (r *eventReader) Next() ([]byte, error) {
	searched := r.bufferStart
	for {
		if eventsEnd := lastEventEnd(r.buffer[r.bufferStart:r.bufferEnd], searched-r.bufferStart); eventsEnd > 0 {
			events := r.buffer[r.bufferStart : r.bufferStart+eventsEnd]
			r.bufferStart += eventsEnd
			return events, nil
		}
		if r.readErr != nil {
			return r.takeRemainder()
		}
		searched = max(r.bufferStart, r.bufferEnd-len("\r\n\r"))
		searched -= r.makeSpace()
		if r.bufferEnd-r.bufferStart >= maxEventSize {
			r.readErr = errEventTooLong
			continue
		}
		n, err := r.source.Read(r.buffer[r.bufferEnd:])
		r.bufferEnd += n
		r.readErr = err
	}
}

// takeRemainder returns what follows the last event of a stream that ended cleanly.
func (r *eventReader) takeRemainder() ([]byte, error) {
	if !errors.Is(r.readErr, io.EOF) {
		return nil, r.readErr
	}
	remainder := r.buffer[r.bufferStart:r.bufferEnd]
	r.bufferStart = r.bufferEnd
	return remainder, io.EOF
}

// makeSpace frees or allocates space for reading. It returns by how much the contents have moved.
func (r *eventReader) makeSpace() (moved int) {
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

// lastEventEnd returns the end of the last complete event, which is after its blank line; 0 if there is none. No event
// ends before from.
func lastEventEnd(data []byte, from int) int {
	from = max(from, 0)
	for end := len(data); end > from; {
		offset := bytes.LastIndexByte(data[from:end], '\n')
		if offset < 0 {
			return 0
		}
		newline := from + offset
		if endsBlankLine(data, newline) {
			return newline + 1
		}
		end = newline
	}
	return 0
}

// endsBlankLine reports whether the line that a newline ends is blank and so ends an event.
func endsBlankLine(data []byte, newline int) bool {
	if newline > 0 && data[newline-1] == '\r' {
		newline--
	}
	return newline > 0 && data[newline-1] == '\n'
}

// forEachEvent calls visit with each of the complete events that Next returned.
func forEachEvent(events []byte, visit func(event []byte)) {
	for len(events) > 0 {
		end := firstEventEnd(events)
		visit(events[:end])
		events = events[end:]
	}
}

// firstEventEnd returns the end of the first event, or of the data if none is complete.
func firstEventEnd(data []byte) int {
	for offset, c := range data {
		if c == '\n' && endsBlankLine(data, offset) {
			return offset + 1
		}
	}
	return len(data)
}

// eventID returns the value of an event's id field, and false if it has none.
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
