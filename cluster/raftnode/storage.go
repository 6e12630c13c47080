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

// storage is a node's folder, with its log and snapshots. The folder gets a random name when it is created, and the raft
// server id is MEMBER/NAME. A node that lost its folder comes back as a new server: under the old id it could vote a
// second time in a term, and the others would count it as having entries that it had acknowledged and lost.
type storage struct {
	id        raft.ServerID
	log       *raftboltdb.BoltStore
	snapshots *raft.FileSnapshotStore
	empty     bool // when it was opened: no entry, no vote and no snapshot
}

const (
	nameFile          = "keeper"
	logFile           = "log.bolt"
	snapshotsRetained = 2
	logLockTimeout    = time.Second // how long to wait for an ending process that still has the log open

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

// loadOrCreateName returns the folder's name, and creates one if the folder is new. A folder with a log but without a name
// is an error: under a new name the node would be a new server to the others, but with the old server's entries.
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
		return "", fmt.Errorf("%s is missing, although its folder has a log", file)
	}
	random := make([]byte, nameBytes)
	_, _ = rand.Read(random) // it never returns an error
	name := hex.EncodeToString(random)
	if err := writeFileAtomically(file, name+"\n"); err != nil {
		return "", err
	}
	return name, nil
}

// writeFileAtomically writes a file and syncs it to disk. After a crash or an error the file is complete or absent.
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
