package httpserver

import "sync/atomic"

// bodyMemory counts the bytes of large bodies that are held, so that many at once don't exhaust the process.
type bodyMemory struct {
	most int64
	held atomic.Int64
}

// take counts a body in, where there is room. A body of unknown length counts as one of unstatedBody bytes.
func (m *bodyMemory) take(length int64) bool {
	length = counted(length)
	if length == 0 {
		return true
	}
	if m.held.Add(length) > m.most {
		m.held.Add(-length)
		return false
	}
	return true
}

// give counts a body out that was taken in.
func (m *bodyMemory) give(length int64) { m.held.Add(-counted(length)) }

// unstatedBody stands for the length of a body that comes in chunks, in bytes.
const unstatedBody = 128 << 10

func counted(length int64) int64 {
	switch {
	case length < 0:
		return unstatedBody
	case length <= smallBody:
		return 0
	}
	return length
}
