// Package state holds the types that the system's programs share: the replicated record, the endpoints, the
// members and the load of endpoints, as they are stored and sent.
package state

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/cockroachdb/errors"
)

// Digest identifies a configuration document by its bytes.
type Digest [16]byte

// DigestOf is the digest of a document as the operator sent it.
func DigestOf(document []byte) (digest Digest) {
	sum := sha256.Sum256(document)
	copy(digest[:], sum[:])
	return digest
}

// String is the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Configuration is an operator's configuration document. The zero value stands for "none yet".
type Configuration struct {
	Version  uint64 `cbor:"1,keyasint,omitempty"` // the operator's number; versions rise in uneven steps
	Digest   Digest `cbor:"2,keyasint"`           // of the document before compression
	Document []byte `cbor:"3,keyasint,omitempty"` // deflate-compressed JSON, byte for byte as it was sent
}

// NewConfiguration compresses a document.
func NewConfiguration(version uint64, document []byte) (Configuration, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return Configuration{}, errors.Wrap(err, "compress configuration")
	}
	if _, err := writer.Write(document); err != nil {
		return Configuration{}, errors.Wrap(err, "compress configuration")
	}
	if err := writer.Close(); err != nil {
		return Configuration{}, errors.Wrap(err, "compress configuration")
	}
	return Configuration{Version: version, Digest: DigestOf(document), Document: packed.Bytes()}, nil
}

// Decompress returns the document as the operator sent it.
func (c Configuration) Decompress() ([]byte, error) {
	document, err := io.ReadAll(flate.NewReader(bytes.NewReader(c.Document)))
	return document, errors.Wrap(err, "expand configuration")
}

// AppliedUpdate names an order that has put a configuration in force, by the configuration's version and the order's bytes.
// It lets a repeated order be acknowledged again.
type AppliedUpdate struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  Digest `cbor:"2,keyasint"`
}

// MaxHistory is the number of accepted configurations that a record remembers, the newest last.
const MaxHistory = 512

// Evacuation is an operator's order that nothing more go to the endpoints of a zone, or its end.
type Evacuation struct {
	Zone     string `cbor:"1,keyasint"`
	Active   bool   `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"` // the record's revision at which the order was last changed
}

// Replica is one holder of the record. A replica that has lost its disk comes back under a new ID.
type Replica struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"` // host:port for calls between the system's processes
}

// ReplicaSet is the voters of the register, itself part of the record. Every other core member is a learner: it keeps
// the committed record and votes nothing.
type ReplicaSet struct {
	Epoch    uint64    `cbor:"1,keyasint"` // one more with each change of membership
	Replicas []Replica `cbor:"2,keyasint"`
}

// Quorum is the number of replicas that make a majority.
func (s ReplicaSet) Quorum() int { return len(s.Replicas)/2 + 1 }

// Contains tells whether a replica is a member.
func (s ReplicaSet) Contains(id string) bool {
	for _, replica := range s.Replicas {
		if replica.ID == id {
			return true
		}
	}
	return false
}

// Record is the value of the register: everything that an operator's acknowledgement promises to keep.
type Record struct {
	Revision      uint64          `cbor:"1,keyasint"` // one more with each change; orders records
	Configuration Configuration   `cbor:"2,keyasint"`
	History       []AppliedUpdate `cbor:"3,keyasint,omitempty"`
	Evacuations   []Evacuation    `cbor:"4,keyasint,omitempty"`
	Voters        ReplicaSet      `cbor:"5,keyasint"` // those that vote
	// TruncatedVersion is the highest version that History was too short to keep; zero: it holds all.
	TruncatedVersion uint64 `cbor:"6,keyasint,omitempty"`
}

// Evacuated tells whether a zone is evacuated.
func (r *Record) Evacuated(zone string) bool {
	for _, evacuation := range r.Evacuations {
		if evacuation.Zone == zone {
			return evacuation.Active
		}
	}
	return false
}

// WasApplied tells whether a configuration is or was in force, as far as the history goes.
func (r *Record) WasApplied(version uint64, digest Digest) bool {
	for _, accepted := range r.History {
		if accepted.Version == version && accepted.Digest == digest {
			return true
		}
	}
	return false
}
