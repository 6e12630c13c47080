package raftnode

import (
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

// stable is where raft keeps its term and its vote. It can't go on without them and ends the whole process
// where they can't be written: guards the dispatcher beside it against a full disk. The keeper stands still
// instead, neither votes nor leads, until there is room.
type stable struct {
	raft.StableStore
	again time.Duration
	ended <-chan struct{}
}

func (s stable) Set(key, value []byte) error {
	return s.until(func() error { return s.StableStore.Set(key, value) })
}

func (s stable) SetUint64(key []byte, value uint64) error {
	return s.until(func() error { return s.StableStore.SetUint64(key, value) })
}

func (s stable) until(write func() error) error {
	for said := false; ; said = true {
		err := write()
		if err == nil {
			return nil
		}
		if !said {
			slog.Error("keeper stands still: its folder can't be written", "why", err)
		}
		select {
		case <-time.After(s.again):
		case <-s.ended:
			select {} // the process ends; raft would end it here
		}
	}
}
