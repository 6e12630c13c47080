// Package transport is what members of a fleet say to each other: whole messages over HTTP, told apart by whether
// one that had no answer may have arrived.
package transport

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
)

// MostBody bounds a message and an answer, in bytes, also once it is unpacked.
const MostBody = 16 << 20

const (
	packOver   = 4 << 10 // below it packing saves no packet
	packedBy   = "Packed"
	packedAsS2 = "s2"
)

var errTooLarge = fmt.Errorf("over %d bytes", MostBody)

var coded, decoded = forms()

func forms() (cbor.EncMode, cbor.DecMode) {
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
	raw, err := coded.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// Decode reads one whole message; nothing may follow it.
func Decode(raw []byte, v any) error { return decoded.Unmarshal(raw, v) }

// pack makes a body smaller, where that pays.
func pack(body []byte) (packed []byte, smaller bool) {
	if len(body) < packOver {
		return body, false
	}
	if packed = s2.Encode(nil, body); len(packed) > len(body)*7/8 {
		return body, false
	}
	return packed, true
}

// unpack looks at what a body says of its length first: guards against one that grows over the bound.
func unpack(body []byte, by string) ([]byte, error) {
	switch by {
	case "":
		return body, nil
	case packedAsS2:
	default:
		return nil, errors.New("packed in an unknown way")
	}
	n, err := s2.DecodedLen(body)
	if err != nil {
		return nil, err
	}
	if n > MostBody {
		return nil, errTooLarge
	}
	return s2.Decode(nil, body)
}
