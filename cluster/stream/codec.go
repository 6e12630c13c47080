package stream

import (
	"encoding/binary"
	"fmt"
	"math"

	"rowanlink/internal/strictcbor"
	"rowanlink/webhook/api"
)

// maxDeliveries limits the deliveries of a decoded frame. Without it a small frame could expand to a huge number of
// deliveries, as many items can refer to one destination list.
const maxDeliveries = 1 << 18

// Limits of a decoded message. Without them a short message could declare, and so allocate, large arrays and maps.
const (
	maxNestedLevels = 16
	maxMapPairs     = 64
)

var codec = strictcbor.New(strictcbor.Options{
	MaxNestedLevels:  maxNestedLevels,
	MaxArrayElements: maxDeliveries,
	MaxMapPairs:      maxMapPairs,
})

// Encode returns the deterministic CBOR encoding of a message of this package. It panics for a type that can't be encoded;
// all types of this package can.
func Encode(v any) []byte { return codec.MustMarshal(v) }

// Decode decodes one message into v. For an invalid encoding and for trailing bytes, the error wraps ErrMalformed. The
// decoded values are checked by Frame.Unpack and by the methods of Sender and Receiver.
func Decode(raw []byte, v any) error {
	if err := codec.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// encodeDestinations appends ascending destinations as varints of their differences, most of which take one byte.
func encodeDestinations(to []byte, destinations []api.DestinationID) []byte {
	previous := api.DestinationID(0)
	for _, d := range destinations {
		to = binary.AppendUvarint(to, uint64(d-previous))
		previous = d
	}
	return to
}

// decodeDestinations reverses encodeDestinations. The error wraps ErrMalformed if the list is empty, truncated, too long
// or not strictly ascending.
func decodeDestinations(b []byte) (destinations []api.DestinationID, err error) {
	previous := uint64(0)
	for i := 0; len(b) > 0; i++ {
		difference, n := binary.Uvarint(b)
		isDuplicate := difference == 0 && i > 0
		if n <= 0 || difference > math.MaxUint32-previous || isDuplicate || i >= maxDeliveries {
			return nil, fmt.Errorf("%w: destination list is truncated, too long or not ascending", ErrMalformed)
		}
		previous += difference
		b = b[n:]
		destinations = append(destinations, api.DestinationID(previous))
	}
	if len(destinations) == 0 {
		return nil, fmt.Errorf("%w: destination list is empty", ErrMalformed)
	}
	return destinations, nil
}
