package state

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// updateOf returns the update that sets a version.
func updateOf(version uint64) AppliedUpdate {
	return AppliedUpdate{Version: version, Digest: DigestOf([]byte(fmt.Sprint("document ", version)))}
}

// TestAddToHistory_RemembersOrSaysThatItMayNot applies updates whose versions increase by irregular steps, while a
// process of an earlier release occasionally writes the record. For every applied update, WasApplied or MayBeForgotten
// must be true; for updates that were not applied, WasApplied must be false.
func TestAddToHistory_RemembersOrSaysThatItMayNot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var record Record
		var applied []AppliedUpdate
		version := uint64(0)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		for range rapid.IntRange(0, MaxHistory+MaxOlderHistory+100).Draw(rt, "changes") {
			version += 1 + random.Uint64N(300)
			if random.IntN(400) == 0 {
				record.OlderHistory, record.ForgottenVersion = nil, 0
			}
			history, older := slices.Clone(record.History), slices.Clone(record.OlderHistory)
			next := record
			next.AddToHistory(updateOf(version))
			require.Equal(rt, history, record.History, "the previous record is not modified")
			require.Equal(rt, older, record.OlderHistory)
			record = next
			applied = append(applied, updateOf(version))
		}
		for _, update := range applied {
			known := record.WasApplied(update.Version, update.Digest)
			require.True(rt, known || record.MayBeForgotten(update.Version), "version %d", update.Version)
			require.False(rt, record.WasApplied(update.Version, DigestOf([]byte("another"))))
			require.False(rt, record.WasApplied(update.Version+1, update.Digest))
		}
		require.False(rt, record.MayBeForgotten(version+1))
	})
}

func TestAddToHistory_CoversADayInBoundedSize(t *testing.T) {
	var record Record
	for version := uint64(1); version <= 10*MaxOlderHistory; version++ {
		record.AddToHistory(updateOf(version))
	}
	const newest = 10 * MaxOlderHistory
	assert.Len(t, record.History, MaxHistory)
	assert.Less(t, len(record.OlderHistory), 10*MaxOlderHistory)
	const oldest = newest - MaxHistory - MaxOlderHistory + 1
	for version := uint64(oldest); version <= newest; version++ {
		require.True(t, record.WasApplied(version, updateOf(version).Digest), "version %d", version)
		require.False(t, record.MayBeForgotten(version))
	}
	assert.True(t, record.MayBeForgotten(oldest-1))
	assert.GreaterOrEqual(t, MaxHistory+MaxOlderHistory, 710, "a day's changes")
}

// TestWasApplied_RecordOfAnEarlierRelease reads a record with the longer history that earlier releases wrote.
func TestWasApplied_RecordOfAnEarlierRelease(t *testing.T) {
	const earlierLength = 512
	record := Record{TruncatedVersion: 7}
	for version := uint64(8); version < 8+earlierLength; version++ {
		record.History = append(record.History, updateOf(version))
	}
	assert.True(t, record.MayBeForgotten(7))
	assert.False(t, record.MayBeForgotten(8))
	record.AddToHistory(updateOf(8 + earlierLength))
	assert.Len(t, record.History, MaxHistory)
	for version := uint64(8); version <= 8+earlierLength; version++ {
		assert.True(t, record.WasApplied(version, updateOf(version).Digest), "version %d", version)
	}
	assert.True(t, record.MayBeForgotten(7), "removed by the earlier release")
	assert.False(t, record.MayBeForgotten(8))
}

func TestPackedHistory_Damaged(t *testing.T) {
	packed := packHistory([]packedUpdate{{version: 3, digest: make([]byte, shortDigestLength)}})
	for length := range packed {
		assert.Empty(t, packed[:length].updates(), "cut at %d", length)
	}
	assert.Len(t, packed.updates(), 1)
}
