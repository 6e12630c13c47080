// Package benchwire puts the decision module on the bench's wire: it reads batches of events for many
// instances that share nothing, turns each into a call on its instance's module, and writes down as actions
// what the module does. The wire's names end here.
package benchwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime/debug"

	"rowanlink/gateway"
	"rowanlink/internal/facts"
)

// Codes of events and of actions.
const (
	evOpen, evTopology, evNew, evFirst, evOutcome, evVanished = 1, 2, 3, 4, 5, 6
	evWakeup, evEcho, evPeer, evDetach, evDefine              = 7, 8, 9, 10, 11

	actAttempt, actSurrender, actCrash, actClose = 1, 2, 4, 5
	actRecord, actTimer, actRevoke, actBounce    = 6, 9, 10, 12
)

const (
	headerLen, replyHeaderLen = 16, 12
	entryLen                  = 23
	listNumbers               = 16
	maxText                   = 1 << 10
)

// outcomes puts the wire's outcome codes, from 0, into our words.
var outcomes = [...]gateway.Outcome{gateway.Errored, gateway.Delivered, gateway.Full, gateway.TimedOut,
	gateway.ConnectFailed, gateway.Reset, gateway.Cancelled, gateway.NotSent}

// Serve answers batches from in until it ends. An error means that the input was malformed or broke off.
func Serve(in io.Reader, out io.Writer, start func(gateway.Facts, gateway.Host) gateway.Module) error {
	s := &server{start: start, instances: map[uint16]*instance{}}
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	var header [headerLen]byte
	var body []byte
	for {
		if _, err := io.ReadFull(r, header[:]); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("batch header: %w", err)
		}
		length := int(binary.LittleEndian.Uint32(header[:]))
		seq := binary.LittleEndian.Uint32(header[12:])
		s.clock = binary.LittleEndian.Uint64(header[4:])
		body = body[:0]
		for len(body) < length { // grown as bytes come, so that a false length costs no memory
			have := len(body)
			body = append(body, make([]byte, min(length-have, 1<<20))...)
			if _, err := io.ReadFull(r, body[have:]); err != nil {
				return fmt.Errorf("batch %d breaks off: %w", seq, err)
			}
		}
		if err := s.batch(body); err != nil {
			return fmt.Errorf("batch %d: %w", seq, err)
		}
		var head [replyHeaderLen]byte
		binary.LittleEndian.PutUint32(head[:], uint32(len(s.reply)))
		binary.LittleEndian.PutUint32(head[4:], s.records)
		binary.LittleEndian.PutUint32(head[8:], seq)
		w.Write(head[:])
		w.Write(s.reply)
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply %d: %w", seq, err)
		}
	}
}

type server struct {
	start     func(gateway.Facts, gateway.Host) gateway.Module
	instances map[uint16]*instance
	lists     [listNumbers][]gateway.Entry
	defined   [listNumbers]bool
	clock     uint64
	reply     []byte
	records   uint32
	acted     []*instance // had an event in this batch, in order of the first
}

// instance is one dispatcher: its module and the Host that the module acts through.
type instance struct {
	s      *server
	who    uint16
	module gateway.Module
	inTurn bool
	dead   bool // killed, or its module panicked
	killed bool // what it did in this batch must not reach its next life
	left   int  // places in a load report, or -1
	limit  int
	acts   []byte // its actions in this batch
	count  uint32
}

func (s *server) batch(body []byte) error {
	s.reply, s.records, s.acted = s.reply[:0], 0, s.acted[:0]
	for len(body) > 0 {
		if len(body) < 5 {
			return fmt.Errorf("short record: %d bytes", len(body))
		}
		code, n := body[0], int(binary.LittleEndian.Uint32(body[1:]))
		if n > len(body)-5 {
			return fmt.Errorf("record of code %d claims %d bytes, %d are left", code, n, len(body)-5)
		}
		f := &fields{left: body[5 : 5+n]}
		if err := s.event(code, f); err != nil {
			return fmt.Errorf("event of code %d: %w", code, err)
		}
		body = body[5+n:]
	}
	for _, in := range s.acted {
		in.inTurn = false
		if !in.dead {
			in.guard(in.module.TurnOver)
		}
		if !in.killed {
			s.reply = append(s.reply, in.acts...)
			s.records += in.count
		}
		in.acts, in.count = in.acts[:0], 0
	}
	return nil
}

