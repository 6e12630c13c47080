package endpoints

import (
	"math"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rowanlink/serving/state"
)

// signedOffSequence stands for the call count of an endpoint that has signed off: it never comes back, so that no
// call of it is newer, however late it comes.
const signedOffSequence = math.MaxUint64

// Version orders what is known of one endpoint: by the endpoint's own count of its calls, then Gone over Closing over
// Accepting, then failing over not failing and silent over not silent.
func Version(e state.Endpoint) (major, minor uint64) {
	const silent, failing, stateShift = 1, 2, 2
	minor = uint64(e.State) << stateShift
	if e.Unresponsive {
		minor |= silent
	}
	if e.Failing {
		minor |= failing
	}
	return e.Sequence, minor
}

// isNewer tells whether a is newer than b.
func isNewer(a, b state.Endpoint) bool {
	aMajor, aMinor := Version(a)
	bMajor, bMinor := Version(b)
	return aMajor > bMajor || aMajor == bMajor && aMinor > bMinor
}

// Encode is an endpoint as a value of the spread.
func Encode(e state.Endpoint) ([]byte, error) {
	value, err := cbor.Marshal(e)
	return value, errors.Wrap(err, "encode endpoint")
}

// Decode reads a value of the spread.
func Decode(value []byte) (state.Endpoint, error) {
	var e state.Endpoint
	err := cbor.Unmarshal(value, &e)
	return e, errors.Wrap(err, "decode endpoint")
}

// IsTombstone tells whether a value of the spread is of an endpoint that is gone. A value that can't be read isn't.
func IsTombstone(value []byte) bool {
	e, err := Decode(value)
	return err == nil && e.State == state.EndpointDeparted
}
