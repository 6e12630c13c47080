package state

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/cockroachdb/errors"
)

// Digest identifies a document by its bytes: the first half of its SHA-256 hash.
type Digest [16]byte

// DigestOf returns the digest of an uncompressed document, as the operator sent it.
func DigestOf(document []byte) (digest Digest) {
	sum := sha256.Sum256(document)
	copy(digest[:], sum[:])
	return digest
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Configuration is the operator's configuration document. The zero value means that there is none yet.
type Configuration struct {
	Version  uint64 `cbor:"1,keyasint,omitempty"` // assigned by the operator; increases, may have gaps
	Digest   Digest `cbor:"2,keyasint"`           // of the document before compression
	Document []byte `cbor:"3,keyasint,omitempty"` // the JSON document as it was sent, compressed with deflate
}

// NewConfiguration returns a configuration with a document, which it compresses.
func NewConfiguration(version uint64, document []byte) (Configuration, error) {
	compressed, err := compress(document)
	if err != nil {
		return Configuration{}, errors.Wrap(err, "compress configuration")
	}
	return Configuration{
		Version:  version,
		Digest:   DigestOf(document),
		Document: compressed,
	}, nil
}

func compress(document []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(document); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// Decompress returns the document as the operator sent it.
func (c Configuration) Decompress() ([]byte, error) {
	document, err := io.ReadAll(flate.NewReader(bytes.NewReader(c.Document)))
	return document, errors.Wrap(err, "decompress configuration")
}