func (s *server) event(code byte, f *fields) error {
	if code == evDefine {
		return s.define(f)
	}
	if code < evOpen || code > evDefine {
		return errors.New("unknown code")
	}
	who := f.u16()
	if f.bad {
		return errShort
	}
	if code == evOpen {
		seed, text := f.u64(), string(f.text(f.u32()))
		if f.bad {
			return errShort
		}
		known, err := facts.FromPairs(seed, text)
		if err != nil {
			return err
		}
		s.close(who)
		in := &instance{s: s, who: who}
		in.left, in.limit = facts.Reports(text)
		s.instances[who] = in
		s.turn(in)
		in.guard(func() { in.module = s.start(known, in) })
		return nil
	}
	in := s.instances[who]
	if in == nil {
		return fmt.Errorf("instance %d is unknown", who)
	}
	if code == evDetach {
		s.close(who)
		return nil
	}
	call, err := s.decode(in, code, f)
	if err != nil {
		return err
	}
	if call != nil && !in.dead {
		s.turn(in)
		in.guard(call)
	}
	return nil
}

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
			call = func() { in.module.Endpoints(list, form == whole || form == cached) }
		}
	case evNew:
		id, evt, tenant := gateway.WebhookID(f.u32()), gateway.EventTypeID(f.u8()), gateway.TenantID(f.u32())
		key, ttl := gateway.Key(f.u64()), micros(f.u64())
		f.skip(8)
		dest := f.f32()
		f.skip(1)
		if !f.bad && !(dest >= 0 && dest <= math.MaxUint16) {
			return nil, fmt.Errorf("destination %v is no number of one", dest)
		}
		call = func() { in.module.Take(id, evt, tenant, key, ttl, gateway.DestinationID(dest)) }
	case evOutcome:
		id := gateway.WebhookID(f.u32())
		f.skip(1)
		ep, what, took := gateway.EndpointID(f.u32()), f.u16(), micros(f.u64())
		ended, note := f.u8() != 0, f.u32()
		tell := in.report(f, ep)
		if !f.bad && int(what) >= len(outcomes) {
			return nil, fmt.Errorf("outcome %d is unknown", what)
		}
		wait := gateway.Micros(0)
		if !f.bad && outcomes[what] == gateway.Full {
			wait = gateway.Micros(note) * 1000
		}
		call = func() {
			tell()
			in.module.Outcome(id, ep, outcomes[what], took, ended, wait)
		}
	case evVanished:
		id := gateway.WebhookID(f.u32())
		call = func() { in.module.Withdrawn(id) }
	case evWakeup:
		timer := gateway.TimerID(f.u32())
		call = func() { in.module.Wake(timer) }
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

// report reads a load report and returns the call that tells of it; an absent or short one tells nothing.
func (in *instance) report(f *fields, ep gateway.EndpointID) (tell func()) {
	values := make([]float64, f.u8())
	for i := range values {
		values[i] = float64(f.f32())
	}
	if in.left < 0 || in.limit < 0 || max(in.left, in.limit) >= len(values) {
		return func() {}
	}
	return func() { in.module.Reported(ep, values[in.left], values[in.limit]) }
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
	list := make([]gateway.Entry, n)
	standings := [...]gateway.Standing{gateway.Listed, gateway.Gone, gateway.Draining}
	for i := range list {
		e := &list[i]
		e.Endpoint, e.Zone, e.Kind = gateway.EndpointID(f.u32()), gateway.ZoneID(f.u16()), gateway.KindID(f.u16())
		e.Destination = gateway.DestinationID(f.u16())
		state := f.u8()
		if int(state) >= len(standings) {
			return fmt.Errorf("state %d of an endpoint is unknown", state)
		}
		e.Standing, e.Rate = standings[state], float64(f.f32())
		f.skip(8)
	}
	s.lists[ref], s.defined[ref] = list, true
	return nil
}

func (s *server) turn(in *instance) {
	if !in.inTurn {
		in.inTurn = true
		s.acted = append(s.acted, in)
	}
}

// close forgets an instance, also what it would still have done in this batch.
func (s *server) close(who uint16) {
	if in := s.instances[who]; in != nil {
		in.dead, in.killed = true, true
		delete(s.instances, who)
	}
}

// guard makes a panic in the module this instance's last action instead of the end of the process.
func (in *instance) guard(call func()) {
	if in.dead {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			in.dead = true
			in.text(actCrash, fmt.Sprintf("%v\n%s", p, debug.Stack()))
		}
	}()
	call()
}

func micros(ns uint64) gateway.Micros { return gateway.Micros(ns / 1000) }

func ns(t gateway.Micros) uint64 { return uint64(max(t, 0)) * 1000 }

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
func (in *instance) Now() gateway.Micros { return micros(in.s.clock) }

func (in *instance) Attempt(id gateway.WebhookID, ep gateway.EndpointID, patience, _ gateway.Micros) {
	in.act(actAttempt, 16)
	in.u32(uint32(id))
	in.u32(uint32(ep))
	in.u64(ns(patience))
}

func (in *instance) Cancel(id gateway.WebhookID, attempt int) {
	in.act(actRevoke, 5)
	in.u32(uint32(id))
	in.acts = append(in.acts, byte(attempt))
}

func (in *instance) Reject(id gateway.WebhookID, advised gateway.Micros) {
	in.act(actBounce, 12)
	in.u32(uint32(id))
	in.u64(ns(advised))
}

func (in *instance) DeadLetter(id gateway.WebhookID) {
	in.act(actSurrender, 4)
	in.u32(uint32(id))
}

func (in *instance) Wake(after gateway.Micros, timer gateway.TimerID) {
	in.act(actTimer, 12)
	in.u64(ns(after))
	in.u32(uint32(timer))
}

func (in *instance) CloseIdle(ep gateway.EndpointID) {
	in.act(actClose, 4)
	in.u32(uint32(ep))
}

func (in *instance) Log(text string) { in.text(actRecord, text) }

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
