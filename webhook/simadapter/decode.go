package simadapter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"rowanlink/webhook/api"
)

// decode reads an event's fields and returns the call that they make, or nil where there is none to make.
func (s *server) decode(in *instance, code byte, f *fields) (call func(), err error) {
	switch code {
	case evTopology:
		f.skip(8)
		ref, form := f.u16(), f.u8()
		const delta, whole, cached, failed = 0, 1, 2, 3
		switch {
		case f.bad || form == failed:
		case form > failed:
			return nil, fmt.Errorf("list form %d is unknown", form)
		case int(ref) >= listNumbers || !s.defined[ref]:
			return nil, fmt.Errorf("list %d was never defined", ref)
		default:
			list := s.lists[ref]
			call = func() { in.module.UpdateEndpoints(list, form == whole || form == cached) }
		}
	case evNew:
		id, evt, tenant := api.WebhookID(f.u32()), api.EventTypeID(f.u8()), api.TenantID(f.u32())
		key, ttl := api.OrderingKey(f.u64()), micros(f.u64())
		f.skip(8)
		dest := f.f32()
		f.skip(1)
		if !f.bad && !(dest >= 0 && dest <= math.MaxUint16) {
			return nil, fmt.Errorf("destination %v is no number of one", dest)
		}
		submitted := api.Webhook{
			ID:          id,
			EventType:   evt,
			Tenant:      tenant,
			OrderingKey: key,
			Deadline:    ttl,
			Destination: api.DestinationID(dest),
		}
		call = func() { in.module.Submit(submitted) }
	case evOutcome:
		id := api.WebhookID(f.u32())
		f.skip(1)
		ep, what, took := api.EndpointID(f.u32()), f.u16(), micros(f.u64())
		ended, note := f.u8() != 0, f.u32()
		tell := in.report(f, ep)
		if !f.bad && int(what) >= len(outcomes) {
			return nil, fmt.Errorf("outcome %d is unknown", what)
		}
		wait := api.Micros(0)
		if !f.bad && outcomes[what] == api.Rejected {
			wait = api.Micros(note) * 1000
		}
		call = func() {
			tell()
			in.module.AttemptEnded(api.AttemptResult{
				Webhook:    id,
				Endpoint:   ep,
				Outcome:    outcomes[what],
				Latency:    took,
				Final:      ended,
				RetryAfter: wait,
			})
		}
	case evVanished:
		id := api.WebhookID(f.u32())
		call = func() { in.module.Withdraw(id) }
	case evWakeup:
		timer := api.TimerID(f.u32())
		call = func() { in.module.TimerFired(timer) }
	case evEcho: // the module sends no probes
		f.skip(14)
		f.skip(4 * int(f.u8()))
	case evFirst: // streams: no deployment has them
		f.skip(17)
	case evPeer: // messages between dispatchers: none are sent, none are read
		f.skip(2)
		f.text(uint32(f.u16()))
	}
	if f.bad {
		return nil, errShort
	}
	return call, nil
}

// define keeps a list under its number until another takes it.
func (s *server) define(f *fields) error {
	ref, n := f.u16(), f.u32()
	if f.bad || uint64(n)*entryLen > uint64(len(f.left)) {
		return errShort
	}
	if ref >= listNumbers {
		return fmt.Errorf("list number %d is over %d", ref, listNumbers-1)
	}
	list := make([]api.EndpointEntry, n)
	standings := [...]api.EndpointStatus{api.EndpointActive, api.EndpointRemoved, api.EndpointDraining}
	for i := range list {
		e := &list[i]
		e.Endpoint, e.Zone, e.Kind = api.EndpointID(f.u32()), api.ZoneID(f.u16()), api.DestinationKindID(f.u16())
		e.Destination = api.DestinationID(f.u16())
		state := f.u8()
		if int(state) >= len(standings) {
			return fmt.Errorf("state %d of an endpoint is unknown", state)
		}
		e.Status, e.Rate = standings[state], float64(f.f32())
		f.skip(8)
	}
	s.lists[ref], s.defined[ref] = list, true
	return nil
}

var errShort = errors.New("the record is shorter than its fields")

// fields reads a record's fields in order; past the end it yields zeros and remembers that it was.
type fields struct {
	left []byte
	bad  bool
}

func (f *fields) take(n int) []byte {
	if n < 0 || n > len(f.left) {
		f.bad, f.left = true, nil
		return make([]byte, 8)
	}
	b := f.left[:n]
	f.left = f.left[n:]
	return b
}

func (f *fields) skip(n int) {
	if n < 0 || n > len(f.left) {
		f.bad, f.left = true, nil
		return
	}
	f.left = f.left[n:]
}

func (f *fields) text(n uint32) []byte {
	if uint64(n) > uint64(len(f.left)) {
		f.bad, f.left = true, nil
		return nil
	}
	return f.take(int(n))
}

func (f *fields) u8() byte     { return f.take(1)[0] }
func (f *fields) u16() uint16  { return binary.LittleEndian.Uint16(f.take(2)) }
func (f *fields) u32() uint32  { return binary.LittleEndian.Uint32(f.take(4)) }
func (f *fields) u64() uint64  { return binary.LittleEndian.Uint64(f.take(8)) }
func (f *fields) f32() float32 { return math.Float32frombits(f.u32()) }
