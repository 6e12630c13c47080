package lease

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"rowanlink/cluster"
)

// Digest summarizes a set of grants independently of their order: it is the sum of a hash of each grant. Different
// sets have the same digest only if their sums happen to collide.
type Digest uint64

func digestOf(r cluster.Resource, e cluster.Epoch) Digest {
	return Digest(xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, uint64(e)), r...)))
}
