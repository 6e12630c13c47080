package httpserver

import "sync/atomic"

// bodyMemory counts the bytes of large bodies that are held, so that many at once don't exhaust the process.
type bodyMemory struct {
	limit    int64
	reserved atomic.Int64
}

// reserve counts a body in, where there is room. A body of unknown length counts as one of assumedBodySize bytes.
func (m *bodyMemory) reserve(length int64) bool {
	length = reservationSize(length)
	if length == 0 {
		return true
	}
	if m.reserved.Add(length) > m.limit {
		m.reserved.Add(-length)
		return false
	}
	return true
}

// release counts a body out that was taken in.
func (m *bodyMemory) release(length int64) { m.reserved.Add(-reservationSize(length)) }

// assumedBodySize stands for the length of a body that comes in chunks, in bytes.
const assumedBodySize = 128 << 10

func reservationSize(length int64) int64 {
	switch {
	case length < 0:
		return assumedBodySize
	case length <= uncountedBodySize:
		return 0
	}
	return length
}
