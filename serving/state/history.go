package state

import (
	"bytes"
	"encoding/binary"
	"slices"
)

// Lengths of a record's history of updates. Both together cover more than a day of 710 changes.
const (
	// MaxHistory is the length of a record's History.
	MaxHistory = 64
	// MaxOlderHistory is the number of updates in a record's OlderHistory, of some ten bytes each.
	MaxOlderHistory = 1024
)

// AppliedUpdate identifies an update that has set the configuration, by the version that it set and the digest of what
// the operator sent. A repeated update is recognized by it and acknowledged again.
type AppliedUpdate struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  Digest `cbor:"2,keyasint"`
}

// shortDigestLength is the length of the beginning of a digest that a PackedHistory retains. A mistake needs a changed
// document with the same version number whose digest begins alike: one in 2^64.
const shortDigestLength = 8

// PackedHistory is a sequence of updates with rising versions: of each the difference to the version before it, as a
// varint, and the beginning of its digest.
type PackedHistory []byte

// packedUpdate is one update of a PackedHistory.
type packedUpdate struct {
	version uint64
	digest  []byte // shortDigestLength bytes
}

// matches reports whether this is the update with a version and digest.
func (p packedUpdate) matches(version uint64, digest Digest) bool {
	return p.version == version && bytes.Equal(p.digest, digest[:shortDigestLength])
}

// updates returns the updates, the oldest first. What follows a damaged update is left out.
func (p PackedHistory) updates() (all []packedUpdate) {
	version := uint64(0)
	for len(p) > 0 {
		difference, length := binary.Uvarint(p)
		if length <= 0 || len(p) < length+shortDigestLength {
			return all
		}
		version += difference
		all = append(all, packedUpdate{version: version, digest: p[length : length+shortDigestLength]})
		p = p[length+shortDigestLength:]
	}
	return all
}

// packHistory returns updates with rising versions as a PackedHistory.
func packHistory(updates []packedUpdate) PackedHistory {
	packed := PackedHistory{}
	version := uint64(0)
	for _, update := range updates {
		packed = binary.AppendUvarint(packed, update.version-version)
		packed = append(packed, update.digest...)
		version = update.version
	}
	return packed
}

// AddToHistory records an update that was applied. It doesn't modify the slices that the record had.
func (r *Record) AddToHistory(applied AppliedUpdate) {
	r.History = append(slices.Clone(r.History), applied)
	excess := len(r.History) - MaxHistory
	if excess <= 0 {
		return
	}
	if len(r.OlderHistory) == 0 {
		// A process of an earlier release, which has no OlderHistory, may have removed updates.
		r.ForgottenVersion = r.TruncatedVersion
	}
	older := r.OlderHistory.updates()
	for _, update := range r.History[:excess] {
		older = append(older, packedUpdate{version: update.Version, digest: slices.Clone(update.Digest[:shortDigestLength])})
	}
	if forgotten := len(older) - MaxOlderHistory; forgotten > 0 {
		r.ForgottenVersion = older[forgotten-1].version
		older = older[forgotten:]
	}
	r.OlderHistory = packHistory(older)
	r.TruncatedVersion = r.History[excess-1].Version
	r.History = r.History[excess:]
}

// WasApplied reports whether an update was applied, as far as the history goes back.
func (r *Record) WasApplied(version uint64, digest Digest) bool {
	if slices.Contains(r.History, AppliedUpdate{Version: version, Digest: digest}) {
		return true
	}
	if version > r.TruncatedVersion {
		return false
	}
	return slices.ContainsFunc(r.OlderHistory.updates(), func(older packedUpdate) bool {
		return older.matches(version, digest)
	})
}

// MayBeForgotten reports whether an update with a version may have been applied so long ago that the history doesn't
// reach back to it.
func (r *Record) MayBeForgotten(version uint64) bool {
	if len(r.OlderHistory) == 0 {
		return version <= r.TruncatedVersion
	}
	return version <= r.ForgottenVersion
}
