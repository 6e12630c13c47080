// Package transport is what members of a fleet say to each other: whole messages over HTTP, told apart by whether
// one that had no answer may have arrived.
package transport

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
)

// MaxMessageSize bounds a message and an answer, in bytes, also once it is unpacked.
const MaxMessageSize = 16 << 20

const (
	minCompressSize   = 4 << 10 // below it packing saves no packet
	compressionHeader = "Packed"
	compressionS2     = "s2"
)

var errMessageTooLarge = fmt.Errorf("over %d bytes", MaxMessageSize)

var encMode, decMode = newModes()

func newModes() (cbor.EncMode, cbor.DecMode) {
	in, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	// The bounds guard against a short message that asks for a large table.
	out, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 18, MaxMapPairs: 1 << 18,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return in, out
}

// Encode is a message's one form. It panics on what has none, such as a channel.
func Encode(v any) []byte {
	raw, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// Decode reads one whole message; nothing may follow it.
func Decode(raw []byte, v any) error { return decMode.Unmarshal(raw, v) }

// compress makes a body smaller, where that pays.
func compress(body []byte) (packed []byte, smaller bool) {
	if len(body) < minCompressSize {
		return body, false
	}
	if packed = s2.Encode(nil, body); len(packed) > len(body)*7/8 {
		return body, false
	}
	return packed, true
}

// decompress looks at what a body says of its length first: guards against one that grows over the bound.
func decompress(body []byte, by string) ([]byte, error) {
	switch by {
	case "":
		return body, nil
	case compressionS2:
	default:
		return nil, errors.New("packed in an unknown way")
	}
	n, err := s2.DecodedLen(body)
	if err != nil {
		return nil, err
	}
	if n > MaxMessageSize {
		return nil, errMessageTooLarge
	}
	return s2.Decode(nil, body)
}
