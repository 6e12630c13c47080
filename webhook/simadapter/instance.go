package simadapter

import (
	"encoding/binary"
	"fmt"
	"runtime/debug"

	"rowanlink/webhook/api"
)

// instance is one simulated dispatcher. It has a policy and is the api.Host of that policy.
type instance struct {
	server *server
	id     uint16
	policy api.Policy

	inTurn  bool // an event of this batch has called the policy
	stopped bool // the instance was removed, or its policy has panicked
	removed bool // its actions of this batch are dropped: the simulator would apply them to a new instance of the same id

	headroomIndex int // position of the headroom in a load report, or -1
	limitIndex    int // position of the limit in a load report, or -1

	actions     []byte // the encoded actions of this batch
	actionCount uint32
}

// recoverPanic runs call, a call on the policy. If the policy panics, the instance's last action reports the panic, and
// the process and its other instances continue.
func (in *instance) recoverPanic(call func()) {
	if in.stopped {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			in.stopped = true
			in.appendText(actionCrash, fmt.Sprintf("%v\n%s", p, debug.Stack()))
		}
	}()
	call()
}

// appendAction appends an action's header and instance id. size is the length of the fields that the caller appends.
func (in *instance) appendAction(code byte, size int) {
	in.actionCount++
	in.actions = append(in.actions, code)
	in.actions = binary.LittleEndian.AppendUint32(in.actions, uint32(2+size))
	in.actions = binary.LittleEndian.AppendUint16(in.actions, in.id)
}

func (in *instance) appendUint32(v uint32) {
	in.actions = binary.LittleEndian.AppendUint32(in.actions, v)
}

func (in *instance) appendUint64(v uint64) {
	in.actions = binary.LittleEndian.AppendUint64(in.actions, v)
}

func (in *instance) appendText(code byte, text string) {
	text = text[:min(len(text), maxText)]
	in.appendAction(code, 2+len(text))
	in.actions = binary.LittleEndian.AppendUint16(in.actions, uint16(len(text)))
	in.actions = append(in.actions, text...)
}

// Now returns the time of the current batch.
func (in *instance) Now() api.Micros { return micros(in.server.clock) }

// StartAttempt starts an attempt. The simulator does not support a latest start time, so it is ignored.
func (in *instance) StartAttempt(id api.WebhookID, endpoint api.EndpointID, timeout, _ api.Micros) {
	in.appendAction(actionAttempt, 16)
	in.appendUint32(uint32(id))
	in.appendUint32(uint32(endpoint))
	in.appendUint64(nanoseconds(timeout))
}

// CancelAttempt cancels an attempt.
func (in *instance) CancelAttempt(id api.WebhookID, attempt int) {
	in.appendAction(actionRevoke, 5)
	in.appendUint32(uint32(id))
	in.actions = append(in.actions, byte(attempt))
}

// Reject rejects a webhook.
func (in *instance) Reject(id api.WebhookID, retryAfter api.Micros) {
	in.appendAction(actionBounce, 12)
	in.appendUint32(uint32(id))
	in.appendUint64(nanoseconds(retryAfter))
}

// DeadLetter dead-letters a webhook.
func (in *instance) DeadLetter(id api.WebhookID) {
	in.appendAction(actionSurrender, 4)
	in.appendUint32(uint32(id))
}

// SetTimer sets a timer.
func (in *instance) SetTimer(after api.Micros, timer api.TimerID) {
	in.appendAction(actionTimer, 12)
	in.appendUint64(nanoseconds(after))
	in.appendUint32(uint32(timer))
}

// CloseIdleConnections closes the idle connections to an endpoint.
func (in *instance) CloseIdleConnections(endpoint api.EndpointID) {
	in.appendAction(actionClose, 4)
	in.appendUint32(uint32(endpoint))
}

// Log adds a line to the simulator's log.
func (in *instance) Log(text string) { in.appendText(actionRecord, text) }

func micros(nanoseconds uint64) api.Micros { return api.Micros(nanoseconds / nanosecondsPerMicro) }

func nanoseconds(t api.Micros) uint64 { return uint64(max(t, 0)) * nanosecondsPerMicro }
