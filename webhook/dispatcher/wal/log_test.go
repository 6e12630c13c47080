package wal

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"rowanlink/webhook/api"
)

func open(t *testing.T, dir string) *Log {
	t.Helper()
	l, err := Open(dir, 0.1)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // a test may have closed it
	return l
}

// entries returns the entries that the next incarnation reads from the log.
func entries(t *testing.T, dir string) []*Entry {
	t.Helper()
	return open(t, dir).Entries()
}

func TestAttemptsAndTheFirstThatMayHaveRunSurviveTheProcess(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	require.NoError(t, l.Accept(7, []byte("accepted")))
	l.SetEventType(7, "status")
	l.RecordCall(7, 100, 0) // refused: it never ran
	l.RecordNeverRan(7)
	l.RecordCall(7, 200, 1) // failed: it may have run
	l.RecordCall(7, 300, 0) // refused again, which proves nothing about the attempt before
	l.RecordNeverRan(7)
	require.NoError(t, l.Commit())
	for range 2 { // read from the records, then from the compacted file
		want := Entry{ID: 7, Payload: []byte("accepted"), EventType: "status", Attempts: 3, MayHaveRunAt: 200, Zone: 1}
		assert.Equal(t, []*Entry{&want}, entries(t, dir))
	}
}

func TestCallInFlightMayHaveRunUntilProvedOtherwise(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	require.NoError(t, l.Accept(1, nil))
	l.RecordCall(1, 100, 0)
	require.NoError(t, l.Commit())
	next := open(t, dir)
	assert.Equal(t, api.Micros(100), next.Entries()[0].MayHaveRunAt)
	next.RecordNeverRan(1)
	require.NoError(t, next.Commit())
	assert.Equal(t, api.Never, entries(t, dir)[0].MayHaveRunAt)
}

func TestTornTailIsDroppedAndOverwritten(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	require.NoError(t, l.Accept(1, []byte("complete")))
	require.NoError(t, l.Commit())
	require.NoError(t, l.Accept(2, []byte("torn")))
	require.NoError(t, l.Commit())
	require.NoError(t, os.Truncate(l.path(logFile), int64(l.size-3)))
	next := open(t, dir)
	require.Len(t, next.Entries(), 1)
	require.NoError(t, next.Accept(3, []byte("after")))
	require.NoError(t, next.Commit())
	assert.Len(t, entries(t, dir), 2)
}

func TestKillDuringCompactionKeepsTheOldFile(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	require.NoError(t, l.Accept(1, []byte("pending")))
	require.NoError(t, l.Commit())
	require.NoError(t, os.WriteFile(l.path(compactedFile), []byte("incomplete"), 0o600))
	assert.Len(t, entries(t, dir), 1)
}

func TestFileIsCompactedBeforeItIsTooLargeAndKeepsLiveEntries(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	require.NoError(t, l.Accept(1, []byte("pending")))
	require.NoError(t, l.Accept(2, []byte("finished with a callback")))
	l.Finish(2, []byte("callback"))
	body := []byte(strings.Repeat("x", 2000))
	for id := api.WebhookID(3); id < 300; id++ {
		require.NoError(t, l.Accept(id, body))
		l.RecordCall(id, 5, 0)
		l.Finish(id, nil)
		require.NoError(t, l.Commit())
		require.LessOrEqual(t, l.size+l.liveSize, 100_000)
	}
	recovered := entries(t, dir)
	require.Len(t, recovered, 2)
	assert.Equal(t, "pending", string(recovered[0].Payload))
	assert.Equal(t, "callback", string(recovered[1].Callback))
}

func TestFailedCommitIsWrittenNextTime(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	require.NoError(t, l.Accept(1, []byte("pending")))
	require.NoError(t, l.Commit())
	require.NoError(t, l.file.Close()) // the next write fails
	require.NoError(t, l.Accept(2, []byte("not written")))
	l.Finish(1, []byte("callback"))
	require.Error(t, l.Commit())
	l.Undo(2)
	require.NoError(t, l.Commit())
	recovered := entries(t, dir)
	require.Len(t, recovered, 1)
	assert.Equal(t, "callback", string(recovered[0].Callback))
}

func TestPartlyWrittenRecordIsNotRecoveredAfterAKill(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	require.NoError(t, l.Accept(1, []byte("pending")))
	require.NoError(t, l.Commit())
	var limit unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_FSIZE, &limit))
	defer func() { assert.NoError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &limit)) }()
	// Space for the next record, and for a part of the one after it.
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: uint64(l.size) + 60, Max: limit.Max}))
	require.NoError(t, l.Accept(2, []byte("not written")))
	require.NoError(t, l.Accept(3, make([]byte, 200)))
	require.Error(t, l.Commit())
	recovered := entries(t, dir)
	require.Len(t, recovered, 1)
	assert.Equal(t, "pending", string(recovered[0].Payload))
}

// storedByEarlierRelease is a file as the releases up to 2026-12-02 wrote it.
const storedByEarlierRelease = "1700000010270c3841010000000000ffffffffffffffff00000066697273740b000000c680eebb4b01000000737461747573" +
	"0f0000005c047b624301000000640000000000000003000500000050765d994e010000000f000000c4785e9e4301000000c8" +
	"00000000000000040018000000ae81e82841020000000000ffffffffffffffff0000007365636f6e640b0000001d30a23145" +
	"020000006e6f7469636517000000a3201fa041030000000000ffffffffffffffff000000746869726405000000ca8f844445" +
	"0300000018000000cdf69e0441040000000000ffffffffffffffff000000666f757274680a00000001d18c7d450400000068" +
	"65617264050000004109d384540400000012000000d28b813041050000000000ffffffffffffffff000000120000006c3f3b" +
	"b4410500000002004d00000000000000090000"

func TestFileOfAnEarlierReleaseIsRead(t *testing.T) {
	content, err := hex.DecodeString(storedByEarlierRelease)
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "webhooks.log"), content, 0o600))
	assert.Equal(t, []*Entry{
		{ID: 1, Payload: []byte("first"), EventType: "status", Attempts: 2, MayHaveRunAt: 200, Zone: 4, lastCallIsFirst: true},
		{ID: 2, Finished: true, Callback: []byte("notice")},
		{ID: 5, Payload: []byte{}, Attempts: 2, MayHaveRunAt: 77, Zone: 9},
	}, entries(t, dir))
}

func TestFileIsWrittenAsByEarlierReleases(t *testing.T) {
	dir := t.TempDir()
	l, err := Open(dir, 1)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, l.Close()) })
	require.NoError(t, l.Accept(1, []byte("first")))
	l.SetEventType(1, "status")
	l.RecordCall(1, 100, 3)
	l.RecordNeverRan(1)
	l.RecordCall(1, 200, 4)
	require.NoError(t, l.Accept(2, []byte("second")))
	l.Finish(2, []byte("notice"))
	require.NoError(t, l.Accept(3, []byte("third")))
	l.Finish(3, nil)
	require.NoError(t, l.Accept(4, []byte("fourth")))
	l.Finish(4, []byte("heard"))
	l.CallbackDelivered(4)
	require.NoError(t, l.Accept(5, nil))
	l.SetPriorAttempts(5, 2, 77, 9)
	require.NoError(t, l.Commit())
	content, err := os.ReadFile(filepath.Join(dir, "webhooks.log"))
	require.NoError(t, err)
	assert.Equal(t, storedByEarlierRelease, hex.EncodeToString(content))
}
