// Package transport sends messages between the members of a cluster: requests and responses in CBOR over HTTP. A request
// is sent at most once. If it gets no response, the error says whether the other member may have received it.
package transport

import "rowanlink/internal/strictcbor"

// Limits of a decoded message. Without them a short message could declare, and so allocate, large arrays and maps.
const (
	maxNestedLevels = 16
	maxElements     = 1 << 18 // of an array or a map
)

// codec ignores unknown fields, as members of different versions exchange messages.
var codec = strictcbor.New(strictcbor.Options{
	MaxNestedLevels:  maxNestedLevels,
	MaxArrayElements: maxElements,
	MaxMapPairs:      maxElements,
})

// Encode returns the canonical CBOR encoding of a message. It panics if the type can't be encoded, such as a channel.
func Encode(v any) []byte { return codec.MustMarshal(v) }

// Decode decodes one message into v. Trailing bytes are an error.
func Decode(raw []byte, v any) error { return codec.Unmarshal(raw, v) }
