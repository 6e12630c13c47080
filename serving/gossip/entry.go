// Package gossip passes updates between the members of the system by gossip. A fresh update goes at once to a few
// members, and what was lost on the way is found by comparing digests. The package does no input or output: time
// is passed in, and messages come out as values that the caller sends.
package gossip

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// TableID is a kind of entry.
type TableID uint8

// The tables that are spread.
const (
	TableRecord     TableID = iota + 1 // the committed record under RecordKey
	TableMembers                       // state.Member by name
	TableEndpoints                     // state.Endpoint by ID
	TableLoads                         // state.Load by endpoint ID; never leaves the region, not repaired
	TableSuspicions                    // what watchers say of members that they no longer hear
	TableRoleClaims                    // who holds which singleton duty under which epoch

	tableCount = int(TableRoleClaims) + 1
)

// RecordKey is the key of the only entry of TableRecord. Its version is the record's revision.
const RecordKey = "record"

// IsValid tells whether a table number that came from elsewhere is one of the above.
func (t TableID) IsValid() bool { return t >= TableRecord && int(t) < tableCount }

// isEphemeral tells whether entries of the table stay in the region and are neither repaired nor retried.
func (t TableID) isEphemeral() bool { return t == TableLoads }

// Version orders the entries of one key. Entries of the same version are the same.
type Version struct {
	_     struct{} `cbor:",toarray"`
	Major uint64
	Minor uint64
}

// NewVersion makes a version.
func NewVersion(major, minor uint64) Version { return Version{Major: major, Minor: minor} }

// Less tells whether the version is older than another.
func (v Version) Less(other Version) bool {
	if v.Major != other.Major {
		return v.Major < other.Major
	}
	return v.Minor < other.Minor
}

// Entry is one update: the newest word on a key of a table.
type Entry struct {
	_       struct{} `cbor:",toarray"`
	Table   TableID
	Key     string
	Version Version
	Value   []byte
}

// Header names an entry without its value.
type Header struct {
	_       struct{} `cbor:",toarray"`
	Table   TableID
	Key     string
	Version Version
}

// Header returns the entry's name.
func (e Entry) Header() Header { return Header{Table: e.Table, Key: e.Key, Version: e.Version} }

// id returns the place of an entry without its version.
func (h Header) id() entryID { return entryID{table: h.Table, key: h.Key} }

// entryID is a place that holds one entry at a time.
type entryID struct {
	table TableID
	key   string
}

// hash is the entry's part of the digests. It depends on the table, the key and the version.
func (h Header) hash() uint64 {
	var numbers [17]byte
	numbers[0] = byte(h.Table)
	binary.LittleEndian.PutUint64(numbers[1:], h.Version.Major)
	binary.LittleEndian.PutUint64(numbers[9:], h.Version.Minor)
	var digest xxhash.Digest
	digest.Reset()
	digest.Write(numbers[:])
	digest.WriteString(h.Key)
	return digest.Sum64()
}

// bucketOf is the digest bucket of a key.
func bucketOf(key string) int { return int(xxhash.Sum64String(key) % BucketCount) }
