package lease

import (
	"fmt"

	"rowanlink/cluster"
)

// Fence rejects requests of earlier lease holders. Each process that lease holders act on has one, with
// the highest epoch seen of each resource (Kleppmann, How to do distributed locking, 2016: fencing tokens).
type Fence struct {
	highest map[cluster.Resource]cluster.Epoch
}

type fenceImage struct {
	Format  int                                `cbor:"1,keyasint"`
	Highest map[cluster.Resource]cluster.Epoch `cbor:"2,keyasint"`
}

const fenceFormat = 1

// NewFence returns a fence that has seen no epoch. It is only for a folder that never had one.
func NewFence() *Fence { return &Fence{map[cluster.Resource]cluster.Epoch{}} }

// Admit accepts a request whose epoch is at least the highest seen, else returns cluster.ErrFenced. If raised
// is true, the caller must write Encode's result to disk and sync it before it acts: otherwise a restart would
// forget the epoch and admit an earlier holder after it.
func (f *Fence) Admit(r cluster.Resource, e cluster.Epoch) (raised bool, err error) {
	if e == 0 || e < f.highest[r] {
		return false, cluster.ErrFenced
	}
	raised = e > f.highest[r]
	f.highest[r] = e
	return raised, nil
}

// Encode returns the form that DecodeFence reads.
func (f *Fence) Encode() []byte {
	return codec.MustMarshal(fenceImage{Format: fenceFormat, Highest: f.highest})
}

// DecodeFence restores the fence of an earlier process. It returns ErrUnreadable if the data is damaged or of a
// newer format; nothing may be admitted then, and the caller must not begin with an empty fence.
func DecodeFence(b []byte) (*Fence, error) {
	var image fenceImage
	if err := codec.Unmarshal(b, &image); err != nil {
		return nil, fmt.Errorf("fence: %w: %w", ErrUnreadable, err)
	}
	if image.Format != fenceFormat {
		return nil, fmt.Errorf("fence: format %d, this program reads %d: %w",
			image.Format, fenceFormat, ErrUnreadable)
	}
	f := NewFence()
	for resource, epoch := range image.Highest {
		if resource == "" || epoch == 0 {
			return nil, fmt.Errorf("fence: resource %q with epoch %d: %w", resource, epoch, ErrUnreadable)
		}
		f.highest[resource] = epoch
	}
	return f, nil
}
