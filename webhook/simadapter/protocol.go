package simadapter

import (
	"encoding/binary"
	"errors"
	"math"

	"rowanlink/webhook/api"
)

// Codes of events that the simulator sends.
const (
	eventOpen     = 1  // an instance starts
	eventTopology = 2  // an endpoint list for an instance
	eventNew      = 3  // a webhook is submitted
	eventFirst    = 4  // the first byte of a streamed response has arrived; ignored, since webhooks are not streamed
	eventOutcome  = 5  // an attempt has ended
	eventVanished = 6  // a webhook's client no longer waits for it
	eventWakeup   = 7  // a timer has fired
	eventEcho     = 8  // the answer to a health check; ignored, since the policy sends no health checks
	eventPeer     = 9  // a message from another dispatcher; ignored, since the policy sends none
	eventDetach   = 10 // an instance is killed
	eventDefine   = 11 // an endpoint list is stored under a number for eventTopology
)

// Codes of actions that the adapter answers with.
const (
	actionAttempt   = 1  // start an attempt
	actionSurrender = 2  // dead-letter a webhook
	actionCrash     = 4  // the policy has panicked
	actionClose     = 5  // close an endpoint's idle connections
	actionRecord    = 6  // write to the log
	actionTimer     = 9  // set a timer
	actionRevoke    = 10 // cancel an attempt
	actionBounce    = 12 // reject a webhook
)

// Forms of an endpoint list in eventTopology.
const (
	listDelta    = 0 // only the entries that have changed
	listComplete = 1
	listCached   = 2 // complete, from the instance's own storage
	listFailed   = 3 // the request failed: there is no list
)

// Sizes in bytes, except listNumbers.
const (
	headerLen       = 16
	replyHeaderLen  = 12
	recordHeaderLen = 5 // code and length
	entryLen        = 23
	listNumbers     = 16      // how many endpoint lists can be stored: numbers 0 to 15
	maxText         = 1 << 10 // longer texts of actions are cut off
	bufferLen       = 1 << 20
)

const (
	nanosecondsPerMicro  = 1000
	microsPerMillisecond = 1000
)

// outcomes is indexed by the simulator's outcome codes, which start at 0.
var outcomes = [...]api.Outcome{
	api.ErrorResponse,
	api.Delivered,
	api.Rejected,
	api.TimedOut,
	api.ConnectFailed,
	api.ConnectionReset,
	api.Cancelled,
	api.NotSent,
}

// endpointStatuses is indexed by the simulator's codes for endpoint states, which start at 0.
var endpointStatuses = [...]api.EndpointStatus{api.EndpointActive, api.EndpointRemoved, api.EndpointDraining}

var errShort = errors.New("the record is shorter than its fields")

// fields reads a record's fields in order. Reading past the end returns zeros and sets truncated.
type fields struct {
	rest      []byte
	truncated bool
}

func (f *fields) take(n int) []byte {
	if n < 0 || n > len(f.rest) {
		f.truncated = true
		f.rest = nil
		return make([]byte, 8)
	}
	b := f.rest[:n]
	f.rest = f.rest[n:]
	return b
}

func (f *fields) skip(n int) {
	if n < 0 || n > len(f.rest) {
		f.truncated = true
		f.rest = nil
		return
	}
	f.rest = f.rest[n:]
}

func (f *fields) text(n uint32) []byte {
	if uint64(n) > uint64(len(f.rest)) {
		f.truncated = true
		f.rest = nil
		return nil
	}
	return f.take(int(n))
}

func (f *fields) u8() byte     { return f.take(1)[0] }
func (f *fields) u16() uint16  { return binary.LittleEndian.Uint16(f.take(2)) }
func (f *fields) u32() uint32  { return binary.LittleEndian.Uint32(f.take(4)) }
func (f *fields) u64() uint64  { return binary.LittleEndian.Uint64(f.take(8)) }
func (f *fields) f32() float32 { return math.Float32frombits(f.u32()) }
