package simadapter

import (
	"encoding/binary"

	"rowanlink/webhook/api"
)

func micros(ns uint64) api.Micros { return api.Micros(ns / 1000) }

func ns(t api.Micros) uint64 { return uint64(max(t, 0)) * 1000 }

// act writes an action's header and instance; size is that of the fields after these.
func (in *instance) act(code byte, size int) {
	in.count++
	in.acts = append(in.acts, code)
	in.acts = binary.LittleEndian.AppendUint32(in.acts, uint32(2+size))
	in.acts = binary.LittleEndian.AppendUint16(in.acts, in.who)
}

func (in *instance) u32(v uint32) { in.acts = binary.LittleEndian.AppendUint32(in.acts, v) }
func (in *instance) u64(v uint64) { in.acts = binary.LittleEndian.AppendUint64(in.acts, v) }

func (in *instance) text(code byte, text string) {
	text = text[:min(len(text), maxText)]
	in.act(code, 2+len(text))
	in.acts = binary.LittleEndian.AppendUint16(in.acts, uint16(len(text)))
	in.acts = append(in.acts, text...)
}

// Now is the batch's clock.
func (in *instance) Now() api.Micros { return micros(in.s.clock) }

func (in *instance) StartAttempt(id api.WebhookID, ep api.EndpointID, patience, _ api.Micros) {
	in.act(actAttempt, 16)
	in.u32(uint32(id))
	in.u32(uint32(ep))
	in.u64(ns(patience))
}

func (in *instance) CancelAttempt(id api.WebhookID, attempt int) {
	in.act(actRevoke, 5)
	in.u32(uint32(id))
	in.acts = append(in.acts, byte(attempt))
}

func (in *instance) Reject(id api.WebhookID, advised api.Micros) {
	in.act(actBounce, 12)
	in.u32(uint32(id))
	in.u64(ns(advised))
}

func (in *instance) DeadLetter(id api.WebhookID) {
	in.act(actSurrender, 4)
	in.u32(uint32(id))
}

func (in *instance) SetTimer(after api.Micros, timer api.TimerID) {
	in.act(actTimer, 12)
	in.u64(ns(after))
	in.u32(uint32(timer))
}

func (in *instance) CloseIdleConnections(ep api.EndpointID) {
	in.act(actClose, 4)
	in.u32(uint32(ep))
}

func (in *instance) Log(text string) { in.text(actRecord, text) }
