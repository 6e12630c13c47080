package raftnode

import (
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

// retryingStableStore stores raft's term and vote, and retries writes that fail. raft panics when it can't write them,
// which would end the dispatcher in the same process because of a full disk. The node blocks instead, neither votes nor
// leads, until there is space.
type retryingStableStore struct {
	raft.StableStore
	interval time.Duration // between two attempts
	closing  <-chan struct{}
}

// Set writes a value.
func (s retryingStableStore) Set(key, value []byte) error {
	return s.retry(func() error { return s.StableStore.Set(key, value) })
}

// SetUint64 writes a number.
func (s retryingStableStore) SetUint64(key []byte, value uint64) error {
	return s.retry(func() error { return s.StableStore.SetUint64(key, value) })
}

func (s retryingStableStore) retry(write func() error) error {
	for isLogged := false; ; isLogged = true {
		err := write()
		if err == nil {
			return nil
		}
		if !isLogged {
			slog.Error("raft node blocked: its folder can't be written, retrying", "error", err)
		}
		select {
		case <-time.After(s.interval):
		case <-s.closing:
			select {} // the process ends; an error here would make raft panic
		}
	}
}
