package raftnode

import (
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

// fullStore is a store whose first writes fail.
type fullStore struct {
	*raft.InmemStore
	failures int
}

// SetUint64 fails while failures remain, then writes the number.
func (s *fullStore) SetUint64(key []byte, value uint64) error {
	if s.failures > 0 {
		s.failures--
		return errors.New("no space left on device")
	}
	return s.InmemStore.SetUint64(key, value)
}

// raft panics if its term can't be written, which would end the whole process. The store must retry instead.
func TestRetryingStableStore_RetriesUntilThereIsSpace(t *testing.T) {
	store := &fullStore{raft.NewInmemStore(), 3}
	stable := retryingStableStore{store, time.Millisecond, nil}
	require.NoError(t, stable.SetUint64([]byte("term"), 7))
	stored, err := store.GetUint64([]byte("term"))
	require.NoError(t, err)
	require.Equal(t, uint64(7), stored)
}
