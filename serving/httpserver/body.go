package httpserver

import (
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/errcode"
)

const (
	// defaultBodyLimit is the largest size of a request body if the configuration sets no limit, in bytes.
	defaultBodyLimit = 8 << 20
	// uncountedBodySize is the size up to which a body reserves no body memory, in bytes.
	uncountedBodySize = 64 << 10
	// assumedBodySize is the body memory that a body of unknown length reserves, in bytes.
	assumedBodySize = 128 << 10
)

// errClientDisconnected means that the client has closed its connection, so that no response can be sent.
var errClientDisconnected = errors.New("client has disconnected")

// readBody reads the complete body, of at most limit bytes, and reserves body memory for it. The caller must release
// the reservation, except after an error. An error is an errcode error or errClientDisconnected.
func readBody(r *http.Request, limit int, memory *bodyMemory) ([]byte, error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if r.ContentLength > int64(limit) {
		return nil, errcode.BodyTooLarge.With("%d bytes", r.ContentLength)
	}
	if !memory.reserve(r.ContentLength) {
		return nil, errcode.TooManyLargeBodies.With("%d bytes", r.ContentLength)
	}
	body, err := readBodyWithin(r, limit)
	if err != nil {
		memory.release(r.ContentLength)
		return nil, err
	}
	return body, nil
}

// readBodyWithin reads the complete body, of at most limit bytes. An error is an errcode error or
// errClientDisconnected.
func readBodyWithin(r *http.Request, limit int) ([]byte, error) {
	body, err := readBodyBytes(r, limit)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errcode.BodyTimeout.With("%v", err)
	case err != nil:
		return nil, errors.CombineErrors(errClientDisconnected, err)
	case len(body) > limit:
		return nil, errcode.BodyTooLarge.With("over %d bytes", limit)
	}
	return body, nil
}

// readBodyBytes reads the body, but no more than limit+1 bytes: the additional byte shows that the body is too large.
func readBodyBytes(r *http.Request, limit int) ([]byte, error) {
	if r.ContentLength <= 0 || r.ContentLength > uncountedBodySize {
		return io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	if err == nil {
		// Read up to io.EOF: only then does net/http watch the connection and cancel the request's context when the
		// client disconnects.
		_, err = io.CopyN(io.Discard, r.Body, 1)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return body, err
}

// bodyMemory limits the memory that large bodies use at once, so that many of them don't exhaust the process's memory.
type bodyMemory struct {
	limit    int64
	reserved atomic.Int64
}

// reserve reserves memory for a body of the length. It returns false if that would exceed the limit.
func (m *bodyMemory) reserve(length int64) bool {
	size := reservationSize(length)
	if size == 0 {
		return true
	}
	if m.reserved.Add(size) > m.limit {
		m.reserved.Add(-size)
		return false
	}
	return true
}

// release gives back the reservation of a body of the length.
func (m *bodyMemory) release(length int64) { m.reserved.Add(-reservationSize(length)) }

// reservationSize returns how much memory is reserved for a body of the length; a negative length is unknown.
func reservationSize(length int64) int64 {
	switch {
	case length < 0:
		return assumedBodySize
	case length <= uncountedBodySize:
		return 0
	}
	return length
}
