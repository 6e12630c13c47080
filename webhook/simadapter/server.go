// Package simadapter connects the delivery policy to the simulator. It reads batches of events for many independent
// instances, translates each event into a call on its instance's policy, and replies with the policies' actions. The
// simulator's terms are used only in this package.
//
// All numbers are little-endian. A batch consists of a header of 16 bytes (length of the body, clock in nanoseconds,
// sequence number) and of records, each with a code, a length and fields. The reply consists of a header of 12 bytes
// (length of the body, number of actions, sequence number) and of actions in the same form as records.
package simadapter

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"rowanlink/webhook/api"
	"rowanlink/webhook/config"
)

// Serve reads batches from in and writes the replies to out, until the end of the input. It returns an error if the
// input is malformed or incomplete, or if a reply can't be written.
func Serve(in io.Reader, out io.Writer, newPolicy func(api.Settings, api.Host) api.Policy) error {
	s := &server{newPolicy: newPolicy, instances: map[uint16]*instance{}}
	r, w := bufio.NewReaderSize(in, bufferLen), bufio.NewWriterSize(out, bufferLen)
	var body []byte
	for {
		var header [headerLen]byte
		if _, err := io.ReadFull(r, header[:]); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("batch header: %w", err)
		}
		length := int(binary.LittleEndian.Uint32(header[:]))
		s.clock = binary.LittleEndian.Uint64(header[4:])
		sequence := binary.LittleEndian.Uint32(header[12:])
		var err error
		if body, err = readBody(r, body[:0], length); err != nil {
			return fmt.Errorf("batch %d breaks off: %w", sequence, err)
		}
		if err := s.handleBatch(body); err != nil {
			return fmt.Errorf("batch %d: %w", sequence, err)
		}
		if err := s.writeReply(w, sequence); err != nil {
			return fmt.Errorf("reply %d: %w", sequence, err)
		}
	}
}

// readBody reads length bytes into body. It grows the buffer only as bytes arrive, so that a wrong length in a header
// can't cause a huge allocation.
func readBody(r io.Reader, body []byte, length int) ([]byte, error) {
	for len(body) < length {
		have := len(body)
		body = append(body, make([]byte, min(length-have, bufferLen))...)
		if _, err := io.ReadFull(r, body[have:]); err != nil {
			return body, err
		}
	}
	return body, nil
}

type server struct {
	newPolicy func(api.Settings, api.Host) api.Policy
	instances map[uint16]*instance
	lists     [listNumbers][]api.EndpointEntry
	defined   [listNumbers]bool

	clock       uint64      // of the batch, in nanoseconds
	active      []*instance // the instances whose policy was called in this batch, in the order of their first call
	reply       []byte
	actionCount uint32
}

func (s *server) writeReply(w *bufio.Writer, sequence uint32) error {
	var header [replyHeaderLen]byte
	binary.LittleEndian.PutUint32(header[:], uint32(len(s.reply)))
	binary.LittleEndian.PutUint32(header[4:], s.actionCount)
	binary.LittleEndian.PutUint32(header[8:], sequence)
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	if _, err := w.Write(s.reply); err != nil {
		return err
	}
	return w.Flush()
}

// handleBatch handles all events of a batch, and then ends the turn of each instance whose policy was called.
func (s *server) handleBatch(body []byte) error {
	s.reply = s.reply[:0]
	s.actionCount = 0
	s.active = s.active[:0]
	for len(body) > 0 {
		if len(body) < recordHeaderLen {
			return fmt.Errorf("short record: %d bytes", len(body))
		}
		code, n := body[0], int(binary.LittleEndian.Uint32(body[1:]))
		if rest := len(body) - recordHeaderLen; n > rest {
			return fmt.Errorf("record of code %d has a length of %d bytes, but only %d are left", code, n, rest)
		}
		end := recordHeaderLen + n
		if err := s.handleEvent(code, &fields{rest: body[recordHeaderLen:end]}); err != nil {
			return fmt.Errorf("event of code %d: %w", code, err)
		}
		body = body[end:]
	}
	for _, in := range s.active {
		s.endTurn(in)
	}
	return nil
}

func (s *server) endTurn(in *instance) {
	in.inTurn = false
	if !in.stopped {
		in.recoverPanic(in.policy.EndTurn)
	}
	if !in.removed {
		s.reply = append(s.reply, in.actions...)
		s.actionCount += in.actionCount
	}
	in.actions = in.actions[:0]
	in.actionCount = 0
}

func (s *server) handleEvent(code byte, f *fields) error {
	if code == eventDefine {
		return s.define(f)
	}
	if code < eventOpen || code > eventDefine {
		return errors.New("unknown code")
	}
	id := f.u16()
	if f.truncated {
		return errShort
	}
	if code == eventOpen {
		return s.open(id, f)
	}
	in := s.instances[id]
	if in == nil {
		return fmt.Errorf("instance %d is unknown", id)
	}
	if code == eventDetach {
		s.remove(id)
		return nil
	}
	call, err := s.decode(in, code, f)
	if err != nil {
		return err
	}
	if call != nil && !in.stopped {
		s.beginTurn(in)
		in.recoverPanic(call)
	}
	return nil
}

// open starts an instance. It replaces an instance with the same id.
func (s *server) open(id uint16, f *fields) error {
	seed := f.u64()
	text := string(f.text(f.u32()))
	if f.truncated {
		return errShort
	}
	settings, err := config.FromPairs(seed, text)
	if err != nil {
		return err
	}
	s.remove(id)
	in := &instance{server: s, id: id}
	in.headroomIndex, in.limitIndex = config.ReportPositions(text)
	s.instances[id] = in
	s.beginTurn(in)
	in.recoverPanic(func() { in.policy = s.newPolicy(settings, in) })
	return nil
}

func (s *server) beginTurn(in *instance) {
	if !in.inTurn {
		in.inTurn = true
		s.active = append(s.active, in)
	}
}

// remove deletes an instance and drops its actions of this batch.
func (s *server) remove(id uint16) {
	if in := s.instances[id]; in != nil {
		in.stopped = true
		in.removed = true
		delete(s.instances, id)
	}
}
