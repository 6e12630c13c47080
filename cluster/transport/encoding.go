// Package transport sends messages between the members of a cluster: requests and responses in CBOR over HTTP, each
// attempted once. A request without a response fails with an error that tells whether it may have arrived.
package transport

import "github.com/fxamacker/cbor/v2"

// Bounds of a decoded message. They keep a short message from allocating large tables.
const (
	maxNestedLevels = 16
	maxElements     = 1 << 18 // of an array or a map
)

var encMode, decMode = newModes()

func newModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	dec, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return enc, dec
}

// Encode returns the canonical CBOR encoding of a message. It panics on a value that has none, such as a channel.
func Encode(v any) []byte {
	raw, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// Decode decodes one message. Bytes that follow it are an error.
func Decode(raw []byte, v any) error { return decMode.Unmarshal(raw, v) }
