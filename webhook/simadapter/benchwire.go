// Package simadapter puts the decision module on the bench's wire: it reads batches of events for many
// instances that share nothing, turns each into a call on its instance's module, and writes down as actions
// what the module does. The wire's names end here.
package simadapter

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"rowanlink/webhook/api"
	"rowanlink/webhook/config"
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
var outcomes = [...]api.Outcome{api.ErrorResponse, api.Delivered, api.Rejected, api.TimedOut,
	api.ConnectFailed, api.ConnectionReset, api.Cancelled, api.NotSent}

// Serve answers batches from in until it ends. An error means that the input was malformed or broke off.
func Serve(in io.Reader, out io.Writer, start func(api.Settings, api.Host) api.Policy) error {
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
	start     func(api.Settings, api.Host) api.Policy
	instances map[uint16]*instance
	lists     [listNumbers][]api.EndpointEntry
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
	module api.Policy
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
			in.guard(in.module.EndTurn)
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
		known, err := config.FromPairs(seed, text)
		if err != nil {
			return err
		}
		s.close(who)
		in := &instance{s: s, who: who}
		in.left, in.limit = config.Reports(text)
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

// report reads a load report and returns the call that tells of it; an absent or short one tells nothing.
func (in *instance) report(f *fields, ep api.EndpointID) (tell func()) {
	values := make([]float64, f.u8())
	for i := range values {
		values[i] = float64(f.f32())
	}
	if in.left < 0 || in.limit < 0 || max(in.left, in.limit) >= len(values) {
		return func() {}
	}
	return func() {
		in.module.ReportLoad(api.LoadReport{Endpoint: ep, Headroom: values[in.left], Limit: values[in.limit]})
	}
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
