package raftnode

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"rowanlink/cluster"
)

// storage is a node's folder. It gets a random name when it is created, which is part of the raft server id: a node that
// lost its folder is another server to the rest, which has none of the votes and entries that the lost one vouched for.
type storage struct {
	id        raft.ServerID
	log       *raftboltdb.BoltStore
	snapshots *raft.FileSnapshotStore
	empty     bool // it never had an entry, a vote or a snapshot
}

const (
	nameFile          = "keeper"
	logFile           = "log.bolt"
	snapshotsRetained = 2
	logLockTimeout    = time.Second // to wait for a process that ends and still has the log open

	nameBytes  = 8
	folderMode = 0o700
)

func openStorage(path string, member cluster.MemberID, logger hclog.Logger) (*storage, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, err
	}
	name, err := loadOrCreateName(path)
	if err != nil {
		return nil, err
	}
	s := &storage{id: raft.ServerID(string(member) + "/" + name)}
	s.log, err = raftboltdb.New(raftboltdb.Options{
		Path:                    filepath.Join(path, logFile),
		BoltOptions:             &bbolt.Options{Timeout: logLockTimeout, NoFreelistSync: true},
		MsgpackUseNewTimeFormat: true,
	})
	if err != nil {
		return nil, fmt.Errorf("the log in %s can't be opened: %w", path, err)
	}
	if err := s.openSnapshots(path, logger); err != nil {
		_ = s.log.Close() // the first error counts
		return nil, fmt.Errorf("the folder %s can't be read: %w", path, err)
	}
	return s, nil
}

func (s *storage) openSnapshots(path string, logger hclog.Logger) error {
	var err error
	s.snapshots, err = raft.NewFileSnapshotStoreWithLogger(path, snapshotsRetained, logger)
	if err != nil {
		return err
	}
	hasState, err := raft.HasExistingState(s.log, s.log, s.snapshots)
	s.empty = !hasState
	return err
}

// loadOrCreateName returns the folder's name, and gives it one if it is new. A log without a name is an error: under a
// new name it would be a server that the others don't know, with entries that they have.
func loadOrCreateName(path string) (string, error) {
	file := filepath.Join(path, nameFile)
	raw, err := os.ReadFile(file)
	if err == nil {
		name := strings.TrimSpace(string(raw))
		if len(name) != hex.EncodedLen(nameBytes) {
			return "", fmt.Errorf("%s does not contain a raft node's name", file)
		}
		return name, nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", fmt.Errorf("%s can't be read: %w", file, err)
	}
	if _, err := os.Stat(filepath.Join(path, logFile)); err == nil {
		return "", fmt.Errorf("%s is missing, but the log beside it is not", file)
	}
	random := make([]byte, nameBytes)
	_, _ = rand.Read(random) // it never returns an error
	name := hex.EncodeToString(random)
	if err := writeFileAtomically(file, name+"\n"); err != nil {
		return "", err
	}
	return name, nil
}

// writeFileAtomically creates a file with a text, synced to disk, or leaves no file of that name.
func writeFileAtomically(path, text string) error {
	temporary := path + ".new"
	if err := writeSynced(temporary, text); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

func writeSynced(path, text string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}
