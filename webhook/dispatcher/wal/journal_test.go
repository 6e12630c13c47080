package wal

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"rowanlink/webhook/api"
)

func open(t *testing.T, dir string) *Log {
	j, err := Open(dir, 0.1)
	require.NoError(t, err)
	t.Cleanup(func() { j.Close() })
	return j
}

// entries are what the next life finds.
func entries(t *testing.T, dir string) []*Entry { return open(t, dir).Entries() }

func TestAttemptsAndTheFirstThatMayHaveRunOutlastTheProcess(t *testing.T) {
	dir := t.TempDir()
	j := open(t, dir)
	require.NoError(t, j.Accept(7, []byte("taken")))
	j.SetEventType(7, "status")
	j.RecordCall(7, 100, 0) // refused: it never ran
	j.RecordNeverRan(7)
	j.RecordCall(7, 200, 1) // errored: it may have
	j.RecordCall(7, 300, 0) // refused again, which proves nothing of the one before
	j.RecordNeverRan(7)
	require.NoError(t, j.Commit())
	for range 2 { // read from the records, then from the file written anew
		want := Entry{ID: 7, Payload: []byte("taken"), EventType: "status", Attempts: 3, MayHaveRunAt: 200, Zone: 1}
		assert.Equal(t, []*Entry{&want}, entries(t, dir))
	}
}

func TestACallThatWasOutMayHaveRunUntilProvedOtherwise(t *testing.T) {
	dir := t.TempDir()
	j := open(t, dir)
	require.NoError(t, j.Accept(1, nil))
	j.RecordCall(1, 100, 0)
	require.NoError(t, j.Commit())
	next := open(t, dir)
	assert.Equal(t, api.Micros(100), next.Entries()[0].MayHaveRunAt)
	next.RecordNeverRan(1)
	require.NoError(t, next.Commit())
	assert.Equal(t, api.Never, entries(t, dir)[0].MayHaveRunAt)
}

func TestTornTailIsLeftOutAndWrittenOver(t *testing.T) {
	dir := t.TempDir()
	j := open(t, dir)
	require.NoError(t, j.Accept(1, []byte("whole")))
	require.NoError(t, j.Commit())
	require.NoError(t, j.Accept(2, []byte("torn")))
	require.NoError(t, j.Commit())
	require.NoError(t, os.Truncate(j.path("log"), int64(j.size-3)))
	next := open(t, dir)
	require.Len(t, next.Entries(), 1)
	require.NoError(t, next.Accept(3, []byte("after")))
	require.NoError(t, next.Commit())
	assert.Len(t, entries(t, dir), 2)
}

func TestKilledWhileWritingAnewTheOldFileHolds(t *testing.T) {
	dir := t.TempDir()
	j := open(t, dir)
	require.NoError(t, j.Accept(1, []byte("held")))
	require.NoError(t, j.Commit())
	require.NoError(t, os.WriteFile(j.path("new"), []byte("half of it"), 0o600))
	assert.Len(t, entries(t, dir), 1)
}

func TestFileIsWrittenAnewBeforeItIsTooLargeAndKeepsWhatIsOwed(t *testing.T) {
	dir := t.TempDir()
	j := open(t, dir)
	require.NoError(t, j.Accept(1, []byte("held all along")))
	require.NoError(t, j.Accept(2, []byte("ends with a notice")))
	j.Finish(2, []byte("owed"))
	body := []byte(strings.Repeat("x", 2000))
	for id := api.WebhookID(3); id < 300; id++ {
		require.NoError(t, j.Accept(id, body))
		j.RecordCall(id, 5, 0)
		j.Finish(id, nil)
		require.NoError(t, j.Commit())
		require.LessOrEqual(t, j.size+j.liveSize, 100_000)
	}
	left := entries(t, dir)
	require.Len(t, left, 2)
	assert.Equal(t, "held all along", string(left[0].Payload))
	assert.Equal(t, "owed", string(left[1].Callback))
}

func TestWhatCouldNotBeWrittenIsWrittenNextTime(t *testing.T) {
	dir := t.TempDir()
	j := open(t, dir)
	require.NoError(t, j.Accept(1, []byte("held")))
	require.NoError(t, j.Commit())
	require.NoError(t, j.file.Close()) // the disk refuses
	require.NoError(t, j.Accept(2, []byte("refused")))
	j.Finish(1, []byte("owed"))
	require.Error(t, j.Commit())
	j.Undo(2)
	require.NoError(t, j.Commit())
	left := entries(t, dir)
	require.Len(t, left, 1)
	assert.Equal(t, "owed", string(left[0].Callback))
}

func TestWhatTheDiskTookHalfOfIsNotOwedAfterAKill(t *testing.T) {
	dir := t.TempDir()
	j := open(t, dir)
	require.NoError(t, j.Accept(1, []byte("held")))
	require.NoError(t, j.Commit())
	var was unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_FSIZE, &was))
	defer unix.Setrlimit(unix.RLIMIT_FSIZE, &was)
	// Room for the next record, and for a part of the one behind it.
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: uint64(j.size) + 60, Max: was.Max}))
	require.NoError(t, j.Accept(2, []byte("refused")))
	require.NoError(t, j.Accept(3, make([]byte, 200)))
	require.Error(t, j.Commit())
	left := entries(t, dir)
	require.Len(t, left, 1)
	assert.Equal(t, "held", string(left[0].Payload))
}
