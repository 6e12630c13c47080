package lease

import (
	"fmt"

	"rowanlink/cluster"
)

// Fence is kept by whoever is acted on: the highest epoch seen of each task.
type Fence struct {
	highest map[cluster.Resource]cluster.Epoch
}

type fenceImage struct {
	Format int                                `cbor:"1,keyasint"`
	Seen   map[cluster.Resource]cluster.Epoch `cbor:"2,keyasint"`
}

const fenceFormat = 1

// NewFence has seen nothing: only for a folder that never had one.
func NewFence() *Fence { return &Fence{map[cluster.Resource]cluster.Epoch{}} }

// Admit lets a deed in whose epoch is the highest seen or above it, else cluster.ErrFenced. Where risen is true
// the caller must keep Bytes, synced to disk, before it acts: a deed done by an epoch that a restart forgets
// would let a former holder in after it.
func (f *Fence) Admit(t cluster.Resource, e cluster.Epoch) (risen bool, err error) {
	if e == 0 || e < f.highest[t] {
		return false, cluster.ErrFenced
	}
	risen = e > f.highest[t]
	f.highest[t] = e
	return risen, nil
}

// Encode is what DecodeFence reads.
func (f *Fence) Encode() []byte { return encode(fenceImage{fenceFormat, f.highest}) }

// DecodeFence is the fence of an earlier life; ErrUnreadable where it is damaged or of a newer program, and
// then nothing may be admitted: the caller must not begin with an empty one.
func DecodeFence(b []byte) (*Fence, error) {
	var image fenceImage
	if err := decoding.Unmarshal(b, &image); err != nil {
		return nil, fmt.Errorf("fence: %w: %w", ErrUnreadable, err)
	}
	if image.Format != fenceFormat {
		return nil, fmt.Errorf("fence: format %d, this program reads %d: %w",
			image.Format, fenceFormat, ErrUnreadable)
	}
	f := NewFence()
	for t, e := range image.Seen {
		if t == "" || e == 0 {
			return nil, fmt.Errorf("fence: task %q with epoch %d: %w", t, e, ErrUnreadable)
		}
		f.highest[t] = e
	}
	return f, nil
}
