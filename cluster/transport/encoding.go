// Package transport sends messages between the members of a cluster: requests and responses in CBOR over HTTP, each
// attempted once. A request without a response fails with an error that tells whether it may have arrived.
package transport

import "rowanlink/internal/strictcbor"

// Bounds of a decoded message. They keep a short message from allocating large tables.
const (
	maxNestedLevels = 16
	maxElements     = 1 << 18 // of an array or a map
)

// codec ignores unknown fields: members of different versions exchange messages.
var codec = strictcbor.New(strictcbor.Options{
	MaxNestedLevels:  maxNestedLevels,
	MaxArrayElements: maxElements,
	MaxMapPairs:      maxElements,
})

// Encode returns the canonical CBOR encoding of a message. It panics on a value that has none, such as a channel.
func Encode(v any) []byte { return codec.MustMarshal(v) }

// Decode decodes one message. Bytes that follow it are an error.
func Decode(raw []byte, v any) error { return codec.Unmarshal(raw, v) }
