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
	// defaultBodyLimit bounds a body if the configuration doesn't, in bytes.
	defaultBodyLimit = 8 << 20
	// uncountedBodySize is the size up to which bodies are not counted against the memory for bodies, in bytes.
	uncountedBodySize = 64 << 10
	// assumedBodySize is what a body of unknown length counts as, in bytes.
	assumedBodySize = 128 << 10
)

// errClientDisconnected: the client has closed its connection, so no response can be sent.
var errClientDisconnected = errors.New("client has disconnected")

// readBody reads the complete body of at most limit bytes and counts it in memory. The caller releases it, unless there
// is an error. The error is an errcode error or errClientDisconnected.
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

// readBodyWithin reads the complete body of at most limit bytes. The error is an errcode error or
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

// readBodyBytes reads the body, up to one byte more than the limit.
func readBodyBytes(r *http.Request, limit int) ([]byte, error) {
	if r.ContentLength <= 0 || r.ContentLength > uncountedBodySize {
		return io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	if err == nil {
		// The server watches the connection for its end only once the body's end has been read.
		_, err = io.CopyN(io.Discard, r.Body, 1)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return body, err
}

// bodyMemory counts the bytes of large bodies in memory, so that many at once don't exhaust the process.
type bodyMemory struct {
	limit    int64
	reserved atomic.Int64
}

// reserve counts a body. It returns false if the limit would be exceeded.
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

// release returns the reservation of a body.
func (m *bodyMemory) release(length int64) { m.reserved.Add(-reservationSize(length)) }

// reservationSize returns what a body of the length counts as; a negative length is unknown.
func reservationSize(length int64) int64 {
	switch {
	case length < 0:
		return assumedBodySize
	case length <= uncountedBodySize:
		return 0
	}
	return length
}
