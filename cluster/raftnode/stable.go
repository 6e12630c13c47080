package raftnode

import (
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

// retryingStableStore is where raft keeps its term and its vote. It can't go on without them and ends the whole process
// where they can't be written: guards the dispatcher beside it against a full disk. The keeper stands still
// instead, neither votes nor leads, until there is room.
type retryingStableStore struct {
	raft.StableStore
	interval time.Duration
	closing  <-chan struct{}
}

func (s retryingStableStore) Set(key, value []byte) error {
	return s.retry(func() error { return s.StableStore.Set(key, value) })
}

func (s retryingStableStore) SetUint64(key []byte, value uint64) error {
	return s.retry(func() error { return s.StableStore.SetUint64(key, value) })
}

func (s retryingStableStore) retry(write func() error) error {
	for said := false; ; said = true {
		err := write()
		if err == nil {
			return nil
		}
		if !said {
			slog.Error("keeper stands still: its folder can't be written", "why", err)
		}
		select {
		case <-time.After(s.interval):
		case <-s.closing:
			select {} // the process ends; raft would end it here
		}
	}
}
