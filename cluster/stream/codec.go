package stream

import (
	"encoding/binary"
	"fmt"
	"math"

	"rowanlink/internal/strictcbor"
	"rowanlink/webhook/api"
)

// maxDeliveries limits the deliveries of one frame when it is decoded: encoded lists are small, what they expand
// to is not.
const maxDeliveries = 1 << 18

// The limits of decoding, against a short message that asks for a large table.
const (
	maxNestedLevels = 16
	maxMapPairs     = 64
)

var codec = strictcbor.New(strictcbor.Options{
	MaxNestedLevels:  maxNestedLevels,
	MaxArrayElements: maxDeliveries,
	MaxMapPairs:      maxMapPairs,
})

// Encode returns the deterministic encoding of a Frame, OpenRequest, Ack, Result or list of results. All of these can be
// encoded.
func Encode(v any) []byte { return codec.MustMarshal(v) }

// Decode decodes one message with nothing after it, else returns ErrMalformed. The content is checked by whoever
// processes it.
func Decode(raw []byte, v any) error {
	if err := codec.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// encodeDestinations appends ascending destinations as varints of the differences: most take one byte.
func encodeDestinations(to []byte, destinations []api.DestinationID) []byte {
	previous := api.DestinationID(0)
	for _, d := range destinations {
		to = binary.AppendUvarint(to, uint64(d-previous))
		previous = d
	}
	return to
}

// decodeDestinations reverses encodeDestinations. A list that is empty, truncated or not ascending is ErrMalformed.
func decodeDestinations(b []byte) (destinations []api.DestinationID, err error) {
	previous := uint64(0)
	for i := 0; len(b) > 0; i++ {
		difference, n := binary.Uvarint(b)
		isDuplicate := difference == 0 && i > 0
		if n <= 0 || difference > math.MaxUint32-previous || isDuplicate || i >= maxDeliveries {
			return nil, fmt.Errorf("%w: list of subscribers", ErrMalformed)
		}
		previous += difference
		b = b[n:]
		destinations = append(destinations, api.DestinationID(previous))
	}
	if len(destinations) == 0 {
		return nil, fmt.Errorf("%w: list without a subscriber", ErrMalformed)
	}
	return destinations, nil
}
