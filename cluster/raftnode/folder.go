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

// storage is what a keeper has on disk. It is named at random when it is made: a keeper that lost its folder
// is another server to the rest, and holds none of the votes and entries that the lost one had vouched for.
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
	logLockTimeout    = time.Second // waited for a process that ends and still has the log
)

func openStorage(path string, member cluster.MemberID, logger hclog.Logger) (*storage, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	name, err := loadOrCreateName(path)
	if err != nil {
		return nil, err
	}
	f := &storage{id: raft.ServerID(string(member) + "/" + name)}
	f.log, err = raftboltdb.New(raftboltdb.Options{Path: filepath.Join(path, logFile),
		BoltOptions:             &bbolt.Options{Timeout: logLockTimeout, NoFreelistSync: true},
		MsgpackUseNewTimeFormat: true})
	if err != nil {
		return nil, fmt.Errorf("the log in %s can't be opened: %w", path, err)
	}
	if f.snapshots, err = raft.NewFileSnapshotStoreWithLogger(path, snapshotsRetained, logger); err == nil {
		var has bool
		has, err = raft.HasExistingState(f.log, f.log, f.snapshots)
		f.empty = !has
	}
	if err != nil {
		f.log.Close()
		return nil, fmt.Errorf("the folder %s can't be read: %w", path, err)
	}
	return f, nil
}

// loadOrCreateName reads the folder's name, or gives it one if it is new. Guards against a log whose name is gone:
// under a new one it would be a server that the others don't know, with entries that they have.
func loadOrCreateName(path string) (string, error) {
	at := filepath.Join(path, nameFile)
	raw, err := os.ReadFile(at)
	if name := strings.TrimSpace(string(raw)); err == nil && len(name) == 16 {
		return name, nil
	}
	if err == nil || !errors.Is(err, os.ErrNotExist) {
		return "", fmt.Errorf("%s does not hold a keeper's name: %v", at, err)
	}
	if _, err := os.Stat(filepath.Join(path, logFile)); err == nil {
		return "", fmt.Errorf("%s is gone, but the log beside it is not", at)
	}
	drawn := make([]byte, 8)
	rand.Read(drawn)
	name := hex.EncodeToString(drawn)
	if err := writeFileAtomically(at, name+"\n"); err != nil {
		return "", err
	}
	return name, nil
}

// writeFileAtomically puts a small file there whole or not at all.
func writeFileAtomically(at, text string) error {
	f, err := os.Create(at + ".new")
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(at+".new", at)
	}
	if err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(at))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
