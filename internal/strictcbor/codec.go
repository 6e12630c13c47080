// Package strictcbor implements the CBOR codec of replicated logs and of messages between members. Encoding is
// deterministic (RFC 8949, section 4.2.1), so that a value has the same bytes on each member. Decoding rejects what two
// versions of a program could decode differently: duplicate keys, indefinite lengths and tags.
package strictcbor

import "github.com/fxamacker/cbor/v2"

// Options limit what can be decoded. A limit of zero stands for the library's default.
type Options struct {
	MaxNestedLevels  int
	MaxArrayElements int
	MaxMapPairs      int
	// RejectUnknownFields makes decoding fail on a field that the Go type doesn't have. It is needed for entries of a
	// log, since all members have to reject the same entries. It is unsuitable for messages, since a later version may
	// add a field.
	RejectUnknownFields bool
}

// Codec encodes and decodes. It is safe for concurrent use.
type Codec struct {
	encoding cbor.EncMode
	decoding cbor.DecMode
}

// New returns a codec. It panics on limits that the library doesn't support, since options are constants of the
// program.
func New(options Options) *Codec {
	encoding, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	unknownFields := cbor.ExtraDecErrorNone
	if options.RejectUnknownFields {
		unknownFields = cbor.ExtraDecErrorUnknownField
	}
	decoding, err := cbor.DecOptions{
		MaxNestedLevels:   options.MaxNestedLevels,
		MaxArrayElements:  options.MaxArrayElements,
		MaxMapPairs:       options.MaxMapPairs,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: unknownFields,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return &Codec{encoding: encoding, decoding: decoding}
}

// Marshal returns the encoding of a value.
func (c *Codec) Marshal(value any) ([]byte, error) { return c.encoding.Marshal(value) }

// MustMarshal is like Marshal, for types that can always be encoded. It panics if encoding fails.
func (c *Codec) MustMarshal(value any) []byte {
	encoded, err := c.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Unmarshal decodes one value. Bytes that follow it are an error.
func (c *Codec) Unmarshal(encoded []byte, value any) error {
	return c.decoding.Unmarshal(encoded, value)
}
