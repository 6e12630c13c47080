package state

import (
	"bytes"
	"encoding/binary"
	"slices"
)

// Limits of a record's history of updates. Together they cover more than a day with 710 changes.
const (
	// MaxHistory is the maximum number of updates in a record's History.
	MaxHistory = 64
	// MaxOlderHistory is the maximum number of updates in a record's OlderHistory, of about ten bytes each.
	MaxOlderHistory = 1024
)

// AppliedUpdate identifies an update that has set the configuration, by the version that it set and the digest of the
// document that the operator sent. If the operator sends the same update again, it is recognized and acknowledged
// again.
type AppliedUpdate struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  Digest `cbor:"2,keyasint"`
}

// shortDigestLength is the number of bytes of a digest that a PackedHistory retains. Another document with the same
// version is mistaken for the applied one only if its digest begins with the same bytes: a chance of one in 2^64.
const shortDigestLength = 8

// PackedHistory is the compact form of a sequence of updates with increasing versions. Each update consists of the
// difference from the previous version, as a varint, and the first shortDigestLength bytes of its digest.
type PackedHistory []byte

// packedUpdate is one update of a PackedHistory.
type packedUpdate struct {
	version uint64
	digest  []byte // shortDigestLength bytes
}

// matches reports whether the update has the given version and digest.
func (p packedUpdate) matches(version uint64, digest Digest) bool {
	return p.version == version && bytes.Equal(p.digest, digest[:shortDigestLength])
}

// updates returns the updates, oldest first. If an update is damaged, it and all later ones are omitted.
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

// packHistory returns updates with increasing versions as a PackedHistory.
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

// AddToHistory adds an applied update to History, moves the oldest ones to OlderHistory if History is full, and drops
// the oldest of those. It replaces the slices of the record and doesn't modify the previous ones.
func (r *Record) AddToHistory(applied AppliedUpdate) {
	r.History = append(slices.Clone(r.History), applied)
	excess := len(r.History) - MaxHistory
	if excess <= 0 {
		return
	}
	if len(r.OlderHistory) == 0 {
		// A process of an earlier release may have removed updates from History; it doesn't know OlderHistory.
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

// WasApplied reports whether an update is known to have been applied. It is false for updates that were dropped from
// the history, see MayBeForgotten.
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

// MayBeForgotten reports whether an update with the given version may have been applied and dropped from the history
// since.
func (r *Record) MayBeForgotten(version uint64) bool {
	if len(r.OlderHistory) == 0 {
		return version <= r.TruncatedVersion
	}
	return version <= r.ForgottenVersion
}
