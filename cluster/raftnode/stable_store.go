package raftnode

import (
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

// retryingStableStore stores raft's term and vote, and retries failed writes. raft panics if it can't write them, so a
// full disk would end the process and with it the dispatcher. Instead the write blocks, and the node neither votes nor
// leads until there is space.
type retryingStableStore struct {
	raft.StableStore
	interval time.Duration // between two attempts
	closing  <-chan struct{}
}

// Set writes a value, and returns once it is written.
func (s retryingStableStore) Set(key, value []byte) error {
	return s.retry(func() error { return s.StableStore.Set(key, value) })
}

// SetUint64 writes a number, and returns once it is written.
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
			select {} // blocks until the process ends: if this returned an error, raft would panic
		}
	}
}
