package lease

import (
	"fmt"

	"rowanlink/cluster"
)

// Fence rejects requests from earlier lease holders by their fencing tokens (Kleppmann, How to do distributed
// locking, 2016). Each process that lease holders act on has a Fence, which records the highest epoch seen for each
// resource.
type Fence struct {
	highest map[cluster.Resource]cluster.Epoch
}

type fenceImage struct {
	Format  int                                `cbor:"1,keyasint"`
	Highest map[cluster.Resource]cluster.Epoch `cbor:"2,keyasint"`
}

const fenceFormat = 1

// NewFence returns a fence that has seen no epoch. Use it only for a data folder in which no fence was ever stored.
func NewFence() *Fence { return &Fence{map[cluster.Resource]cluster.Epoch{}} }

// Admit accepts a request whose epoch is at least the highest seen for the resource, and otherwise returns
// cluster.ErrFenced. If raised is true, the caller must write the result of Encode to disk and sync it before it acts
// on the request: otherwise the epoch would be lost in a restart, and an earlier holder would be admitted afterwards.
func (f *Fence) Admit(r cluster.Resource, e cluster.Epoch) (raised bool, err error) {
	if e == 0 || e < f.highest[r] {
		return false, cluster.ErrFenced
	}
	raised = e > f.highest[r]
	f.highest[r] = e
	return raised, nil
}

// Encode encodes the fence for DecodeFence.
func (f *Fence) Encode() []byte {
	return codec.MustMarshal(fenceImage{Format: fenceFormat, Highest: f.highest})
}

// DecodeFence restores the fence that an earlier process encoded. It returns ErrUnreadable if the data is damaged or
// has another format. The process must then admit no request, and must not start with an empty fence instead.
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
