package endpoints

import (
	"math"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

// deregisteredSequence is the sequence of an endpoint that has deregistered. No delayed call of its process is newer,
// since that never comes back.
const deregisteredSequence = math.MaxUint64

// The bits of a version's minor part: the state in all versions, and the sequence and registration in those of later
// registrations, which are newer than any version of the first one.
const (
	unresponsiveBit   = 1
	failingBit        = 2
	stateShift        = 2
	sequenceShift     = 4
	sequenceBits      = 44
	maxSequence       = 1<<sequenceBits - 1 // of a later registration; higher ones count as equal
	registrationShift = sequenceShift + sequenceBits
)

// VersionOf returns the version of an endpoint's state in gossip: first by the registration, then by the endpoint's
// count of its calls, then departed over draining over accepting, then failing over not failing, then unresponsive over
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

// IsTombstone reports whether the value of a gossip entry is of an endpoint that has departed; false for a value that
// can't be decoded.
func IsTombstone(value []byte) bool {
	e, err := Decode(value)
	return err == nil && e.State == state.EndpointDeparted
}
