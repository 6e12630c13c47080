package raftnode

import (
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

// fullFor is a store without room for its first writes.
type fullFor struct {
	*raft.InmemStore
	n int
}

func (f *fullFor) SetUint64(key []byte, value uint64) error {
	if f.n--; f.n >= 0 {
		return errors.New("no space left on device")
	}
	return f.InmemStore.SetUint64(key, value)
}

// Guards the dispatcher in the same process: raft panics where its term can't be written.
func TestAFullDiskIsWaitedFor(t *testing.T) {
	store := &fullFor{raft.NewInmemStore(), 3}
	s := retryingStableStore{store, time.Millisecond, nil}
	require.NoError(t, s.SetUint64([]byte("term"), 7))
	at, err := store.GetUint64([]byte("term"))
	require.NoError(t, err)
	require.Equal(t, uint64(7), at)
}
