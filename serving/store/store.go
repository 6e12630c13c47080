// Package store keeps the state of a replica, and a copy of the endpoints, in SQLite files in the process's directory.
//
// Each file is owned by one goroutine, which executes queued calls; only callers of Load and Save wait for the disk.
// The files use SQLite's write-ahead log and exclusive locking (no shared memory), and each save is synced before it
// returns. A corrupt file of the replica is quarantined, which has the same effect as the loss of the disk: the replica
// rejoins under a new ID.
package store

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rowanlink/serving/actor"
	"rowanlink/serving/event"
	"rowanlink/serving/register"
)

const (
	replicaFileName = "register.db"
	// quarantineSuffix is appended to the name of a corrupt file. Only the newest such file is kept, since the disk is
	// small.
	quarantineSuffix = ".damaged"
	// logSuffix is the suffix of SQLite's write-ahead log.
	logSuffix = "-wal"
)

// errClosed is returned by Load and Save after Close.
var errClosed = errors.New("store is closed")

// Store keeps the state of a replica. It implements register.Storage and is safe for concurrent use.
type Store struct {
	file *actor.Actor[replicaFile]
}

var _ register.Storage = (*Store)(nil)

// replicaFile is the state of the store's actor; only the actor's goroutine may access it.
type replicaFile struct {
	databaseFile[*replicaDatabase]
}

// Open returns a store that keeps its file in a directory. The first Load or Save opens the file, so that a failing
// disk doesn't delay the start of the process.
func Open(directory string, log *zerolog.Logger) *Store {
	file := &replicaFile{newDatabaseFile[*replicaDatabase](directory, log)}
	return &Store{file: actor.Start(file)}
}

// Close has the file closed in the background and doesn't wait for the disk.
func (s *Store) Close() {
	s.file.Send(func(f *replicaFile) {
		f.closeForGood()
		s.file.Stop()
	})
}

// Load returns the state that was saved last, and false if none was saved. If the file is corrupt, Load quarantines it
// and returns register.ErrStateLost; the next call finds no state. Other errors are those of the disk, and a later call
// may succeed.
func (s *Store) Load() (saved register.AcceptorState, found bool, err error) {
	type result struct {
		state register.AcceptorState
		found bool
		err   error
	}
	loaded, ok := actor.Call(s.file, func(f *replicaFile) result {
		state, found, err := f.load()
		return result{state: state, found: found, err: err}
	})
	if !ok {
		return register.AcceptorState{}, false, errClosed
	}
	return loaded.state, loaded.found, loaded.err
}

// Save returns once the state is synced, so that it survives a power failure. After an error the state may or may not
// have been saved.
func (s *Store) Save(next register.AcceptorState) error {
	err, ok := actor.Call(s.file, func(f *replicaFile) error { return f.save(&next) })
	if !ok {
		return errClosed
	}
	return err
}

// load reads the state. It quarantines the file if it is corrupt.
func (f *replicaFile) load() (register.AcceptorState, bool, error) {
	state, found, err := f.read()
	if !isCorruption(err) {
		return state, found, err
	}
	event.StoreQuarantined.Log(f.log).Err(err).Send()
	f.close()
	if err := f.quarantine(); err != nil {
		return register.AcceptorState{}, false, err
	}
	return register.AcceptorState{}, false, register.ErrStateLost
}

func (f *replicaFile) read() (register.AcceptorState, bool, error) {
	if err := f.open(); err != nil {
		return register.AcceptorState{}, false, err
	}
	return f.database.load()
}

func (f *replicaFile) save(next *register.AcceptorState) error {
	if err := f.open(); err != nil {
		return err
	}
	return f.database.save(next)
}

// open opens the file unless it is already open.
func (f *replicaFile) open() error {
	if f.closed {
		return errClosed
	}
	if f.isOpen() {
		return nil
	}
	opened, err := openReplicaDatabase(filepath.Join(f.directory, replicaFileName))
	if err != nil {
		return err
	}
	if err := syncDirectory(f.directory); err != nil {
		opened.close()
		return err
	}
	f.database = opened
	return nil
}

// quarantine renames the corrupt file and then removes its write-ahead log. The process can be killed between the two
// steps. If the log were removed first, the next start could read an older state from the file, and the replica would
// have forgotten its later votes. A log that is left without its file either restores the newest state or is found to
// be corrupt again.
func (f *replicaFile) quarantine() error {
	path := filepath.Join(f.directory, replicaFileName)
	if err := os.Rename(path, path+quarantineSuffix); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "quarantine corrupt store")
	}
	if err := syncDirectory(f.directory); err != nil {
		return err
	}
	if err := os.Remove(path + logSuffix); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "remove log of corrupt store")
	}
	return syncDirectory(f.directory)
}

// syncDirectory makes the creation, renaming and removal of files in a directory durable.
func syncDirectory(directory string) error {
	opened, err := os.Open(directory)
	if err != nil {
		return errors.Wrap(err, "open store directory")
	}
	return errors.Wrap(errors.CombineErrors(opened.Sync(), opened.Close()), "sync store directory")
}
