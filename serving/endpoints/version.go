package endpoints

import (
	"math"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

// deregisteredSequence is the sequence of an endpoint that has deregistered. It is the highest one, so that no delayed
// call of the endpoint's process is newer. The process never registers again.
const deregisteredSequence = math.MaxUint64

// The bits of a version's minor part. In versions of the first registration the major part is the sequence, and the
// minor part has only the state. Versions of later registrations are newer than all of these: their major part is the
// highest one, and their minor part also has the registration and the sequence.
const (
	unresponsiveBit   = 1
	failingBit        = 2
	stateShift        = 2
	sequenceShift     = 4
	sequenceBits      = 44
	maxSequence       = 1<<sequenceBits - 1 // of a later registration; higher ones are encoded as this one
	registrationShift = sequenceShift + sequenceBits
)

// VersionOf returns the version of an endpoint's state in gossip. Versions are ordered by the registration, then by the
// sequence, then departed over draining over accepting, then failing over not failing, then unresponsive over
// responsive.
func VersionOf(e state.Endpoint) gossip.Version {
	minor := uint64(e.State) << stateShift
	if e.Unresponsive {
		minor |= unresponsiveBit
	}
	if e.Failing {
		minor |= failingBit
	}
	if e.Registration == 0 {
		return gossip.NewVersion(e.Sequence, minor)
	}
	minor |= min(e.Sequence, maxSequence) << sequenceShift
	minor |= e.Registration << registrationShift
	return gossip.NewVersion(math.MaxUint64, minor)
}

// isNewer reports whether a is newer than b.
func isNewer(a, b state.Endpoint) bool {
	return VersionOf(b).Less(VersionOf(a))
}

// Encode returns an endpoint as the value of a gossip entry.
func Encode(e state.Endpoint) ([]byte, error) {
	value, err := cbor.Marshal(e)
	return value, errors.Wrap(err, "encode endpoint")
}

// Decode decodes the value of a gossip entry.
func Decode(value []byte) (state.Endpoint, error) {
	var e state.Endpoint
	err := cbor.Unmarshal(value, &e)
	return e, errors.Wrap(err, "decode endpoint")
}

// IsTombstone reports whether the value of a gossip entry is an endpoint that has departed. It returns false for a
// value that can't be decoded.
func IsTombstone(value []byte) bool {
	e, err := Decode(value)
	return err == nil && e.State == state.EndpointDeparted
}
