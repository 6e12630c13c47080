package fsm

import (
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// SnapshotHistory is what a keeper remembers of one part, so that whoever has an earlier snapshot is told what changed
// since and not the whole again.
type SnapshotHistory struct {
	all  []snapshot // oldest first; the last is the newest
	held int        // bytes
}

// snapshot is a part as it was at a version, and the change from there to the newest; nil: not made yet.
type snapshot struct {
	version     uint64
	raw, change []byte
}

const (
	mostPast   = 16       // snapshots
	mostHeld   = 32 << 20 // bytes of them, the newest aside
	mostChange = 256 << 20
	baseID     = 1
)

// NewestVersion is the version of the newest snapshot; 0: none.
func (p *SnapshotHistory) NewestVersion() uint64 {
	if len(p.all) == 0 {
		return 0
	}
	return p.all[len(p.all)-1].version
}

// Add remembers a snapshot, the newest from now on. One older than that begins anew: the log did.
func (p *SnapshotHistory) Add(version uint64, raw []byte) {
	switch {
	case version < p.NewestVersion():
		*p = SnapshotHistory{}
	case version == p.NewestVersion():
		return
	}
	for i := range p.all {
		p.all[i].change = nil
	}
	p.all, p.held = append(p.all, snapshot{version: version, raw: raw}), p.held+len(raw)
	for len(p.all) > mostPast || len(p.all) > 1 && p.held-len(raw) > mostHeld {
		p.held -= len(p.all[0].raw)
		p.all = append([]snapshot(nil), p.all[1:]...)
	}
}

// DeltaSince is the newest snapshot for whoever has the one of a version: the change from there, or all of it with
// version 0 where that one is not remembered, or a change would not be much smaller.
func (p *SnapshotHistory) DeltaSince(version uint64) (from uint64, bytes []byte) {
	newest := p.all[len(p.all)-1].raw
	for i := range p.all[:len(p.all)-1] {
		s := &p.all[i]
		if s.version != version {
			continue
		}
		if s.change == nil {
			s.change = encodeDelta(s.raw, newest)
		}
		if len(s.change) < len(newest)/2 {
			return version, s.change
		}
	}
	return 0, newest
}

// encodeDelta is packed against the snapshot before: what is as it was there is only pointed at. It has a sum of
// the whole, so that Changed can't make another one of it.
func encodeDelta(from, to []byte) []byte {
	window := min(max(1<<bits.Len(uint(len(from)+len(to))), zstd.MinWindowSize), zstd.MaxWindowSize)
	e, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(baseID, from), zstd.WithWindowSize(window),
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return to // never smaller than the whole: that is sent
	}
	defer e.Close()
	return e.EncodeAll(to, make([]byte, 0, len(to)/16))
}

// ApplyDelta is the snapshot that a change led to from an earlier one; ErrUnreadable where it was made from
// another, or is damaged.
func ApplyDelta(from, change []byte) ([]byte, error) {
	d, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(baseID, from), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(mostChange), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, fmt.Errorf("change of a part: %w: %w", ErrUnreadable, err)
	}
	defer d.Close()
	to, err := d.DecodeAll(change, nil)
	if err != nil {
		return nil, fmt.Errorf("change of a part: %w: %w", ErrUnreadable, err)
	}
	return to, nil
}
