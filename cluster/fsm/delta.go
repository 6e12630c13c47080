package fsm

import (
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

const (
	deltaDictionaryID = 1
	maxDeltaMemory    = 256 << 20 // bytes that decompressing a delta may take
)

// encodeDelta compresses a snapshot with an earlier one as the dictionary, so that unchanged sections become
// references. The frame contains a checksum of the result, by which ApplyDelta detects a wrong base.
func encodeDelta(base, target []byte) []byte {
	window := min(max(1<<bits.Len(uint(len(base)+len(target))), zstd.MinWindowSize), zstd.MaxWindowSize)
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderDictRaw(deltaDictionaryID, base),
		zstd.WithWindowSize(window),
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		return target // not smaller than the full snapshot, so DeltaSince returns that instead
	}
	defer func() { _ = encoder.Close() }() // there is no stream to flush
	return encoder.EncodeAll(target, make([]byte, 0, len(target)/16))
}

// ApplyDelta applies a delta from SnapshotHistory.DeltaSince to its base and returns the resulting snapshot. It
// returns ErrUnreadable if the delta is damaged or belongs to another base.
func ApplyDelta(base, delta []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderDictRaw(deltaDictionaryID, base),
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxDeltaMemory),
		zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, fmt.Errorf("delta of a component: %w: %w", ErrUnreadable, err)
	}
	defer decoder.Close()
	target, err := decoder.DecodeAll(delta, nil)
	if err != nil {
		return nil, fmt.Errorf("delta of a component: %w: %w", ErrUnreadable, err)
	}
	return target, nil
}
