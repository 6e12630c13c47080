package custody

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/wal"
)

// openStore opens a store as a process does at its start whose dispatcher has recovered the given webhooks.
func openStore(t *testing.T, dir string, diskMB float64, recovered ...inflight.RequestID) *Store {
	t.Helper()
	s, err := Open(dir, diskMB, api.Second, func(id shardmap.WebhookID) bool {
		return slices.ContainsFunc(recovered, func(r inflight.RequestID) bool { return IDOf(r) == id })
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() }) // may fail: a later store may have opened the same directory
	return s
}

func update(t *testing.T, s *Store, requestID inflight.RequestID,
	change func(*shardmap.CustodyTable, shardmap.WebhookID)) {
	t.Helper()
	id := IDOf(requestID)
	err := s.Update([]shardmap.WebhookID{id}, func(table *shardmap.CustodyTable) { change(table, id) })
	require.NoError(t, err)
}

// A webhook in doubt is still in doubt after a restart, unless it has ended here meanwhile, and replies to custody
// queries remain binding. Otherwise two members could deliver the webhook.
func TestStore_RecoversRecordsAfterRestart(t *testing.T) {
	dir, ttl := t.TempDir(), inflight.Now()+90*api.Second
	s := openStore(t, dir, 1)
	for _, requestID := range []inflight.RequestID{"pending", "ended"} {
		update(t, s, requestID, func(table *shardmap.CustodyTable, id shardmap.WebhookID) {
			table.BeginOffer(id, ttl, shardmap.Offer{To: "b", Incarnation: 3})
		})
	}
	update(t, s, "queried", func(table *shardmap.CustodyTable, id shardmap.WebhookID) { table.HandleQuery(id, 4, ttl) })
	next := openStore(t, dir, 1, "pending")
	assert.Equal(t, s.Incarnation, next.Incarnation)
	assert.True(t, next.IsInDoubt("pending"))
	assert.False(t, next.IsInDoubt("ended"))
	update(t, next, "queried", func(table *shardmap.CustodyTable, id shardmap.WebhookID) {
		reply, _ := table.HandleOffer(id, 4, ttl, inflight.Now(), true)
		assert.Equal(t, shardmap.CustodyNeverTaken, reply, "a reply CustodyNeverTaken is binding")
	})
	assert.NotEqual(t, s.Incarnation, openStore(t, t.TempDir(), 1).Incarnation, "a new directory has another incarnation")
}

// A process that crashes while it accepts webhooks may leave custody records of webhooks that are in the webhook
// journal and of webhooks that are not. After the restart, replies to custody queries depend on whether the journal has
// the webhook.
func TestStore_RecoversFromCrashDuringAcceptance(t *testing.T) {
	dir, ttl := t.TempDir(), inflight.Now()+90*api.Second
	s := openStore(t, dir, 1)
	for _, requestID := range []inflight.RequestID{"stored", "lost"} {
		update(t, s, requestID, func(table *shardmap.CustodyTable, id shardmap.WebhookID) {
			_, outcome := table.HandleOffer(id, 1, ttl, inflight.Now(), true)
			require.Equal(t, shardmap.OfferTaken, outcome)
		})
		assert.True(t, s.IsArriving(IDOf(requestID)))
	}
	for range 2 { // recovery is idempotent
		s = openStore(t, dir, 1, "stored")
		for requestID, want := range map[inflight.RequestID]shardmap.CustodyReply{
			"stored": shardmap.CustodyTaken,
			"lost":   shardmap.CustodyNeverTaken,
		} {
			update(t, s, requestID, func(table *shardmap.CustodyTable, id shardmap.WebhookID) {
				reply, _ := table.HandleQuery(id, 1, ttl)
				assert.Equal(t, want, reply, requestID)
			})
		}
	}
}

// An update that can't be written changes nothing: otherwise the member could send a reply that it has no record of.
func TestStore_FailedUpdateIsRolledBack(t *testing.T) {
	s, ttl := openStore(t, t.TempDir(), 0.01), inflight.Now()+90*api.Second
	var err error
	for n := range 1000 {
		id := IDOf(inflight.RequestID(rune('a' + n)))
		err = s.Update([]shardmap.WebhookID{id}, func(table *shardmap.CustodyTable) {
			table.HandleOffer(id, 1, ttl, inflight.Now(), true)
		})
		if err != nil {
			assert.False(t, s.IsArriving(id))
			break
		}
	}
	assert.Error(t, err, "the journal was never full")
}

// openFilesBelow returns the files below a directory that this process has open.
func openFilesBelow(t *testing.T, dir string) (files []string) {
	t.Helper()
	descriptors, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	for _, d := range descriptors {
		target, err := os.Readlink(filepath.Join("/proc/self/fd", d.Name()))
		if err == nil && strings.HasPrefix(target, dir) { // else the file was closed meanwhile
			files = append(files, target)
		}
	}
	return files
}

func TestOpen_ClosesJournalOnUnreadableRecord(t *testing.T) {
	dir := t.TempDir()
	journal, err := wal.Open(dir, 1)
	require.NoError(t, err)
	require.NoError(t, journal.Accept(1, []byte("\xff")))
	require.NoError(t, journal.Commit())
	require.NotEmpty(t, openFilesBelow(t, dir))
	require.NoError(t, journal.Close())
	_, err = Open(dir, 1, api.Second, func(shardmap.WebhookID) bool { return false })
	require.ErrorContains(t, err, "record 1")
	assert.Empty(t, openFilesBelow(t, dir))
}

// TestOpen_ClosesJournalOnFailedWrite opens a directory whose records have to be rewritten, since their webhooks are no
// longer pending, with a disk limit that is too small for that.
func TestOpen_ClosesJournalOnFailedWrite(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir, 1)
	const records = 200
	for i := range records {
		update(t, s, inflight.RequestID(fmt.Sprint(i)), func(table *shardmap.CustodyTable, id shardmap.WebhookID) {
			_, ok := table.BeginOffer(id, inflight.Now()+100*api.Second, shardmap.Offer{To: "b"})
			require.True(t, ok)
		})
	}
	require.NoError(t, s.Close())
	const tooSmallMB = 0.002
	_, err := Open(dir, tooSmallMB, 100*api.Second, func(shardmap.WebhookID) bool { return false })
	require.Error(t, err)
	assert.Empty(t, openFilesBelow(t, dir))
}
