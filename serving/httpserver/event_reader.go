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
	bufferStart int   // start of the data that Next has not returned yet
	bufferEnd   int   // end of the data that has been read from the source
	readErr     error // the error that ended reading from the source
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, buffer: make([]byte, initialEventBuffer)}
}

// Next waits for at least one complete event and returns all complete events that have arrived. They are valid until
// the next call. After the last complete event, Next returns the remaining data with io.EOF if the source ended
// cleanly. Otherwise it drops the remaining data and returns the source's error or errEventTooLong.
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
		// No event ends in the data so far, but its last bytes may be the beginning of a line break that ends an event.
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

// takeRemainder returns the data after the last complete event of a stream that ended cleanly, or the source's error.
func (r *eventReader) takeRemainder() ([]byte, error) {
	if !errors.Is(r.readErr, io.EOF) {
		return nil, r.readErr
	}
	remainder := r.buffer[r.bufferStart:r.bufferEnd]
	r.bufferStart = r.bufferEnd
	return remainder, io.EOF
}

// makeSpace frees or allocates buffer space for reading. It returns by how many bytes the contents have moved toward
// the start of the buffer.
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

// lastEventEnd returns the offset after the blank line that ends the last complete event; 0 if there is none. It
// searches data from the offset from only, since the caller knows that no event ends before it.
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

// endsBlankLine reports whether the newline at an offset ends a blank line, and therefore an event. A blank line at the
// start of the data doesn't count.
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

// firstEventEnd returns the offset after the first event; the length of the data if no event is complete.
func firstEventEnd(data []byte) int {
	for offset, c := range data {
		if c == '\n' && endsBlankLine(data, offset) {
			return offset + 1
		}
	}
	return len(data)
}

// eventID returns the value of an event's last id field, and false if it has none.
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
