package transport

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/s2"
)

// MaxMessageSize limits the body of a request or response, in bytes, compressed and decompressed.
const MaxMessageSize = 16 << 20

const (
	minCompressSize   = 4 << 10 // compressing a smaller body saves no packet
	compressionHeader = "Packed"
	compressionS2     = "s2"
)

var (
	errMessageTooLarge    = fmt.Errorf("message is larger than %d bytes", MaxMessageSize)
	errUnknownCompression = errors.New("unknown compression")
)

// compress returns the compressed body and true if compression saves at least an eighth, else the body itself and false.
func compress(body []byte) ([]byte, bool) {
	if len(body) < minCompressSize {
		return body, false
	}
	compressed := s2.Encode(nil, body)
	if len(compressed) > len(body)*7/8 {
		return body, false
	}
	return compressed, true
}

// decompress decompresses a body as the value of its compressionHeader says. It checks the declared size first, so that it
// never allocates more than MaxMessageSize.
func decompress(body []byte, compression string) ([]byte, error) {
	switch compression {
	case "":
		return body, nil
	case compressionS2:
	default:
		return nil, errUnknownCompression
	}
	size, err := s2.DecodedLen(body)
	if err != nil {
		return nil, err
	}
	if size > MaxMessageSize {
		return nil, errMessageTooLarge
	}
	return s2.Decode(nil, body)
}
