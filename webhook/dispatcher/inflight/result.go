package inflight

import (
	"encoding/binary"

	"rowanlink/webhook/api"
)

// Status is how a webhook ended, as it is reported to another member.
type Status uint8

// Statuses. The numbers are stored and sent: they never change.
const (
	StatusDelivered Status = iota + 1
	StatusRejected
	StatusDeadLettered
)

// Result is the result of a webhook as it is sent to another member.
type Result struct {
	RequestID  RequestID
	Status     Status
	RetryAfter api.Micros // rejected: the delay before it may be submitted again; 0: none given
	Attempts   int
	MayHaveRun bool
}

const (
	// resultTag is the first byte of a result's stored form. A callback for the platform begins with another byte.
	resultTag = 'R'
	// resultFixedLen is the length of the fields before the request id: tag, status, time, attempts, flag.
	resultFixedLen = 1 + 1 + 8 + 2 + 1
)

// Encode returns the form in which a result is stored.
func (r Result) Encode() []byte {
	b := binary.LittleEndian.AppendUint64([]byte{resultTag, byte(r.Status)}, uint64(r.RetryAfter))
	b = binary.LittleEndian.AppendUint16(b, uint16(r.Attempts))
	mayHaveRun := byte(0)
	if r.MayHaveRun {
		mayHaveRun = 1
	}
	b = append(b, mayHaveRun)
	return append(b, r.RequestID...)
}

// DecodeResult decodes a stored result. It returns false if b is a callback for the platform.
func DecodeResult(b []byte) (Result, bool) {
	if len(b) < resultFixedLen || b[0] != resultTag {
		return Result{}, false
	}
	return Result{
		Status:     Status(b[1]),
		RetryAfter: api.Micros(binary.LittleEndian.Uint64(b[2:])),
		Attempts:   int(binary.LittleEndian.Uint16(b[10:])),
		MayHaveRun: b[12] != 0,
		RequestID:  RequestID(b[resultFixedLen:]),
	}, true
}
